//! The operators' configuration taken into the tables, with what is no longer in it taken out.

use std::collections::BTreeMap;
use std::collections::HashSet;

use smallvec::SmallVec;

use crate::census;
use crate::clock::Millis;
use crate::fair;
use crate::fleet;
use crate::fleet::Config;
use crate::fleet::Zone;
use crate::key;
use crate::name::Name;
use crate::room::Room;
use crate::table::Account;
use crate::table::Guarantee;
use crate::table::Spots;
use crate::table::Tables;
use crate::witness;

/// Takes in a configuration; a lower revision than the one in force changes nothing.
pub(crate) fn take_in(tables: &mut Tables, now: Millis, config: Config) {
    if config.revision < tables.revision {
        return;
    }
    tables.revision = config.revision;
    tables.policy = config.policy;
    take_zones(tables, now, &config.zones);
    let named: HashSet<Name> = config.accounts.iter().map(|account| account.name.clone()).collect();
    for account in config.accounts {
        take_account(tables, account);
    }
    let gone: Vec<_> = tables
        .accounts
        .iter()
        .filter(|(_, row)| row.configured && !named.contains(&row.name))
        .map(|(account, _)| account)
        .collect();
    for account in gone {
        tables.accounts[account].configured = false;
        take_guarantees(tables, account, Vec::new());
        tables.estimates.forget(account);
    }
    tables.replan = true;
    tables.version += 1;
}

fn take_zones(tables: &mut Tables, now: Millis, zones: &[Zone]) {
    for zone in zones {
        census::data_centre(tables, &zone.name);
    }
    let open: HashSet<&Name> =
        zones.iter().filter(|zone| zone.open).map(|zone| &zone.name).collect();
    let first = tables.data_centres.values().all(|centre| !centre.open);
    for centre in tables.data_centres.values_mut() {
        let opens = open.contains(&centre.name);
        if opens && !centre.open && !first {
            centre.returned = Some(now);
            centre.refilled = 0;
        }
        centre.open = opens;
    }
}

fn take_account(tables: &mut Tables, account: fleet::Account) {
    let key = match tables.account_names.get(&account.name) {
        Some(&known) => known,
        None => {
            let fresh = tables.accounts.insert(Account {
                name: account.name.clone(),
                quota: 0,
                weight: 1,
                held: 0,
                room: Room::default(),
                usage: fair::Usage::default(),
                configured: true,
                guarantees: BTreeMap::new(),
            });
            tables.account_names.insert(account.name.clone(), fresh);
            fresh
        }
    };
    let row = &mut tables.accounts[key];
    row.quota = account.quota;
    row.weight = account.weight;
    row.configured = true;
    take_guarantees(tables, key, account.guarantees);
}

fn take_guarantees(tables: &mut Tables, account: key::Account, wanted: Vec<fleet::Guarantee>) {
    let mut known = std::mem::take(&mut tables.accounts[account].guarantees);
    for guarantee in wanted {
        let key = match known.remove(&guarantee.name) {
            Some(key) if same(&tables.guarantees[key], &guarantee) => key,
            Some(key) => {
                witness::release(tables, key);
                let row = &mut tables.guarantees[key];
                row.shape = guarantee.shape;
                row.data_centres = guarantee.data_centres;
                key
            }
            None => tables.guarantees.insert(Guarantee {
                account,
                name: guarantee.name.clone(),
                shape: guarantee.shape,
                data_centres: guarantee.data_centres,
                holds: Spots::new(),
                unmet: None,
                claims: SmallVec::new(),
                kept: SmallVec::new(),
            }),
        };
        tables.accounts[account].guarantees.insert(guarantee.name, key);
    }
    for key in known.into_values() {
        witness::release(tables, key);
        tables.guarantees.remove(key);
    }
}

fn same(row: &Guarantee, guarantee: &fleet::Guarantee) -> bool {
    row.shape == guarantee.shape && row.data_centres == guarantee.data_centres
}
