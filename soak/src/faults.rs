use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::EndpointFault;
use crate::platform_store::StoreFault;
use crate::proxy::LinkFault;
use crate::world::World;

/// A fault lasts this long at most.
const LASTS_MOST_MS: u64 = 1_500;

/// Pause between the beginnings of two faults, at most.
const PAUSE_MOST_MS: u64 = 500;

#[derive(Debug, Clone, Copy)]
enum Ends {
    Start(usize),
    Continue(usize),
    Link(usize),
    Store,
    Endpoint(usize),
}

/// Brings faults about in series that overlap, chosen by a seed.
pub struct Faults {
    random: StdRng,
    ends: Vec<(Instant, Ends)>,
    /// What was done, for the report of a failure.
    pub done: Vec<String>,
}

impl Faults {
    /// The series of a seed.
    pub fn open(seed: u64) -> Faults {
        Faults { random: StdRng::seed_from_u64(seed), ends: Vec::new(), done: Vec::new() }
    }

    /// Brings faults about until `until`, then ends all that last.
    pub async fn play(&mut self, world: &mut World, until: Instant) -> std::io::Result<()> {
        while Instant::now() < until {
            self.begin(world)?;
            let pause = Duration::from_millis(self.random.random_range(20..PAUSE_MOST_MS));
            let next = Instant::now() + pause;
            while Instant::now() < next {
                tokio::time::sleep(Duration::from_millis(10)).await;
                self.end_due(world, Instant::now()).await?;
            }
        }
        let all = Instant::now() + Duration::from_millis(2 * LASTS_MOST_MS);
        self.end_due(world, all).await
    }

    fn begin(&mut self, world: &mut World) -> std::io::Result<()> {
        let lasts = Duration::from_millis(self.random.random_range(50..LASTS_MOST_MS));
        let ends_at = Instant::now() + lasts;
        let at = self.random.random_range(0..world.gateways.len());
        let chosen = self.random.random_range(0..10_u32);
        self.done.push(format!("{chosen} on {at} for {} ms", lasts.as_millis()));
        let ends = match chosen {
            0 => {
                world.gateways[at].kill()?;
                Ends::Start(at)
            }
            1 => {
                world.gateways[at].signal("TERM")?;
                Ends::Start(at)
            }
            2 => {
                world.gateways[at].signal("STOP")?;
                Ends::Continue(at)
            }
            3 => {
                world.gateways[at].signal("HUP")?;
                return Ok(());
            }
            4 | 5 => {
                let faults = [
                    LinkFault::Delayed(20),
                    LinkFault::Reset,
                    LinkFault::CutForth,
                    LinkFault::CutBack,
                    LinkFault::Silent,
                ];
                world.links[at].set(faults[self.random.random_range(0..faults.len())]);
                Ends::Link(at)
            }
            6 => {
                let faults = [
                    StoreFault::Down,
                    StoreFault::Silent,
                    StoreFault::LosesAnswers(3),
                    StoreFault::Slow(60),
                ];
                world.store.set_fault(faults[self.random.random_range(0..faults.len())]);
                Ends::Store
            }
            7 => {
                world.store.deal_anew();
                return Ok(());
            }
            8 => {
                let endpoint = self.random.random_range(0..world.endpoints.len());
                let faults = [
                    EndpointFault::BreaksOneIn(4),
                    EndpointFault::FailsOneIn(2),
                    EndpointFault::Silent,
                ];
                let fault = faults[self.random.random_range(0..faults.len())];
                world.endpoints[endpoint].set_fault(fault);
                Ends::Endpoint(endpoint)
            }
            _ => {
                world.configure(&["secret-key-in-force"], &["other-key"]);
                return Ok(());
            }
        };
        self.ends.push((ends_at, ends));
        Ok(())
    }

    async fn end_due(&mut self, world: &mut World, now: Instant) -> std::io::Result<()> {
        let (due, later) = self.ends.drain(..).partition(|(at, _)| *at <= now);
        self.ends = later;
        let due: Vec<(Instant, Ends)> = due;
        for (_, ends) in due {
            match ends {
                Ends::Start(at) => {
                    // A stopped process takes no other signal until it goes on.
                    world.gateways[at].kill()?;
                    world.gateways[at].start()?;
                }
                Ends::Continue(at) => {
                    world.gateways[at].signal("CONT")?;
                }
                Ends::Link(at) => world.links[at].set(LinkFault::None),
                Ends::Store => world.store.set_fault(StoreFault::None),
                Ends::Endpoint(at) => world.endpoints[at].set_fault(EndpointFault::None),
            }
        }
        Ok(())
    }
}
