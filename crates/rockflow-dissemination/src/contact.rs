//! How fresh a member's connection to control is, by the heartbeats of its parents.

use crate::timestamp::Timestamp;
use std::time::Duration;

/// A heartbeat at most this old shows that the node is in contact with control, for as long.
const IN_CONTACT_HEARTBEATS: u32 = 8;

/// The heartbeats received by way of parents.
#[derive(Clone, Debug)]
pub(crate) struct Contact {
    heartbeat_interval: Duration,
    /// When a control node made the newest heartbeat received.
    newest: Option<Timestamp>,
    /// Since when fresh heartbeats arrive without a break.
    since: Duration,
    /// When the last fresh one arrived.
    last_fresh: Option<Duration>,
}

impl Contact {
    /// No contact yet.
    pub fn new(heartbeat_interval: Duration, now: Duration) -> Contact {
        Contact { heartbeat_interval, newest: None, since: now, last_fresh: None }
    }

    /// Since when fresh heartbeats arrive without a break.
    pub fn since(&self) -> Duration {
        self.since
    }

    /// Time since a control node made the newest heartbeat received.
    pub fn staleness(&self, now: Duration) -> Option<Duration> {
        self.newest.map(|newest| newest.age(now))
    }

    /// The same in milliseconds; `u32::MAX`: none was received.
    pub fn staleness_ms(&self, now: Duration) -> u32 {
        self.newest.map_or(u32::MAX, |newest| newest.age_ms(now))
    }

    /// The parent has sent a heartbeat that a control node made at `timestamp`.
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

    /// This process did not run for a while: the next fresh heartbeat begins anew.
    pub fn interrupt(&mut self) {
        self.last_fresh = None;
    }
}
