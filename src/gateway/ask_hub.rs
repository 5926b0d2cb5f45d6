//! Has the hub that counts a workspace's requests decide on the admission of one.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use super::attach_message::{AttachMessage, Decision, Question};
use super::count_here::{NotGranted, count_here, knows_windows};
use super::full_windows::FullWindows;
use super::hub::send;
use super::hubs::{CountingCandidate, Inquiry, InquiryStep, NotAdmitted, counting_order};
use super::rates::workspace_hash;
use super::state::Gateway;
use crate::catalog::Workspace;
use crate::prelude::*;
use crate::quota::{Claim, Grant};

/// Who has admitted a request.
pub(super) enum Admitted {
    /// Nobody needs to: the workspace has no limit.
    Unlimited,
    /// This entry, a hub.
    Here(Grant),
    /// Another hub.
    ByHub(HubGrant),
}

/// An admission that another hub has granted, to be returned if the request does not run.
#[value]
#[must_use]
pub(super) struct HubGrant {
    hub: SocketAddr,
    number: u64,
}

/// The questions of this entry that hubs have not answered yet.
#[derive(Debug, Default)]
pub(super) struct Questions {
    unanswered: RefCell<HashMap<u64, oneshot::Sender<(SocketAddr, Decision)>>>,
    next_number: Cell<u64>,
    socket: RefCell<Option<Rc<UdpSocket>>>,
    full_windows: RefCell<FullWindows>,
}

impl Questions {
    /// The state of a process that starts now; `started` makes its questions differ from those of
    /// earlier process instances.
    pub(super) fn open(started: UnixMs) -> Questions {
        Questions { next_number: Cell::new(started.0 << 20), ..Questions::default() }
    }

    /// Sets the socket from which questions are sent.
    pub(super) fn bind(&self, socket: Rc<UdpSocket>) {
        self.socket.replace(Some(socket));
    }

    fn take_number(&self) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        number
    }

    /// Passes a hub's decision to the request that waits for it.
    pub(super) fn apply_answer(&self, hub: SocketAddr, number: u64, decision: Decision) {
        if let Some(sender) = self.unanswered.borrow_mut().remove(&number) {
            // The request may have given up meanwhile.
            sender.send((hub, decision)).unwrap_or_default();
        }
    }
}

/// A question that has been asked. When it ends, all hubs that may have admitted the request are told
/// to refund it, but for the one whose grant is used.
struct AskedHubs<'a> {
    gateway: &'a Gateway,
    number: u64,
    hubs: Vec<SocketAddr>,
}

impl AskedHubs<'_> {
    async fn ask(&mut self, hub: SocketAddr, question: Question) {
        if !self.hubs.contains(&hub) {
            self.hubs.push(hub);
        }
        let socket = self.gateway.questions.socket.borrow().clone();
        if let Some(socket) = socket {
            send(&socket, hub, &AttachMessage::Question(question)).await;
        }
    }

    fn accept(&mut self, hub: SocketAddr) -> HubGrant {
        self.hubs.retain(|asked| *asked != hub);
        HubGrant { hub, number: self.number }
    }
}

impl Drop for AskedHubs<'_> {
    fn drop(&mut self) {
        self.gateway.questions.unanswered.borrow_mut().remove(&self.number);
        for hub in std::mem::take(&mut self.hubs) {
            refund(self.gateway, HubGrant { hub, number: self.number });
        }
    }
}

/// Has the hub that counts decide on the admission of a request; this entry itself if it does.
///
/// If each entry admitted requests by its own count, a surge that begins at all of them would be
/// admitted many times over before they hear of each other.
pub(super) async fn request_admission(
    gateway: &Gateway,
    workspace: &Workspace,
    claim: Claim,
) -> Result<Admitted, NotAdmitted> {
    if workspace.rate_per_s <= 0.0 {
        return Ok(Admitted::Unlimited);
    }
    let workspace = workspace_hash(&workspace.name);
    let full_windows = &gateway.questions.full_windows;
    let now = gateway.now();
    let reused = full_windows.borrow().retry_after_ms(now, workspace, claim);
    if let Some(retry_after_ms) = reused {
        return Err(NotAdmitted::NoRoom { retry_after_ms });
    }
    let admitted = match is_alone(gateway, now) {
        true => admit_alone(gateway, workspace, claim),
        false => ask_hubs(gateway, workspace, claim).await,
    };
    if let Err(NotAdmitted::NoRoom { retry_after_ms }) = admitted {
        let now = gateway.now();
        full_windows.borrow_mut().record(now, workspace, claim, retry_after_ms);
    }
    admitted
}

/// Whether this entry is a hub that hears fewer than half of the others.
fn is_alone(gateway: &Gateway, now: TimeMs) -> bool {
    gateway.is_hub() && !gateway.peers.borrow().peer_counts(now).hears_half()
}

fn admit_alone(gateway: &Gateway, workspace: u64, claim: Claim) -> Result<Admitted, NotAdmitted> {
    match count_here(gateway, workspace, claim) {
        Ok(grant) => Ok(Admitted::Here(grant)),
        Err(NotGranted::NoRoom { retry_after_ms } | NotGranted::Unknown { retry_after_ms }) => {
            Err(NotAdmitted::NoRoom { retry_after_ms })
        }
    }
}

async fn ask_hubs(
    gateway: &Gateway,
    workspace: u64,
    claim: Claim,
) -> Result<Admitted, NotAdmitted> {
    let question = Question { number: gateway.questions.take_number(), workspace, claim };
    let mut asked = AskedHubs { gateway, number: question.number, hubs: vec![] };
    let mut inquiry = Inquiry::open();
    let own = gateway.settings.peers;
    loop {
        let order = counting_order(workspace, candidates(gateway));
        let answer = match inquiry.next_step(order, own) {
            InquiryStep::CountHere => match count_here(gateway, workspace, claim) {
                Ok(grant) => return Ok(Admitted::Here(grant)),
                Err(not_granted) => Some((own, not_granted.into())),
            },
            InquiryStep::Ask { hubs, timeout_ms } => {
                ask_once(&mut asked, question, &hubs, timeout_ms).await
            }
            InquiryStep::End(not_admitted) => return Err(not_admitted),
        };
        match answer {
            Some((hub, Decision::Admitted)) => return Ok(Admitted::ByHub(asked.accept(hub))),
            Some((hub, refusal)) => {
                if let Some(not_admitted) = inquiry.record_refusal(hub, refusal) {
                    return Err(not_admitted);
                }
            }
            None => {}
        }
    }
}

/// Asks hubs once, and waits for the first answer.
async fn ask_once(
    asked: &mut AskedHubs<'_>,
    question: Question,
    hubs: &[SocketAddr],
    timeout_ms: u64,
) -> Option<(SocketAddr, Decision)> {
    let (sender, answer) = oneshot::channel();
    asked.gateway.questions.unanswered.borrow_mut().insert(question.number, sender);
    for hub in hubs {
        asked.ask(*hub, question).await;
    }
    tokio::time::timeout(Duration::from_millis(timeout_ms), answer).await.ok()?.ok()
}

/// The hubs that may count, as this entry knows them.
fn candidates(gateway: &Gateway) -> Vec<CountingCandidate> {
    if !gateway.is_hub() {
        let state = gateway.leaf.hub_state.borrow();
        let all_leave = state.hubs.iter().all(|hub| hub.leaving);
        let may_count = state.hubs.iter().filter(|hub| all_leave || !hub.leaving);
        let candidates = may_count.map(|hub| CountingCandidate {
            address: hub.address,
            cpu_millicores: None,
            knows_windows: true,
        });
        return candidates.collect();
    }
    let peers = gateway.peers.borrow();
    let mut candidates = peers.counting_candidates(gateway.now());
    if peers.may_count_here() {
        candidates.push(CountingCandidate {
            address: gateway.settings.peers,
            cpu_millicores: Some(gateway.settings.cpu_millicores),
            knows_windows: knows_windows(gateway),
        });
    }
    candidates
}

/// Returns an admission, as the request has not run and never will.
pub(super) fn refund(gateway: &Gateway, grant: HubGrant) {
    let socket = gateway.questions.socket.borrow().clone();
    if let Some(socket) = socket {
        tokio::task::spawn_local(async move {
            send(&socket, grant.hub, &AttachMessage::Refund { number: grant.number }).await;
        });
    }
}
