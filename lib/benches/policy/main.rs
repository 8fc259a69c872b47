//! The placement policy against plain baselines: same arrivals, faults and seeds for all.
//!
//! Nothing here simulates agents or networks: jobs arrive by script, run for their scripted
//! time on what the policy gives them, and the clock is a value. The planner is the very one
//! that the daemon runs. `cargo bench -p lavendergauge-lib --bench policy -- SEEDS` sets the
//! number of seeds.

mod arrivals;
mod baseline;
mod drive;
mod figure;

use arrivals::Script;
use baseline::Baseline;
use baseline::Rule;
use drive::Policy;
use figure::Figures;
use lavendergauge_lib::planner::Planner;

/// Seeds that are run if none are asked for.
const SEEDS: u64 = 3;

fn main() {
    let asked = std::env::args().skip(1).find_map(|text| text.parse().ok());
    let seeds = asked.unwrap_or(SEEDS);
    let mut rows: Vec<(&str, Figures)> = Vec::new();
    for (name, make) in POLICIES {
        let mut all = Figures::default();
        for seed in 0..seeds {
            let script = Script::new(seed);
            all.join(drive::run(make(), &script));
        }
        rows.push((name, all));
    }
    figure::print(&rows, seeds);
}

/// Makes one policy, fresh.
type Make = fn() -> Policy;

const POLICIES: [(&str, Make); 4] = [
    ("planner", || Policy::Planner(Box::<Planner>::default())),
    ("first fit", || Policy::Baseline(Baseline::new(Rule::FirstFit))),
    ("best fit", || Policy::Baseline(Baseline::new(Rule::BestFit))),
    ("EASY", || Policy::Baseline(Baseline::new(Rule::Easy))),
];
