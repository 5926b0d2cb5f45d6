use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use super::world::{Step, World};

fn steps() -> impl Strategy<Value = Vec<Step>> {
    vec((any::<u8>(), any::<u8>()).prop_map(|(kind, arg)| Step { kind, arg }), 0..400)
}

/// The number of cases and the seed: fixed in CI, raised by hand for a long run.
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

    /// Owners die, pause past a takeover and wake; the log is out, loses answers and takes
    /// effect late; processes beside endpoints die and connections break; callers repeat, come
    /// early and go away. Whatever the order: turns run in order on the right history, payments
    /// at most once, budgets hold, refusals are true, and once faults end every program ends.
    #[test]
    fn programs_keep_their_promises_under_any_interleaving(steps in steps()) {
        let mut world = World::new(4);
        world.paced = true;
        world.step(Step { kind: 54, arg: 0 });
        steps.into_iter().for_each(|step| world.step(step));
        world.settle();
    }
}
