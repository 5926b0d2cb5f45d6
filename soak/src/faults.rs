use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::EndpointFault;
use crate::platform_store::StoreFault;
use crate::proxy::LinkFault;
use crate::world::World;

/// Maximum duration of a fault.
const MAX_FAULT_MS: u64 = 1_500;

/// Maximum pause between the starts of two faults.
const MAX_PAUSE_MS: u64 = 500;

/// Number of kinds of faults.
const KINDS: u32 = 10;

/// Number of kinds of faults in a world with routes under load control.
const LOAD_KINDS: u32 = 11;

/// How long an endpoint that reads slowly reads nothing of a request's body.
const SLOW_READ_MS: u64 = 300;

/// How a fault is ended. The number is that of the gateway, link or endpoint.
#[derive(Debug, Clone, Copy)]
enum Recovery {
    Restart(usize),
    Resume(usize),
    Link(usize),
    Store,
    Endpoint(usize),
}

/// Injects random faults that may overlap. The seed determines which, when and for how long.
pub struct Faults {
    random: StdRng,
    kinds: u32,
    recoveries: Vec<(Instant, Recovery)>,
    /// Descriptions of the faults so far, for failure reports.
    pub injected: Vec<String>,
}

impl Faults {
    /// The faults of a seed; with `load`, also those that concern only routes under load control.
    pub fn open(seed: u64, load: bool) -> Faults {
        let random = StdRng::seed_from_u64(seed);
        let kinds = if load { LOAD_KINDS } else { KINDS };
        Faults { random, kinds, recoveries: Vec::new(), injected: Vec::new() }
    }

    /// Injects faults until `until`, then ends all that still last.
    pub async fn run(&mut self, world: &mut World, until: Instant) -> std::io::Result<()> {
        while Instant::now() < until {
            self.inject_next(world)?;
            let pause = Duration::from_millis(self.random.random_range(20..MAX_PAUSE_MS));
            let next = Instant::now() + pause;
            while Instant::now() < next {
                tokio::time::sleep(Duration::from_millis(10)).await;
                self.end_expired(world, Instant::now()).await?;
            }
        }
        let all = Instant::now() + Duration::from_millis(2 * MAX_FAULT_MS);
        self.end_expired(world, all).await
    }

    fn inject_next(&mut self, world: &mut World) -> std::io::Result<()> {
        let lasts = Duration::from_millis(self.random.random_range(50..MAX_FAULT_MS));
        let ends_at = Instant::now() + lasts;
        let at = self.random.random_range(0..world.gateways.len());
        let chosen = self.random.random_range(0..self.kinds);
        self.injected.push(format!("{chosen} on {at} for {} ms", lasts.as_millis()));
        let recovery = match chosen {
            0 => {
                world.gateways[at].kill()?;
                Recovery::Restart(at)
            }
            1 => {
                world.gateways[at].signal("TERM")?;
                Recovery::Restart(at)
            }
            2 => {
                world.gateways[at].signal("STOP")?;
                Recovery::Resume(at)
            }
            3 => {
                world.gateways[at].signal("HUP")?;
                return Ok(());
            }
            4 | 5 => {
                self.harm_link(world, at, ends_at);
                return Ok(());
            }
            6 => {
                self.harm_store(world, ends_at);
                return Ok(());
            }
            7 => {
                world.store.reassign_shards();
                return Ok(());
            }
            8 | 10 => {
                let endpoint = self.random.random_range(0..world.endpoints.len());
                let faults: &[EndpointFault] = match chosen {
                    10 => &[EndpointFault::ReadsSlowly(SLOW_READ_MS)],
                    _ => &[
                        EndpointFault::BreaksOneIn(4),
                        EndpointFault::FailsOneIn(2),
                        EndpointFault::Silent,
                    ],
                };
                let fault = faults[self.random.random_range(0..faults.len())];
                self.harm_endpoints(world, endpoint..=endpoint, fault, ends_at);
                return Ok(());
            }
            _ => {
                world.configure(&["secret-key-in-force"], &["other-key"]);
                return Ok(());
            }
        };
        self.recoveries.push((ends_at, recovery));
        Ok(())
    }

    /// Harms a gateway's link to the store until `ends_at`.
    pub(crate) fn harm_link(&mut self, world: &World, at: usize, ends_at: Instant) {
        let faults = [
            LinkFault::Delayed(20),
            LinkFault::Reset,
            LinkFault::BlockedToServer,
            LinkFault::BlockedToClient,
            LinkFault::Silent,
        ];
        world.links[at].set_fault(faults[self.random.random_range(0..faults.len())]);
        self.recoveries.push((ends_at, Recovery::Link(at)));
    }

    /// Harms the store until `ends_at`.
    pub(crate) fn harm_store(&mut self, world: &World, ends_at: Instant) {
        let faults = [
            StoreFault::Down,
            StoreFault::Silent,
            StoreFault::LosesAnswers(3),
            StoreFault::Slow(60),
        ];
        world.store.set_fault(faults[self.random.random_range(0..faults.len())]);
        self.recoveries.push((ends_at, Recovery::Store));
    }

    /// Sets the fault of some endpoints until `ends_at`.
    pub(crate) fn harm_endpoints(
        &mut self,
        world: &World,
        endpoints: impl Iterator<Item = usize>,
        fault: EndpointFault,
        ends_at: Instant,
    ) {
        for endpoint in endpoints {
            world.endpoints[endpoint].set_fault(fault);
            self.recoveries.push((ends_at, Recovery::Endpoint(endpoint)));
        }
    }

    /// Ends the faults that are over at `now`.
    pub(crate) async fn end_expired(
        &mut self,
        world: &mut World,
        now: Instant,
    ) -> std::io::Result<()> {
        let (due, later) = self.recoveries.drain(..).partition(|(at, _)| *at <= now);
        self.recoveries = later;
        let due: Vec<(Instant, Recovery)> = due;
        for (_, recovery) in due {
            match recovery {
                Recovery::Restart(at) => {
                    // A process stopped by SIGSTOP handles no signal but SIGKILL.
                    world.gateways[at].kill()?;
                    world.gateways[at].start()?;
                }
                Recovery::Resume(at) => {
                    world.gateways[at].signal("CONT")?;
                }
                Recovery::Link(at) => world.links[at].set_fault(LinkFault::None),
                Recovery::Store => world.store.set_fault(StoreFault::None),
                Recovery::Endpoint(at) => world.endpoints[at].set_fault(EndpointFault::None),
            }
        }
        Ok(())
    }
}
