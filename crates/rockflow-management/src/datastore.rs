//! The datastores (RFC 8342), and how edits of one are made.

use rockflow_yang::DataTree;

/// A configuration datastore.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Datastore {
    /// The configuration in force, which commits alone change.
    Running,
    /// The session's own working copy.
    Candidate,
    /// The configuration of the next start, where it is separate from running.
    Startup,
}

impl Datastore {
    /// The name in protocols and messages.
    pub fn name(self) -> &'static str {
        match self {
            Datastore::Running => "running",
            Datastore::Candidate => "candidate",
            Datastore::Startup => "startup",
        }
    }
}

/// A whole configuration, by the datastore that holds it or as it was sent.
#[derive(Clone, Debug)]
pub enum ConfigSource {
    /// What the datastore holds.
    Datastore(Datastore),
    /// The tree that came with the request.
    Inline(DataTree),
}

/// What the startup datastore is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartupMode {
    /// A restart begins with the last commit; startup always equals running.
    FollowsRunning,
    /// A restart begins with a startup configuration of its own.
    Separate,
}

/// What follows on an edit that fails (RFC 6241, section 7.2).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ErrorOption {
    /// The edits before it stay, those after it are not made.
    #[default]
    Stop,
    /// All other edits are made.
    Continue,
    /// None of the edits stays.
    Rollback,
}

/// Whether edits are made or only tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EditMode {
    /// The datastore changes.
    Apply,
    /// Errors are reported, and the datastore stays as it is.
    TestOnly,
}
