use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use super::simulation::{Simulation, Step};

fn steps() -> impl Strategy<Value = Vec<Step>> {
    vec((any::<u8>(), any::<u8>()).prop_map(|(kind, arg)| Step { kind, arg }), 0..400)
}

/// Cases and seed are fixed for CI; `TREFOIL_CASES` and `TREFOIL_SEED` override them for long runs.
fn config() -> Config {
    let cases = std::env::var("TREFOIL_CASES").ok().and_then(|cases| cases.parse().ok());
    let seed = std::env::var("TREFOIL_SEED").ok().and_then(|seed| seed.parse().ok());
    Config {
        cases: cases.unwrap_or(300),
        rng_seed: RngSeed::Fixed(seed.unwrap_or(20_261_203)),
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Random sequences of faults: owners crash, or pause until another entry has taken over and
    /// then resume; the log is unavailable, loses answers, or applies appends late; endpoint
    /// processes crash and connections break; callers repeat calls, call too early, and
    /// disconnect. In any order of these, turns run in order on the recorded history, payments run
    /// at most once, budgets are never exceeded, calls refused as not run did not run, and every
    /// program finishes once the faults stop.
    #[test]
    fn invariants_hold_under_any_interleaving_of_faults(steps in steps()) {
        let mut simulation = Simulation::new(4);
        simulation.limit_append_rate = true;
        // Entry 0 claims the shard.
        simulation.step(Step { kind: 54, arg: 0 });
        steps.into_iter().for_each(|step| simulation.step(step));
        simulation.run_to_completion();
    }
}
