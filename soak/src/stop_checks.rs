use std::collections::HashMap;
use std::fmt;
use std::time::{Duration, Instant};

use crate::caller::TurnKind;
use crate::checks::{Checks, Violation, by_request};
use crate::connection::Ending;
use crate::endpoint::EndpointFault;
use crate::journal::Run;
use crate::program::{BUDGET, Report, RequestKind};
use crate::stop_callers::StopRequest;
use crate::stops::{GRACE, Stop, StopReport};

/// Time for which a request that was sent and did not run may lie unread when its connection closes.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// Time after SIGTERM until which a gateway waits for an endpoint: the last part of the grace period
/// is for the answers.
const WAIT_AFTER_TERM: Duration = Duration::from_secs(3);

/// Part of the grace period at whose end an endpoint that is still at work may be cut off.
const AT_WORK_UNTIL: Duration = Duration::from_millis(GRACE.as_millis() as u64 * 5 / 6);

/// How much earlier than due a timeout may be answered: callers and gateways measure apart.
const TIMING_TOLERANCE: Duration = Duration::from_millis(150);

/// Checks what callers of stopped gateways got against what endpoints ran and gateways logged.
pub struct StopChecks<'a> {
    report: &'a StopReport,
    programs: Report,
    runs: &'a [Run],
    runs_of: HashMap<&'a str, Vec<&'a Run>>,
    /// The log lines that name a request, with the number of the gateway.
    lines: HashMap<&'a str, Vec<(usize, &'a str)>>,
}

impl<'a> StopChecks<'a> {
    /// Checks a run; `logs` are the log lines of each gateway.
    pub fn open(report: &'a StopReport, runs: &'a [Run], logs: &'a [Vec<String>]) -> Self {
        let requests = report.requests.iter().map(|request| request.sent.clone()).collect();
        let programs = Report { requests, budget: BUDGET, ..Report::default() };
        let mut lines: HashMap<&str, Vec<(usize, &str)>> = HashMap::new();
        for (gateway, log) in logs.iter().enumerate() {
            for line in log {
                let Some(request) = request_in(line) else { continue };
                lines.entry(request).or_default().push((gateway, line));
            }
        }
        StopChecks { report, programs, runs, runs_of: by_request(runs), lines }
    }

    /// All violations; also of what holds in each run, whether gateways are stopped or not.
    pub fn violations(&self) -> Vec<Violation> {
        let requests = self.report.requests.iter().flat_map(|request| self.of_request(request));
        let stops = self.report.stops.iter().flat_map(of_stop);
        let programs = Checks::open(&self.programs, self.runs).violations();
        requests.chain(stops).chain(programs).collect()
    }

    fn of_request(&self, request: &StopRequest) -> Vec<Violation> {
        let answer = &request.sent.answer;
        let runs = self.runs_of(request);
        let whole = request.whole_at.is_some();
        let named = request.named.as_ref() == Some(&request.sent.request);
        let cut = matches!(request.ending, Ending::Closed | Ending::Reset);
        // The head of a stream may still be unsent when its endpoint breaks off.
        let broken_stream = request.sent.kind.is_turn() && self.may_break_off(request);
        let checks = [
            (
                "a request that ran is answered",
                cut && answer.status.is_none() && !runs.is_empty() && !broken_stream,
            ),
            (
                "a request that was read is answered",
                runs.is_empty() && is_unanswered(request, Ending::Closed),
            ),
            (
                "a response that has begun is completed",
                cut && answer.status.is_some() && !self.may_end_early(request),
            ),
            (
                "a request is answered within its time",
                whole && request.ending == Ending::GaveUp && answer.status.is_none(),
            ),
            ("only responses arrive", request.ending == Ending::Garbled),
            ("a response names its request", answer.status.is_some() && !named),
            ("a request that was not sent whole never runs", !whole && !runs.is_empty()),
            ("an endpoint that is silent or slow is waited for", self.is_too_early(request)),
            ("the log of a stopped gateway names each failure", self.is_unlogged(request)),
        ];
        let broken = checks.into_iter().filter(|(_, broken)| *broken);
        broken.map(|(guarantee, _)| Violation { guarantee, seen: self.describe(request) }).collect()
    }

    fn runs_of(&self, request: &StopRequest) -> &[&Run] {
        self.runs_of.get(request.sent.request.as_str()).map_or(&[], Vec::as_slice)
    }

    /// The log lines that name a request, with the number of the gateway.
    fn lines_of(&self, request: &StopRequest) -> &[(usize, &str)] {
        self.lines.get(request.sent.request.as_str()).map_or(&[], Vec::as_slice)
    }

    /// The stop of the request's gateway that lasts while the request does.
    fn stop_of(&self, request: &StopRequest) -> Option<&Stop> {
        self.stops_during(request).find(|stop| stop.gateway == request.gateway)
    }

    /// The stops that last while the request does, of its gateway and of those whose log names it: they
    /// may be the owner that it is forwarded to.
    fn stops_during(&self, request: &StopRequest) -> impl Iterator<Item = &Stop> {
        let during =
            |stop: &&Stop| stop.term_at <= request.ended_at && request.sent.sent <= stop.exited_at;
        let serves = |stop: &&Stop| {
            let mut lines = self.lines_of(request).iter();
            stop.gateway == request.gateway || lines.any(|(gateway, _)| *gateway == stop.gateway)
        };
        self.report.stops.iter().filter(move |stop| during(stop) && serves(stop))
    }

    /// Whether a response that has begun may end early: its time was over, its endpoint broke off, was
    /// silent or was still at work in the last sixth of the grace period, or the store, which must have
    /// a turn's record before the turn ends, had a fault.
    fn may_end_early(&self, request: &StopRequest) -> bool {
        let time_is_over = request.ended_at >= request.sent.sent + request.limit;
        let faults = [EndpointFault::Silent, EndpointFault::StallsFirstRun];
        let is_silent = self.runs_of(request).iter().any(|run| faults.contains(&run.fault));
        let (sent, ended) = (request.sent.sent, request.ended_at);
        let mut store_faults = self.report.store_faults.iter();
        let unrecorded = request.sent.kind == RequestKind::Turn(TurnKind::Kept)
            && store_faults.any(|(from, until)| *from <= ended && sent <= *until);
        time_is_over
            || is_silent
            || unrecorded
            || self.may_break_off(request)
            || self.stops_during(request).any(|stop| self.is_at_work(request, stop))
    }

    /// Whether an endpoint may have broken its response off.
    fn may_break_off(&self, request: &StopRequest) -> bool {
        let breaks = |run: &&Run| matches!(run.fault, EndpointFault::BreaksOneIn(_));
        self.runs_of(request).iter().any(breaks)
    }

    /// Whether an endpoint worked on a request in the last sixth of the grace period.
    fn is_at_work(&self, request: &StopRequest, stop: &Stop) -> bool {
        let last_part = stop.term_at + AT_WORK_UNTIL;
        let works = |run: &&Run| run.ended_at.is_none_or(|ended_at| ended_at >= last_part);
        request.ended_at >= last_part && self.runs_of(request).iter().any(works)
    }

    /// Whether a request that runs once was given up while its endpoint might still have answered: its
    /// time was not over, and no gateway was about to exit.
    fn is_too_early(&self, request: &StopRequest) -> bool {
        let ran_once = request.sent.kind.runs_once() && !self.runs_of(request).is_empty();
        let exits = self.stops_during(request).map(|stop| stop.term_at + WAIT_AFTER_TERM);
        let over = request.sent.sent + request.limit;
        matches!(request.sent.answer.status, Some(502..=504))
            && ran_once
            && !self.may_break_off(request)
            && exits.chain([over]).all(|due| request.ended_at + TIMING_TOLERANCE < due)
    }

    /// Whether a stopped gateway read a request, did not serve it, and no line of its log names it.
    fn is_unlogged(&self, request: &StopRequest) -> bool {
        let failed = match request.sent.answer.status {
            Some(status) => !(200..300).contains(&status),
            None => is_unanswered(request, Ending::Closed),
        };
        let named = self.lines_of(request).iter().any(|(gateway, _)| *gateway == request.gateway);
        failed && !named && self.stop_of(request).is_some()
    }

    fn describe(&self, request: &StopRequest) -> String {
        let StopRequest { sent, gateway, limit, whole_at, ended_at, ending, named } = request;
        let after = |at: Instant| at.duration_since(sent.sent).as_millis();
        let before = |at: Instant| sent.sent.duration_since(at).as_millis();
        let runs = self.runs_of(request).iter();
        let runs: Vec<_> = runs.map(|run| (after(run.at), &run.endpoint, run.fault)).collect();
        let stops = self.stops_during(request).map(|stop| {
            let Stop { gateway, term_at, exited_at, .. } = *stop;
            (gateway, after(term_at) as i128 - before(term_at) as i128, after(exited_at))
        });
        let stops: Vec<_> = stops.collect();
        let mut seen = format!(
            "{} ({:?}, limit {limit:?}) at entry-{gateway}: {:?} {ending:?} after {} ms, names {named:?}; \
             whole after {:?} ms; runs (ms, endpoint, fault): {runs:?}; stops (gateway, SIGTERM, exit): \
             {stops:?}",
            sent.request,
            sent.kind,
            sent.answer.status,
            after(*ended_at),
            whole_at.map(after),
        );
        for (gateway, line) in self.lines_of(request) {
            seen += &format!("\n    entry-{gateway}: {line}");
        }
        seen
    }

    fn count(&self, is_counted: impl Fn(&StopRequest) -> bool) -> usize {
        self.report.requests.iter().filter(|request| is_counted(request)).count()
    }
}

impl fmt::Display for StopChecks<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let cut = |request: &StopRequest| {
            request.sent.answer.status.is_none() && request.ending != Ending::GaveUp
        };
        let during = self.count(|request| self.stop_of(request).is_some());
        write!(f, "{} stops, {during} requests at stopped gateways; ", self.report.stops.len())?;
        for status in [429, 502, 503, 504] {
            let count = self.count(|request| request.sent.answer.status == Some(status));
            write!(f, "{status}: {count}, ")?;
        }
        let begun = |request: &StopRequest| request.sent.answer.status == Some(200);
        write!(
            f,
            "closed without an answer: {} sent whole ({} of them unread for long), {} not; {} streams cut; \
             longest stall {:?}",
            self.count(|request| cut(request) && request.whole_at.is_some()),
            self.count(|request| is_unanswered(request, Ending::Reset)),
            self.count(|request| cut(request) && request.whole_at.is_none()),
            self.count(|request| begun(request) && !request.sent.answer.whole),
            self.report.longest_stall,
        )
    }
}

/// Whether a connection ended without a response though a whole request was sent on it, and did not
/// cross the end.
fn is_unanswered(request: &StopRequest, ending: Ending) -> bool {
    let crossed = |sent: Instant| request.ended_at.duration_since(sent) <= LOSS_SLACK;
    request.ending == ending
        && request.sent.answer.status.is_none()
        && request.whole_at.is_some_and(|sent| !crossed(sent))
}

/// A process must exit by itself, with success, within its grace period.
fn of_stop(stop: &Stop) -> Option<Violation> {
    let after = |at: Instant| at.duration_since(stop.term_at);
    let (running, exited) = (after(stop.running_at), after(stop.exited_at));
    let seen = || {
        let Stop { gateway, succeeded, .. } = stop;
        format!("entry-{gateway}: running after {running:?}, exited after {exited:?}: {succeeded}")
    };
    let is_broken = !stop.succeeded || running >= GRACE;
    is_broken.then(|| Violation { guarantee: "a stopped gateway exits in time", seen: seen() })
}

/// The ID of the request that a log line names.
fn request_in(line: &str) -> Option<&str> {
    let (_, rest) = line.split_once("\"request\":\"")?;
    rest.split('"').next()
}
