//! The datastores (RFC 8342), and the options of an edit.

use rockflow_yang::DataTree;

/// A configuration datastore.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Datastore {
    /// The configuration in force, which only commits change.
    Running,
    /// The session's private working copy of running.
    Candidate,
    /// The configuration that the next start begins with; equal to running under [`StartupMode::FollowsRunning`].
    Startup,
}

impl Datastore {
    /// The datastore's name in protocols and messages.
    pub fn name(self) -> &'static str {
        match self {
            Datastore::Running => "running",
            Datastore::Candidate => "candidate",
            Datastore::Startup => "startup",
        }
    }
}

/// Where a request takes a whole configuration from.
#[derive(Clone, Debug)]
pub enum ConfigSource {
    /// The contents of a datastore.
    Datastore(Datastore),
    /// A configuration sent with the request.
    Inline(DataTree),
}

/// Whether the startup datastore is separate from running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartupMode {
    /// A restart begins with the last permanent commit; startup always equals running.
    FollowsRunning,
    /// A restart begins with the startup configuration, which is stored and edited separately.
    Separate,
}

/// What happens to the other edits of a request when one fails (RFC 6241, section 7.2).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ErrorOption {
    /// The edits before the failed one are kept; those after it are not applied.
    #[default]
    Stop,
    /// All other edits are applied.
    Continue,
    /// None of the edits is kept.
    Rollback,
}

/// Whether edits are applied or only tested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EditMode {
    /// The edits change the datastore.
    Apply,
    /// Errors are reported, and the datastore does not change.
    TestOnly,
}
