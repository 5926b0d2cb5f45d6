use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::caller::{Caller, Turn, TurnKind};
use crate::checks::Violation;
use crate::journal::Run;
use crate::world::key_of;

/// The workspace that sends many times its rate.
pub(crate) const FLOODED: &str = "flooded";

/// Its rate per second and its burst.
pub(crate) const FLOODED_RATE: (u64, u64) = (20, 20);

/// Window of the rates, and what is tolerated in it beyond the limit, as in the gateways' settings.
const WINDOW: Duration = Duration::from_secs(5);
const OVERRUN: f64 = 0.1;
const SLACK: f64 = 20.0;

/// Callers of the workspace: so many that it sends several times its rate while each of them waits for
/// an answer.
const CALLERS: u64 = 120;

/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(100);

/// One in this many requests is a turn of a program whose budget is used up. It is admitted, refused by
/// its owner, and refunded.
const REFUNDED_ONE_IN: u32 = 3;

/// The requests of the flooded workspace, and when they were sent.
#[derive(Debug, Default)]
pub struct Flood {
    sent_at: HashMap<String, Instant>,
    admitted: usize,
}

/// Sends the flood to gateways chosen at random until `until`.
pub async fn run_flood(entries: &[SocketAddr], seed: u64, until: Instant) -> Flood {
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (entries, random) =
                (entries.to_vec(), StdRng::seed_from_u64(seed * CALLERS + number));
            tokio::spawn(send_requests(entries, random, number, until))
        })
        .collect();
    let mut flood = Flood::default();
    for caller in callers {
        let sent = caller.await.unwrap_or_default();
        flood.sent_at.extend(sent.sent_at);
        flood.admitted += sent.admitted;
    }
    flood
}

async fn send_requests(
    entries: Vec<SocketAddr>,
    mut random: StdRng,
    number: u64,
    until: Instant,
) -> Flood {
    let caller = Caller { key: key_of(FLOODED) };
    let mut flood = Flood::default();
    while Instant::now() < until {
        let entry = entries[random.random_range(0..entries.len())];
        let request = format!("flood-{number}-{}", flood.sent_at.len());
        flood.sent_at.insert(request.clone(), Instant::now());
        let answer = match random.random_range(0..REFUNDED_ONE_IN) {
            0 => {
                let turn = Turn {
                    kind: TurnKind::Resumable,
                    request,
                    program: format!("spent-{number}"),
                    budget: 1,
                    ..Turn::default()
                };
                caller.turn(entry, &turn).await
            }
            _ => caller.look_up(entry, &request).await,
        };
        flood.admitted += usize::from(answer.is_served());
        tokio::time::sleep(PAUSE).await;
    }
    flood
}

impl Flood {
    /// Windows in which more requests were sent and have run than the limit tolerates.
    pub fn violations(&self, runs: &[Run]) -> Vec<Violation> {
        let mut ran: Vec<_> = runs
            .iter()
            .filter_map(|run| Some((*self.sent_at.get(&run.request)?, run.at)))
            .collect();
        ran.sort_unstable();
        let (rate_per_s, burst) = FLOODED_RATE;
        let limit = rate_per_s as f64 * WINDOW.as_secs_f64() + burst as f64;
        let tolerated = limit * (1.0 + OVERRUN) + SLACK;
        let most = ran.iter().enumerate().map(|(first, (from, _))| {
            ran[first..].iter().filter(|(_, at)| *at < *from + WINDOW).count()
        });
        let most = most.max().unwrap_or_default();
        let seen = || format!("{most} requests ran in a window, {tolerated} are tolerated");
        let violation =
            || Violation { guarantee: "a workspace stays within its rate", seen: seen() };
        (most as f64 > tolerated).then(violation).into_iter().collect()
    }
}

impl fmt::Display for Flood {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "flood: {} requests, {} served", self.sent_at.len(), self.admitted)
    }
}
