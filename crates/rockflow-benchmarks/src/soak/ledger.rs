//! Records what the peers of a run observed, for the checks and the timelines of the report.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The most events that are kept for timelines; later ones are dropped.
const MAX_EVENTS: usize = 200_000;

/// How a request ended, as its client saw it. The report prints the names of the variants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RequestEnd {
    /// A complete answer with this status came.
    Answered(u16),
    /// The dispatcher closed the connection while the request was on its way.
    CrossedClose,
    /// The client left without waiting for the answer.
    Left,
    /// The program was killed before it answered.
    Killed,
    /// The dispatcher closed a new connection unread, because there were too many clients.
    ShutInCrowd,
    /// No valid answer came in time, or the connection was closed without one.
    Lost,
}

/// A request that a client has sent completely.
pub(super) struct SentRequest {
    pub(super) id: u64,
    pub(super) is_at_most_once: bool,
    /// When the client left without waiting for the answer.
    pub(super) left_at: Option<Instant>,
    /// Whether the request was sent after the first SIGTERM.
    pub(super) is_after_term: bool,
    /// How the request ended; `None` while the client waits.
    pub(super) end: Option<RequestEnd>,
}

/// An attempt that a host received.
pub(super) struct ReceivedAttempt {
    pub(super) host: String,
    /// The id of the client's request.
    pub(super) id: u64,
    /// The host from which a missing object would be filled; `None` if the attempt names none.
    pub(super) source: Option<String>,
    pub(super) received_at: Instant,
    /// Whether the answer of the host proves that the attempt was not executed.
    pub(super) is_known_not_executed: bool,
}

/// A purge that the run has issued.
pub(super) struct IssuedPurge {
    pub(super) object: String,
    /// The time of the purge, in Unix milliseconds. Copies created before it are purged.
    pub(super) issued_at_ms: u64,
    /// When the complete event was first written to the dispatcher; `None` until then.
    pub(super) notified_at: Option<Instant>,
}

/// An event of the timelines.
pub(super) struct TimelineEvent {
    pub(super) at: Instant,
    /// The id of the request that the event is about; `None` if the event concerns the run as a whole.
    pub(super) request: Option<u64>,
    pub(super) text: String,
}

/// The records of a run.
pub(super) struct Ledger {
    pub(super) started_at: Instant,
    /// The Unix time of the start of the run.
    pub(super) started_unix: Duration,
    /// The sent requests by id.
    pub(super) requests: BTreeMap<u64, SentRequest>,
    pub(super) attempts: Vec<ReceivedAttempt>,
    pub(super) purges: Vec<IssuedPurge>,
    /// When the drain of each host was first written to the dispatcher.
    pub(super) drains: BTreeMap<String, Instant>,
    /// When the first SIGTERM was sent.
    pub(super) term_at: Option<Instant>,
    /// When the program was killed in the middle of the load, after which it was started again.
    pub(super) killed_at: Option<Instant>,
    pub(super) violations: Vec<super::Violation>,
    pub(super) events: Vec<TimelineEvent>,
    /// The longest delay of a timer of the soak itself, which shows how far its own measurements can be wrong.
    pub(super) max_lateness: Duration,
    /// The longest time for which the program had a health check to answer and hardly got any processor time.
    pub(super) longest_starvation: Duration,
    /// The longest time for which a thread of the program waited for a processor.
    pub(super) longest_processor_wait: Duration,
}

/// The ledger that the tasks of a run share.
pub(super) type SharedLedger = Rc<RefCell<Ledger>>;

impl Ledger {
    /// Creates an empty ledger whose run starts now.
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
            longest_processor_wait: Duration::ZERO,
        }))
    }

    /// Adds an event with the current time to the timelines.
    pub(super) fn add_event(&mut self, request: Option<u64>, text: impl Into<String>) {
        if self.events.len() < MAX_EVENTS {
            self.events.push(TimelineEvent { at: Instant::now(), request, text: text.into() });
        }
    }

    /// Records a violation, also in the timelines.
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

    /// Records that the program took this long to answer a health check and hardly ran in that time.
    pub(super) fn on_starved(&mut self, response_time: Duration) {
        if response_time > self.longest_starvation {
            self.longest_starvation = response_time;
            self.add_event(
                None,
                format!(
                    "the program took {response_time:?} to answer a health check and got hardly any processor time"
                ),
            );
        }
    }

    /// Records that a thread of the program waited this long for a processor, in the timelines only.
    pub(super) fn on_processor_wait(&mut self, wait: Duration) {
        if wait > self.longest_processor_wait {
            self.longest_processor_wait = wait;
            self.add_event(None, format!("a thread of the program waited {wait:?} for a processor"));
        }
    }

    /// Records that the last byte of a request was written.
    pub(super) fn on_sent(&mut self, id: u64, is_at_most_once: bool) {
        let is_after_term = self.term_at.is_some();
        let request = SentRequest { id, is_at_most_once, left_at: None, is_after_term, end: None };
        self.requests.insert(id, request);
        self.add_event(Some(id), "client: last byte written");
    }

    /// Records how a request ended.
    pub(super) fn on_end(&mut self, id: u64, end: RequestEnd) {
        self.add_event(Some(id), format!("client: {end:?}"));
        if let Some(request) = self.requests.get_mut(&id) {
            request.end = Some(end);
        }
    }

    /// Records that the client of a request left.
    pub(super) fn on_client_left(&mut self, id: u64) {
        self.on_end(id, RequestEnd::Left);
        if let Some(request) = self.requests.get_mut(&id) {
            request.left_at = Some(Instant::now());
        }
    }
}

/// The time since the Unix epoch.
pub(super) fn unix_now() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
