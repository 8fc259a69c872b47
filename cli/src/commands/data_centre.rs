//! `lavendergauge data-centre`: creates and removes data centres, and takes them in and out.

use std::time::Duration;

use clap::ArgMatches;
use clap::Command;
use lavendergauge_wire::api::DataCentre;
use serde_json::json;

use crate::change;
use crate::change::Mode;
use crate::commands::dry_run;
use crate::commands::flag;
use crate::commands::option;
use crate::commands::positional;
use crate::commands::timeout;
use crate::context::Context;
use crate::context::Poll;
use crate::context::number;
use crate::context::text;
use crate::error::Error;
use crate::report::Report;
use crate::report::Table;

/// Returns the command with its arguments.
pub fn command() -> Command {
    let name = || positional("DATA-CENTRE", "Name of the data centre");
    Command::new("data-centre")
        .about("Manage data centres and take them in or out")
        .subcommand_required(true)
        .subcommand(
            Command::new("status")
                .about("Show the workers, tasks and requests of data centres")
                .arg(name().required(false)),
        )
        .subcommand(
            Command::new("add")
                .about("Create a data centre, which is in from the start")
                .arg(name())
                .arg(option("region", "Region of the data centre").required(true)),
        )
        .subcommand(
            Command::new("out")
                .about("Take a data centre out: nothing starts there, and running work is moved")
                .arg(name())
                .arg(dry_run())
                .arg(flag("wait", "Wait until no task and no request runs there"))
                .arg(timeout("300")),
        )
        .subcommand(
            Command::new("in").about("Take a data centre back in").arg(name()).arg(dry_run()),
        )
        .subcommand(
            Command::new("remove")
                .about("Remove a data centre that has no workers")
                .arg(name())
                .arg(dry_run()),
        )
}

/// Runs the subcommand that the arguments name.
///
/// # Errors
/// When the entry cannot be reached or refuses the call.
pub async fn run(context: &Context, matches: &ArgMatches) -> Result<Report, Error> {
    match matches.subcommand() {
        Some(("add", matches)) => add(context, matches).await,
        Some(("out", matches)) => out(context, matches).await,
        Some(("in", matches)) => {
            set_standing(context, text(matches, "DATA-CENTRE"), "in", Mode::from_matches(matches))
                .await
        }
        Some(("remove", matches)) => {
            change::remove(
                context,
                &path(text(matches, "DATA-CENTRE")),
                Mode::from_matches(matches),
            )
            .await
        }
        Some((_, matches)) => status(context, text(matches, "DATA-CENTRE")).await,
        None => status(context, "").await,
    }
}

/// Returns the API path of a data centre.
fn path(name: &str) -> String {
    format!("/v1/data-centres/{name}")
}

async fn status(context: &Context, name: &str) -> Result<Report, Error> {
    let data_centres: Vec<DataCentre> = match name {
        "" => context.api.list("/v1/data-centres").await?,
        name => vec![context.api.read(&path(name)).await?],
    };
    let heading =
        ["DATA CENTRE", "REGION", "STANDING", "WORKERS", "FREE ACCELERATORS", "TASKS", "REQUESTS"];
    let mut table = Table::new(&heading);
    for data_centre in &data_centres {
        table.add_row([
            &data_centre.name,
            &data_centre.region,
            &data_centre.standing,
            &data_centre.workers,
            &format!("{}/{}", data_centre.free_accelerators, data_centre.accelerators),
            &data_centre.tasks,
            &data_centre.requests,
        ]);
    }
    Ok(Report::new(table.render(), &data_centres))
}

async fn add(context: &Context, matches: &ArgMatches) -> Result<Report, Error> {
    let name = text(matches, "DATA-CENTRE");
    let existing: Vec<DataCentre> = context.api.list("/v1/data-centres").await?;
    if existing.iter().any(|data_centre| data_centre.name == name) {
        let hint = "take it in or out with `lavendergauge data-centre in` or `out`";
        return Err(Error::refused(format!("data centre `{name}` already exists"), hint));
    }
    let definition = json!({"name": name, "region": text(matches, "region"), "standing": "in"});
    change::put(context, &path(name), "*", &definition, Mode::Apply).await
}

/// Replaces a data centre by one that differs only in whether it is `in` or `out`.
async fn set_standing(
    context: &Context,
    name: &str,
    standing: &str,
    mode: Mode,
) -> Result<Report, Error> {
    let versioned = context.api.read_with_etag::<DataCentre>(&path(name)).await?;
    let definition = json!({"name": name, "region": versioned.value.region, "standing": standing});
    change::put(context, &path(name), &versioned.etag, &definition, mode).await
}

async fn out(context: &Context, matches: &ArgMatches) -> Result<Report, Error> {
    let (name, mode) = (text(matches, "DATA-CENTRE"), Mode::from_matches(matches));
    let report = set_standing(context, name, "out", mode).await?;
    if mode == Mode::DryRun || !matches.get_flag("wait") {
        return Ok(report);
    }
    let limit = Duration::from_secs(u64::from(number(matches, "timeout-s", 300_u32)));
    let data_centre = context.wait(limit, async || {
        let data_centre: DataCentre = context.api.read(&path(name)).await?;
        if data_centre.tasks == 0 && data_centre.requests == 0 {
            return Ok(Poll::Ready(data_centre));
        }
        Ok(Poll::Pending(format!(
            "{} tasks and {} requests still run in {name}",
            data_centre.tasks, data_centre.requests
        )))
    });
    let data_centre = data_centre.await?;
    Ok(Report::new(format!("{}nothing runs in {name}\n", report.text), &data_centre))
}
