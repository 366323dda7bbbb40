//! Compares rules of load shedding on queues that surge in turn beyond their capacity.
//!
//! `overload [SEEDS] [FACTOR] [RULE]` prints a table of means over the seeds, for all rules or one; the
//! rates of the queues are multiplied by the factor.

use masticfield_emulator::{Faults, Fleet, QueueShare, Scenario, Simulation};
use masticfield_jobs::schedule::JobOrder;

/// Length of the load in milliseconds, in which each queue surges once for 4.5 s.
const LENGTH_MS: u64 = 18_000;

fn main() {
    let mut args = std::env::args().skip(1);
    let seeds: u64 = args.next().and_then(|arg| arg.parse().ok()).unwrap_or(3);
    let factor: f64 = args.next().and_then(|arg| arg.parse().ok()).unwrap_or(1.0);
    let only = args.next();
    let wanted = |rule: &str| only.as_deref().is_none_or(|only| only == rule);
    println!(
        "| load | rule | value | on time | late | refused | by queue | largest tenth | next fifth |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let uneven = Faults {
        estimate_error: 0.5,
        long_runs: 0.03,
        ..Faults::default()
    };
    for (load, faults) in [("even", Faults::default()), ("uneven", uneven)] {
        for order in [
            JobOrder::FirstComeFirstServed,
            JobOrder::Priority,
            JobOrder::EarliestDeadline,
            JobOrder::ValueDensity,
            JobOrder::MooreHodgson,
            JobOrder::OnTimeFirst,
        ] {
            if wanted(order.name()) {
                print_mean(
                    load,
                    order.name(),
                    seeds,
                    &scenario(factor, faults).order(order),
                );
            }
        }
        if wanted("load_shedding") {
            let chosen = scenario(factor, faults).load_shedding(true);
            print_mean(load, "load_shedding", seeds, &chosen);
        }
    }
}

fn scenario(factor: f64, faults: Faults) -> Scenario {
    let mut fleet = Fleet::surging();
    fleet
        .queues
        .iter_mut()
        .for_each(|queue| queue.jobs_per_s *= factor);
    let scenario = Scenario::new(fleet).load_ms(LENGTH_MS).fixed_load();
    scenario.retries().faults(faults)
}

#[expect(clippy::cast_precision_loss, reason = "a number of seeds")]
fn print_mean(load: &str, rule: &str, seeds: u64, scenario: &Scenario) {
    let reports: Vec<_> = (0..seeds)
        .map(|seed| Simulation::new(scenario.clone(), seed).run())
        .collect();
    for report in &reports {
        assert!(report.violations.is_empty(), "{:?}", report.violations);
    }
    let count = seeds as f64;
    let sum = |figure: fn(&masticfield_emulator::Report) -> f64| {
        reports.iter().map(figure).sum::<f64>() / count
    };
    let asked = sum(|report| f64::from(report.submitted));
    let by_queue = |figure: fn(&QueueShare) -> f64| {
        let queues = (0..scenario.fleet.queues.len()).map(|queue| {
            let figures = reports
                .iter()
                .map(|report| figure(&report.shares.queues[queue]));
            format!("{:.2}", figures.sum::<f64>() / count)
        });
        queues.collect::<Vec<_>>().join(" ")
    };
    println!(
        "| {load} | {rule} | {:.3} | {:.3} | {:.3} | {:.3} | {} | {} | {} |",
        sum(|report| report.shares.value),
        sum(|report| f64::from(report.on_time)) / asked,
        sum(|report| f64::from(report.late)) / asked,
        sum(|report| f64::from(report.refused)) / asked,
        by_queue(|queue| queue.value),
        by_queue(|queue| queue.largest_tenth / queue.on_time.max(1e-9)),
        by_queue(|queue| queue.next_fifth / queue.on_time.max(1e-9)),
    );
}
