//! What the peers of a run saw, for the checks and the time line.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Events that are kept for time lines; later ones are dropped.
const MAX_EVENTS: usize = 200_000;

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RequestEnd {
    /// One whole answer with this status.
    Answered(u16),
    /// The close of its connection crossed it.
    CrossedClose,
    /// Its client left before an answer.
    Left,
    /// The program had been killed.
    Killed,
    /// The connection was shut unread in a crowd.
    ShutInCrowd,
    /// No answer in time, or a close without one.
    Lost,
}

/// A request whose last byte was written.
pub(super) struct SentRequest {
    pub(super) id: u64,
    pub(super) is_at_most_once: bool,
    pub(super) left_at: Option<Instant>,
    pub(super) is_after_term: bool,
    pub(super) end: Option<RequestEnd>,
}

/// An attempt as a host received it.
pub(super) struct ReceivedAttempt {
    pub(super) host: String,
    pub(super) id: u64,
    pub(super) source: Option<String>,
    pub(super) received_at: Instant,
    /// The host's answer proves that it was not executed.
    pub(super) is_known_not_executed: bool,
}

/// A purge as it was issued.
pub(super) struct IssuedPurge {
    pub(super) object: String,
    pub(super) issued_at_ms: u64,
    /// When it was written whole to the dispatcher.
    pub(super) notified_at: Option<Instant>,
}

/// A moment of the time line.
pub(super) struct TimelineEvent {
    pub(super) at: Instant,
    /// The request that it is about; none: it is about all.
    pub(super) request: Option<u64>,
    pub(super) text: String,
}

/// All that was seen.
pub(super) struct Ledger {
    pub(super) started_at: Instant,
    pub(super) started_unix: Duration,
    pub(super) requests: BTreeMap<u64, SentRequest>,
    pub(super) attempts: Vec<ReceivedAttempt>,
    pub(super) purges: Vec<IssuedPurge>,
    /// When the dispatcher was told that a host drains.
    pub(super) drains: BTreeMap<String, Instant>,
    pub(super) term_at: Option<Instant>,
    pub(super) killed_at: Option<Instant>,
    pub(super) violations: Vec<super::Violation>,
    pub(super) events: Vec<TimelineEvent>,
    /// How late the rig's own clock was at worst.
    pub(super) max_lateness: Duration,
    /// The longest that the program had something to answer and was given no processor.
    pub(super) longest_starvation: Duration,
}

/// The ledger as the tasks of a run share it.
pub(super) type SharedLedger = Rc<RefCell<Ledger>>;

impl Ledger {
    pub(super) fn shared() -> SharedLedger {
        Rc::new(RefCell::new(Ledger {
            started_at: Instant::now(),
            started_unix: unix_now(),
            requests: BTreeMap::new(),
            attempts: Vec::new(),
            purges: Vec::new(),
            drains: BTreeMap::new(),
            term_at: None,
            killed_at: None,
            violations: Vec::new(),
            events: Vec::new(),
            max_lateness: Duration::ZERO,
            longest_starvation: Duration::ZERO,
        }))
    }

    /// Adds a moment to the time line.
    pub(super) fn add_event(&mut self, request: Option<u64>, text: impl Into<String>) {
        if self.events.len() < MAX_EVENTS {
            self.events.push(TimelineEvent { at: Instant::now(), request, text: text.into() });
        }
    }

    pub(super) fn report_violation(
        &mut self,
        rule: super::Rule,
        request: Option<u64>,
        detail: impl Into<String>,
    ) {
        let detail = detail.into();
        self.add_event(request, format!("VIOLATION {rule:?}: {detail}"));
        self.violations.push(super::Violation { rule, request, detail, at: self.started_at.elapsed() });
    }

    /// The program took so long to answer for its health, and hardly ran meanwhile.
    pub(super) fn on_starved(&mut self, took: Duration) {
        if took > self.longest_starvation {
            self.longest_starvation = took;
            self.add_event(
                None,
                format!("the program took {took:?} to answer for its health, and hardly ran"),
            );
        }
    }

    pub(super) fn on_sent(&mut self, id: u64, is_at_most_once: bool) {
        let is_after_term = self.term_at.is_some();
        let request = SentRequest { id, is_at_most_once, left_at: None, is_after_term, end: None };
        self.requests.insert(id, request);
        self.add_event(Some(id), "client: last byte written");
    }

    pub(super) fn on_end(&mut self, id: u64, end: RequestEnd) {
        self.add_event(Some(id), format!("client: {end:?}"));
        if let Some(request) = self.requests.get_mut(&id) {
            request.end = Some(end);
        }
    }

    pub(super) fn on_client_left(&mut self, id: u64) {
        self.on_end(id, RequestEnd::Left);
        if let Some(request) = self.requests.get_mut(&id) {
            request.left_at = Some(Instant::now());
        }
    }
}

/// The Unix time.
pub(super) fn unix_now() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
