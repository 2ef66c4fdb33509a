//! Disseminates purges and host settings from a few control nodes, through a tree of dispatchers, to every dispatcher.
//!
//! Entries are numbered and acknowledged: each node applies an entry once, and the control nodes know which entries all
//! members have applied. The crate does no I/O: its caller passes in the received messages and the time, and carries
//! out the returned outputs. `docs/design/dissemination.md` has the design and its invariants.

mod apply_queue;
mod apply_tokens;
mod children;
mod clock;
mod config;
mod contact;
mod control;
mod convergence;
mod counters;
mod directory;
mod encoded_size;
mod entry;
mod forward_queue;
mod identity;
mod join;
mod message;
mod node;
mod output;
mod publisher;
mod quarantine;
mod rate_limits;
mod schedule;
mod setting;
mod settings_table;
mod slot_set;
mod status;
mod stream;
mod streams;
mod subscription;
mod subtree_report;
mod table_sync;
mod timestamp;
mod token_bucket;

pub use apply_tokens::{ApplyToken, MAX_PENDING_TOKENS};
pub use children::{MAX_CHILDREN, MAX_CONTROL_CHILDREN};
pub use config::NodeConfig;
pub use counters::{Counters, MessageCounts};
pub use directory::{Directory, DirectoryError, DirectoryMember, DirectoryProblem, Placement, Region};
pub use entry::{AgedEntry, Entry, EntryId, Purge, SequenceNumber, StreamId, StreamKind};
pub use identity::{ControlId, Identity, Incarnation, NodeId, Peer};
pub use message::{
    Message, MAX_BATCH_ENTRIES, MAX_PARENTS, MAX_RANGES, MAX_REGION_REPORTS, MAX_REPORTS,
    MAX_SETTINGS_PER_PART, MAX_STREAMS, MAX_TIPS,
};
pub use node::{Node, MAX_UNSENT_PUBLICATIONS};
pub use output::{Output, Publication};
pub use publisher::{
    Publisher, PublisherRole, BACKLOG_AGE_UNCERTAINTY, MAX_NOTICES_PER_PURGE, MAX_PENDING_PURGES,
    MAX_PUBLISHED_PURGES,
};
pub use quarantine::MAX_QUARANTINED;
pub use setting::{
    DesiredState, HostSetting, HybridTimestamp, RejectionReason, SettingVersion, MAX_CLOCK_UNIX_MS,
    MAX_NAME_BYTES, MAX_TRUSTED_CLOCK_UNIX_MS,
};
pub use settings_table::{SettingOutcome, SettingsTable, MAX_HOSTS, MAX_PARTS_AT_ONCE};
pub use slot_set::{SlotSet, MAX_SLOTS};
pub use status::{ControlStatus, NodeStatus, ResourceUsage, StreamStatus};
pub use stream::{StreamTip, MAX_CONFIGURATION_LOG_ENTRIES, MAX_PURGE_LOG_ENTRIES};
pub use subtree_report::{RegionReport, SubtreeReport, MAX_LAGGING, MAX_REJECTED};
