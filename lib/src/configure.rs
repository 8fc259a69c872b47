//! Applies the operators' configuration to the tables, and removes what it no longer contains.

use std::collections::BTreeMap;
use std::collections::HashSet;

use smallvec::SmallVec;

use crate::clock::Millis;
use crate::fair;
use crate::fleet;
use crate::fleet::Config;
use crate::fleet::Zone;
use crate::guarantee_plan;
use crate::key;
use crate::name::Name;
use crate::registration;
use crate::resource::Resources;
use crate::table::Account;
use crate::table::Guarantee;
use crate::table::Placements;
use crate::table::Tables;

/// Applies a configuration; one with a lower revision than the one in force changes nothing.
pub(crate) fn apply(tables: &mut Tables, now: Millis, config: Config) {
    if config.revision < tables.revision {
        return;
    }
    tables.revision = config.revision;
    tables.policy = config.policy;
    apply_zones(tables, now, &config.zones);
    let named: HashSet<Name> = config.accounts.iter().map(|account| account.name.clone()).collect();
    for account in config.accounts {
        apply_account(tables, account);
    }
    let removed: Vec<_> = tables
        .accounts
        .iter()
        .filter(|(_, row)| row.is_configured && !named.contains(&row.name))
        .map(|(account, _)| account)
        .collect();
    for account in removed {
        tables.accounts[account].is_configured = false;
        apply_guarantees(tables, account, Vec::new());
        tables.estimates.forget(account);
    }
    tables.needs_replan = true;
    tables.capacity_version += 1;
}

fn apply_zones(tables: &mut Tables, now: Millis, zones: &[Zone]) {
    for zone in zones {
        registration::find_or_add_data_centre(tables, &zone.name);
    }
    let open: HashSet<&Name> =
        zones.iter().filter(|zone| zone.open).map(|zone| &zone.name).collect();
    let is_first = tables.data_centres.values().all(|data_centre| !data_centre.is_open);
    for data_centre in tables.data_centres.values_mut() {
        let is_open = open.contains(&data_centre.name);
        if is_open && !data_centre.is_open && !is_first {
            data_centre.reopened = Some(now);
            data_centre.refilled = 0;
        }
        data_centre.is_open = is_open;
    }
}

fn apply_account(tables: &mut Tables, account: fleet::Account) {
    let key = match tables.account_names.get(&account.name) {
        Some(&known) => known,
        None => {
            let fresh = tables.accounts.insert(Account {
                name: account.name.clone(),
                quota: 0,
                weight: 1,
                held: 0,
                held_resources: Resources::default(),
                usage: fair::Usage::default(),
                is_configured: true,
                guarantees: BTreeMap::new(),
            });
            tables.account_names.insert(account.name.clone(), fresh);
            fresh
        }
    };
    let row = &mut tables.accounts[key];
    row.quota = account.quota;
    row.weight = account.weight;
    row.is_configured = true;
    apply_guarantees(tables, key, account.guarantees);
}

fn apply_guarantees(tables: &mut Tables, account: key::Account, wanted: Vec<fleet::Guarantee>) {
    let mut known = std::mem::take(&mut tables.accounts[account].guarantees);
    for guarantee in wanted {
        let key = match known.remove(&guarantee.name) {
            Some(key) if is_same(&tables.guarantees[key], &guarantee) => key,
            Some(key) => {
                guarantee_plan::release(tables, key);
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
                reserved: Placements::new(),
                unmet: None,
                claims: SmallVec::new(),
                waiting_claims: SmallVec::new(),
            }),
        };
        tables.accounts[account].guarantees.insert(guarantee.name, key);
    }
    for key in known.into_values() {
        guarantee_plan::release(tables, key);
        tables.guarantees.remove(key);
    }
}

fn is_same(row: &Guarantee, guarantee: &fleet::Guarantee) -> bool {
    row.shape == guarantee.shape && row.data_centres == guarantee.data_centres
}
