//! Purges, as the dispatcher's actors hand them on.

use crate::clock::Clock;
use crate::endpoint::id_from_name;
use rockflow::{GroupId, ObjectId};
use rockflow_protocol::discovery::PurgeEvent;
use std::time::Duration;

/// When a purge was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PurgeTimestamp {
    /// Unix milliseconds by the clock of the discovery service.
    Unix(u64),
    /// A time on this dispatcher's own clock.
    Local(Duration),
}

impl PurgeTimestamp {
    /// How long ago that is.
    pub fn age(self, clock: Clock) -> Duration {
        match self {
            PurgeTimestamp::Unix(ms) => clock.age(ms),
            PurgeTimestamp::Local(at) => clock.now().saturating_sub(at),
        }
    }
}

/// A purge of an object or a group; of everything if neither is named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Purge {
    /// The object.
    pub object: Option<ObjectId>,
    /// The group.
    pub group: Option<GroupId>,
    /// When it was made: older copies are not served.
    pub purged_at: PurgeTimestamp,
}

impl Purge {
    /// A purge of everything.
    pub fn everything(purged_at: PurgeTimestamp) -> Purge {
        Purge { object: None, group: None, purged_at }
    }

    /// Whether it covers an object of a group.
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
