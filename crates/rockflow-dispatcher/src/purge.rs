//! Purges, as the dispatcher's actors hand them on.

use crate::clock::Clock;
use crate::endpoint::id_from_name;
use rockflow::{GroupId, ObjectId};
use rockflow_protocol::discovery::PurgeEvent;
use std::time::Duration;

/// When a purge was made: by the board's Unix milliseconds, or on this dispatcher's own clock, so that no other is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PurgeTimestamp {
    Unix(u64),
    Local(Duration),
}

impl PurgeTimestamp {
    pub fn age(self, clock: Clock) -> Duration {
        match self {
            PurgeTimestamp::Unix(ms) => clock.ago(ms),
            PurgeTimestamp::Local(at) => clock.now().saturating_sub(at),
        }
    }
}

/// What is purged, by ids; neither an object nor a group: everything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Purge {
    pub object: Option<ObjectId>,
    pub group: Option<GroupId>,
    pub purged_at: PurgeTimestamp,
}

impl Purge {
    pub fn everything(purged_at: PurgeTimestamp) -> Purge {
        Purge { object: None, group: None, purged_at }
    }

    /// Whether what was decided of such an object knew too little.
    pub fn concerns(&self, object: ObjectId, group: GroupId) -> bool {
        match (self.object, self.group) {
            (Some(purged), _) => purged == object,
            (None, Some(purged)) => purged == group,
            (None, None) => true,
        }
    }
}

impl From<PurgeEvent> for Purge {
    fn from(flush: PurgeEvent) -> Purge {
        Purge {
            object: flush.object.as_deref().map(|asset| ObjectId(id_from_name(asset))),
            group: flush.group.map(GroupId),
            purged_at: PurgeTimestamp::Unix(flush.purged_at_ms),
        }
    }
}
