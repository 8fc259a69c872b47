//! `lavendergauge data-centre`: data centres, taken in and out.

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
use crate::context::Wait;
use crate::context::number;
use crate::context::text;
use crate::error::Error;
use crate::report::Report;
use crate::report::Table;

/// Returns the command's arguments.
pub fn command() -> Command {
    let name = || positional("DATA-CENTRE", "Name of the data centre");
    Command::new("data-centre")
        .about("Data centres, taken in and out")
        .subcommand_required(true)
        .subcommand(
            Command::new("status")
                .about("Show what stands and runs in the data centres")
                .arg(name().required(false)),
        )
        .subcommand(
            Command::new("add")
                .about("Create a data centre, taken in")
                .arg(name())
                .arg(option("region", "Region of the data centre").required(true)),
        )
        .subcommand(
            Command::new("out")
                .about("Take a data centre out: nothing starts there, and what runs is moved")
                .arg(name())
                .arg(dry_run())
                .arg(flag("wait", "Wait until nothing runs there"))
                .arg(timeout("300")),
        )
        .subcommand(
            Command::new("in").about("Take a data centre in again").arg(name()).arg(dry_run()),
        )
        .subcommand(
            Command::new("remove")
                .about("Remove a data centre without workers")
                .arg(name())
                .arg(dry_run()),
        )
}

/// Runs one of the subcommands.
///
/// # Errors
/// When no entry can be reached, or it refuses.
pub async fn run(context: &Context, matches: &ArgMatches) -> Result<Report, Error> {
    match matches.subcommand() {
        Some(("add", matches)) => add(context, matches).await,
        Some(("out", matches)) => out(context, matches).await,
        Some(("in", matches)) => {
            take(context, text(matches, "DATA-CENTRE"), "in", Mode::of(matches)).await
        }
        Some(("remove", matches)) => {
            change::remove(context, &path(text(matches, "DATA-CENTRE")), Mode::of(matches)).await
        }
        Some((_, matches)) => status(context, text(matches, "DATA-CENTRE")).await,
        None => status(context, "").await,
    }
}

fn path(name: &str) -> String {
    format!("/v1/data-centres/{name}")
}

async fn status(context: &Context, name: &str) -> Result<Report, Error> {
    let centres: Vec<DataCentre> = match name {
        "" => context.api.list("/v1/data-centres").await?,
        name => vec![context.api.read(&path(name)).await?],
    };
    let heading =
        ["DATA CENTRE", "REGION", "STANDING", "WORKERS", "FREE ACCELERATORS", "TASKS", "REQUESTS"];
    let mut table = Table::new(&heading);
    for centre in &centres {
        table.row([
            &centre.name,
            &centre.region,
            &centre.standing,
            &centre.workers,
            &format!("{}/{}", centre.free_accelerators, centre.accelerators),
            &centre.tasks,
            &centre.requests,
        ]);
    }
    Ok(Report::new(table.write(), &centres))
}

async fn add(context: &Context, matches: &ArgMatches) -> Result<Report, Error> {
    let name = text(matches, "DATA-CENTRE");
    let known: Vec<DataCentre> = context.api.list("/v1/data-centres").await?;
    if known.iter().any(|centre| centre.name == name) {
        let hint = "take it in or out with `lavendergauge data-centre in` or `out`";
        return Err(Error::refused(format!("data centre `{name}` exists"), hint));
    }
    let zone = json!({"name": name, "region": text(matches, "region"), "standing": "in"});
    change::put(context, &path(name), "*", &zone, Mode::Real).await
}

async fn take(context: &Context, name: &str, standing: &str, mode: Mode) -> Result<Report, Error> {
    let read = context.api.read_tagged::<DataCentre>(&path(name)).await?;
    let zone = json!({"name": name, "region": read.value.region, "standing": standing});
    change::put(context, &path(name), &read.tag, &zone, mode).await
}

async fn out(context: &Context, matches: &ArgMatches) -> Result<Report, Error> {
    let (name, mode) = (text(matches, "DATA-CENTRE"), Mode::of(matches));
    let report = take(context, name, "out", mode).await?;
    if mode == Mode::Dry || !matches.get_flag("wait") {
        return Ok(report);
    }
    let limit = Duration::from_secs(u64::from(number(matches, "timeout-s", 300_u32)));
    let centre = context.wait(limit, async || {
        let centre: DataCentre = context.api.read(&path(name)).await?;
        if centre.tasks == 0 && centre.requests == 0 {
            return Ok(Wait::Over(centre));
        }
        Ok(Wait::Still(format!(
            "{} tasks and {} requests still run in {name}",
            centre.tasks, centre.requests
        )))
    });
    let centre = centre.await?;
    Ok(Report::new(format!("{}nothing runs in {name}\n", report.text), &centre))
}
