//! Purges as they are exchanged between the dispatcher's actors.

use crate::clock::Clock;
use crate::endpoint::id_from_name;
use rockflow::{GroupId, ObjectId};
use rockflow_protocol::discovery::PurgeEvent;
use std::time::Duration;

/// When a purge was made, on the clock of its source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PurgeTimestamp {
    /// Unix time in milliseconds, by the clock of the discovery service.
    Unix(u64),
    /// A time on this dispatcher's clock.
    Local(Duration),
}

impl PurgeTimestamp {
    /// Returns how long ago this is by the dispatcher's `clock`, without correction for the offset of
    /// discovery's clock.
    pub fn age(self, clock: Clock) -> Duration {
        match self {
            PurgeTimestamp::Unix(ms) => clock.age(ms),
            PurgeTimestamp::Local(at) => clock.now().saturating_sub(at),
        }
    }
}

/// A purge of an object or a group, or of everything if neither is set. If both are set, only the object
/// counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Purge {
    /// The purged object.
    pub object: Option<ObjectId>,
    /// The purged group.
    pub group: Option<GroupId>,
    /// When the purge was made. Copies older than that are not served.
    pub purged_at: PurgeTimestamp,
}

impl Purge {
    /// Creates a purge of everything.
    pub fn everything(purged_at: PurgeTimestamp) -> Purge {
        Purge { object: None, group: None, purged_at }
    }

    /// Whether the purge covers `object`, which belongs to `group`.
    pub fn covers(&self, object: ObjectId, group: GroupId) -> bool {
        match (self.object, self.group) {
            (Some(purged), _) => purged == object,
            (None, Some(purged)) => purged == group,
            (None, None) => true,
        }
    }
}

impl From<PurgeEvent> for Purge {
    fn from(event: PurgeEvent) -> Purge {
        Purge {
            object: event.object.as_deref().map(|object| ObjectId(id_from_name(object))),
            group: event.group.map(GroupId),
            purged_at: PurgeTimestamp::Unix(event.purged_at_ms),
        }
    }
}
