//! Tables of simulated latency, wasted prefill, fairness and failures by routing, queue order and load
//! shedding, over five seeds.

use trefoilproxy::endpoint::OrderPolicy;
use trefoilproxy::routing::{RoutingPolicy, SheddingPolicy};

use crate::policies::{
    BIOGAS_LEDGER, COUNTED_UNTIL_MS, Deployment, ICE_WATCH, Run, Score, WARM_UP_MS,
};

const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

fn percentile(sorted: &[u64], percent: usize) -> f64 {
    let index = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
    sorted.get(index).map_or(0.0, |ms| *ms as f64 / 1_000.0)
}

/// The mean and half of the distance between the extremes.
fn spread(values: &[f64]) -> (f64, f64) {
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    let min_value = values.iter().copied().fold(f64::INFINITY, f64::min);
    let max_value = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    (mean, (max_value - min_value) / 2.0)
}

/// Runs one combination over all seeds and prints its row.
fn print_row(
    deployment: Deployment,
    load: f64,
    routing: RoutingPolicy,
    order: OrderPolicy,
    shedding: SheddingPolicy,
) {
    let scores: Vec<Score> = SEEDS
        .iter()
        .map(|seed| Run::new(deployment, load, routing, order, shedding, *seed).run())
        .collect();
    let column =
        |value: &dyn Fn(&Score) -> f64| spread(&scores.iter().map(value).collect::<Vec<f64>>());
    let p50 = column(&|score| percentile(&score.latency_ms, 50));
    let p95 = column(&|score| percentile(&score.latency_ms, 95));
    let p99 = column(&|score| percentile(&score.latency_ms, 99));
    let recomputed_percent = column(&|score| score.recomputed_share * 100.0);
    let worst_relative_latency = column(&|score| score.worst_relative_latency);
    let seconds = (COUNTED_UNTIL_MS - WARM_UP_MS) as f64 / 1_000.0;
    let goodput = column(&|score| score.finished as f64 / seconds);
    let worst_failed_percent = column(&|score| score.worst_failed_percent);
    let failed = column(&|score| {
        100.0 * score.failed as f64 / (score.failed + score.finished).max(1) as f64
    });
    println!(
        "{:<13} {load:>4} {:<14} {:<17} {:<12} {:>6.1} ±{:<4.1} {:>6.1} ±{:<4.1} {:>6.1} ±{:<4.1} \
         {:>5.1} ±{:<4.1} {:>5.2} ±{:<4.2} {:>5.2} {:>5.1} {:>6.1}",
        deployment.name,
        format!("{routing:?}"),
        format!("{order:?}"),
        format!("{shedding:?}"),
        p50.0,
        p50.1,
        p95.0,
        p95.1,
        p99.0,
        p99.1,
        recomputed_percent.0,
        recomputed_percent.1,
        worst_relative_latency.0,
        worst_relative_latency.1,
        goodput.0,
        failed.0,
        worst_failed_percent.0,
    );
}

fn print_header() {
    println!(
        "{:<13} {:>4} {:<14} {:<17} {:<12} {:<12} {:<12} {:<12} {:<11} {:<11} {:>5} {:>5} {:>6}",
        "deployment",
        "load",
        "routing",
        "order",
        "shedding",
        "p50 s",
        "p95 s",
        "p99 s",
        "wasted %",
        "worst/mean",
        "good",
        "fail%",
        "worst%"
    );
}

/// Compares routing policies, then queue orders, at normal load.
pub fn run() {
    print_header();
    for deployment in [ICE_WATCH, BIOGAS_LEDGER] {
        for routing in [
            RoutingPolicy::Random,
            RoutingPolicy::RoundRobin,
            RoutingPolicy::LeastReported,
            RoutingPolicy::CacheAffinity,
        ] {
            print_row(
                deployment,
                1.0,
                routing,
                OrderPolicy::FairThenAttained,
                SheddingPolicy::Fair,
            );
        }
        for order in [OrderPolicy::Fifo, OrderPolicy::FairShare] {
            print_row(deployment, 1.0, RoutingPolicy::CacheAffinity, order, SheddingPolicy::Fair);
        }
    }
}

/// Compares shedding policies at loads up to five times the normal one.
pub fn overload() {
    print_header();
    let order = OrderPolicy::FairThenAttained;
    for load in [1.0, 2.0, 3.0, 5.0] {
        for shedding in [SheddingPolicy::None, SheddingPolicy::NewPrograms, SheddingPolicy::Fair] {
            print_row(ICE_WATCH, load, RoutingPolicy::CacheAffinity, order, shedding);
        }
    }
}

/// Compares shedding policies and queue orders without a flooding workspace and with one.
pub fn flood() {
    print_header();
    let affinity = RoutingPolicy::CacheAffinity;
    for flood in [0, 1, 4] {
        println!("{flood} programs of the flooding workspace for each of the others'");
        let deployment = Deployment { flood, ..BIOGAS_LEDGER };
        for shedding in [SheddingPolicy::None, SheddingPolicy::NewPrograms, SheddingPolicy::Fair] {
            for order in [OrderPolicy::Fifo, OrderPolicy::FairThenAttained] {
                print_row(deployment, 1.5, affinity, order, shedding);
            }
        }
    }
}
