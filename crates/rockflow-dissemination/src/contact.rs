//! How recent a member's contact with the control nodes is, judged by the heartbeats of its parents.

use crate::timestamp::Timestamp;
use std::time::Duration;

/// A heartbeat up to this age is fresh: it shows that the node is in contact with the control nodes. Contact is lost
/// if no further fresh heartbeat arrives within the same time.
const IN_CONTACT_HEARTBEATS: u32 = 8;

/// The record of the heartbeats received from parents, which pass them on from control nodes.
#[derive(Clone, Debug)]
pub(crate) struct Contact {
    heartbeat_interval: Duration,
    /// When a control node sent the newest heartbeat received.
    newest: Option<Timestamp>,
    /// Start of the current contact, that is, of fresh heartbeats without a break.
    since: Duration,
    /// When the last fresh heartbeat arrived; `None` before the first and after a pause of the process.
    last_fresh: Option<Duration>,
}

impl Contact {
    /// Creates a record without any contact.
    pub fn new(heartbeat_interval: Duration, now: Duration) -> Contact {
        Contact { heartbeat_interval, newest: None, since: now, last_fresh: None }
    }

    /// Start of the current contact, that is, of fresh heartbeats without a break.
    pub fn since(&self) -> Duration {
        self.since
    }

    /// Time since a control node sent the newest heartbeat received; `None` if none was received.
    pub fn staleness(&self, now: Duration) -> Option<Duration> {
        self.newest.map(|newest| newest.age(now))
    }

    /// The staleness in milliseconds; `u32::MAX` if no heartbeat was received.
    pub fn staleness_ms(&self, now: Duration) -> u32 {
        self.newest.map_or(u32::MAX, |newest| newest.age_ms(now))
    }

    /// Records a heartbeat from the parent that a control node sent at `timestamp`.
    pub fn on_heartbeat(&mut self, now: Duration, timestamp: Timestamp) {
        self.newest = self.newest.max(Some(timestamp));
        let limit = self.heartbeat_interval * IN_CONTACT_HEARTBEATS;
        if timestamp.age(now) > limit {
            return;
        }
        if self.last_fresh.is_none_or(|last| now.saturating_sub(last) > limit) {
            self.since = now;
        }
        self.last_fresh = Some(now);
    }

    /// Ends the current contact after a pause of the process; the next fresh heartbeat starts a new one.
    pub fn interrupt(&mut self) {
        self.last_fresh = None;
    }
}
