//! Sessions: who is connected, over which protocol, since when, and what a session holds.

use crate::candidate::Candidate;
use crate::error::{ErrorTag, ManagementError};
use std::collections::BTreeMap;
use std::time::Duration;

/// The number of a session, unique as long as the process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u32);

impl SessionId {
    /// Stands for a lock holder that is no session of this server (RFC 6241, section 7.5).
    pub const NONE: SessionId = SessionId(0);
}

/// The protocol by which an operator reaches the datastores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// NETCONF over SSH (RFC 6242).
    NetconfSsh,
    /// NETCONF over TLS (RFC 7589).
    NetconfTls,
    /// gNMI over gRPC with TLS.
    Gnmi,
    /// The dispatcher itself.
    System,
}

impl Protocol {
    /// The name in the model, in stored snapshots and in the audit log.
    pub fn name(self) -> &'static str {
        match self {
            Protocol::NetconfSsh => "netconf-ssh",
            Protocol::NetconfTls => "netconf-tls",
            Protocol::Gnmi => "gnmi",
            Protocol::System => "system",
        }
    }

    /// The protocol of that name; an unknown name is read as [`Protocol::System`].
    pub fn from_name(name: &str) -> Protocol {
        let remote = [Protocol::NetconfSsh, Protocol::NetconfTls, Protocol::Gnmi];
        remote.into_iter().find(|protocol| protocol.name() == name).unwrap_or(Protocol::System)
    }
}

/// An authenticated user, and the way by which they are connected.
#[derive(Clone, Debug, PartialEq)]
pub struct Operator {
    /// The user's name, as the transport authenticated it.
    pub user: String,
    /// The protocol of the session.
    pub protocol: Protocol,
    /// The address of the peer.
    pub source: String,
}

impl Operator {
    /// The author of changes that the dispatcher makes on its own, such as a reverted commit.
    pub fn system() -> Operator {
        Operator { user: "rockflow".to_string(), protocol: Protocol::System, source: "-".to_string() }
    }
}

/// An open session, as status reports show it.
#[derive(Clone, Debug, PartialEq)]
pub struct SessionInfo {
    /// The session's number.
    pub id: SessionId,
    /// Who opened it.
    pub operator: Operator,
    /// When it was opened, as Unix time.
    pub since: Duration,
}

/// Why a session ended, in the terms of RFC 6470.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionEndReason {
    /// The client closed it.
    Closed,
    /// Another session killed it.
    Killed,
    /// The connection ended without a close.
    Dropped,
    /// It was silent for longer than the idle limit.
    Timeout,
}

impl SessionEndReason {
    /// The name in notifications and in the log.
    pub fn name(self) -> &'static str {
        match self {
            SessionEndReason::Closed => "closed",
            SessionEndReason::Killed => "killed",
            SessionEndReason::Dropped => "dropped",
            SessionEndReason::Timeout => "timeout",
        }
    }
}

/// One open session.
pub(crate) struct Session {
    pub(crate) operator: Operator,
    since: Duration,
    last_active: Duration,
    /// While it has any, it may be silent.
    subscriptions: usize,
    /// The session's own candidate; none while it equals running.
    pub(crate) candidate: Option<Candidate>,
}

impl Session {
    fn expiry(&self, idle_limit: Duration) -> Option<Duration> {
        (self.subscriptions == 0).then_some(self.last_active + idle_limit)
    }
}

/// The table of open sessions.
pub(crate) struct Sessions {
    open: BTreeMap<SessionId, Session>,
    next_id: u32,
}

impl Sessions {
    pub(crate) fn new() -> Sessions {
        Sessions { open: BTreeMap::new(), next_id: 1 }
    }

    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }

    pub(crate) fn contains(&self, id: SessionId) -> bool {
        self.open.contains_key(&id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = SessionInfo> + '_ {
        self.open.iter().map(|(id, session)| SessionInfo {
            id: *id,
            operator: session.operator.clone(),
            since: session.since,
        })
    }

    pub(crate) fn insert(&mut self, now: Duration, operator: Operator) -> SessionId {
        let id = SessionId(self.next_id);
        self.next_id += 1;
        let session = Session { operator, since: now, last_active: now, subscriptions: 0, candidate: None };
        self.open.insert(id, session);
        id
    }

    pub(crate) fn remove(&mut self, id: SessionId) -> Option<Session> {
        self.open.remove(&id)
    }

    /// The session; an error where it has ended.
    pub(crate) fn get(&self, id: SessionId) -> Result<&Session, ManagementError> {
        let session = self.open.get(&id);
        session.ok_or_else(|| ManagementError::new(ErrorTag::OperationFailed, "the session has ended"))
    }

    pub(crate) fn get_mut(&mut self, id: SessionId) -> Option<&mut Session> {
        self.open.get_mut(&id)
    }

    pub(crate) fn record_activity(&mut self, now: Duration, id: SessionId) {
        if let Some(session) = self.open.get_mut(&id) {
            session.last_active = now;
        }
    }

    pub(crate) fn set_subscription_count(&mut self, id: SessionId, count: usize) {
        if let Some(session) = self.open.get_mut(&id) {
            session.subscriptions = count;
        }
    }

    /// When the first silent session is to be closed.
    pub(crate) fn next_expiry(&self, idle_limit: Duration) -> Option<Duration> {
        self.open.values().filter_map(|session| session.expiry(idle_limit)).min()
    }

    /// The sessions that were silent for the idle limit.
    pub(crate) fn expired(&self, now: Duration, idle_limit: Duration) -> Vec<SessionId> {
        let is_expired = |session: &Session| session.expiry(idle_limit).is_some_and(|expiry| expiry <= now);
        self.open.iter().filter(|(_, session)| is_expired(session)).map(|(id, _)| *id).collect()
    }
}
