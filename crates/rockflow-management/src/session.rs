//! Sessions: the operator, protocol and start of each, and its candidate and idle timeout.

use crate::candidate::Candidate;
use crate::error::{ErrorTag, ManagementError};
use std::collections::BTreeMap;
use std::time::Duration;

/// The number of a session, unique as long as the process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u32);

impl SessionId {
    /// The number that denotes a lock holder that is no session of this server (RFC 6241, section 7.5).
    pub const NONE: SessionId = SessionId(0);
}

/// The protocol through which an operator accesses the datastores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// NETCONF over SSH (RFC 6242).
    NetconfSsh,
    /// NETCONF over TLS (RFC 7589).
    NetconfTls,
    /// gNMI over gRPC with TLS.
    Gnmi,
    /// No protocol: the dispatcher itself acts as the operator.
    System,
}

impl Protocol {
    /// The protocol's name in the model, in stored snapshots and in the audit log.
    pub fn name(self) -> &'static str {
        match self {
            Protocol::NetconfSsh => "netconf-ssh",
            Protocol::NetconfTls => "netconf-tls",
            Protocol::Gnmi => "gnmi",
            Protocol::System => "system",
        }
    }

    /// The protocol with that name; [`Protocol::System`] where the name is unknown.
    pub fn from_name(name: &str) -> Protocol {
        let remote = [Protocol::NetconfSsh, Protocol::NetconfTls, Protocol::Gnmi];
        remote.into_iter().find(|protocol| protocol.name() == name).unwrap_or(Protocol::System)
    }
}

/// An authenticated user, with the protocol and address of the connection.
#[derive(Clone, Debug, PartialEq)]
pub struct Operator {
    /// The user's name, as the transport authenticated it.
    pub user: String,
    /// The protocol of the session.
    pub protocol: Protocol,
    /// The client's address; `-` for the dispatcher itself.
    pub source: String,
}

impl Operator {
    /// The author of changes that the dispatcher itself makes, such as reverting a commit.
    pub fn system() -> Operator {
        Operator { user: "rockflow".to_string(), protocol: Protocol::System, source: "-".to_string() }
    }
}

/// An open session, as status reports show it.
#[derive(Clone, Debug, PartialEq)]
pub struct SessionInfo {
    /// The number of the session.
    pub id: SessionId,
    /// The operator who opened the session.
    pub operator: Operator,
    /// When the session was opened, as Unix time.
    pub since: Duration,
}

/// Why a session ended, in the terms of RFC 6470.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionEndReason {
    /// The client closed the session.
    Closed,
    /// Another session killed this one.
    Killed,
    /// The connection ended without a request to close the session.
    Dropped,
    /// The session sent no request for the time of the idle limit.
    Timeout,
}

impl SessionEndReason {
    /// The reason's name in notifications and in the log.
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
    /// When the session sent its last request, as Unix time.
    last_active: Duration,
    /// The number of its subscriptions; with any, the session has no idle timeout.
    subscriptions: usize,
    /// The session's private candidate; `None` while it equals running.
    pub(crate) candidate: Option<Candidate>,
}

impl Session {
    /// When the idle timeout ends the session, as Unix time; `None` while it has subscriptions.
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

    /// The session with that number. Fails where it has ended.
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

    /// The earliest idle expiry of all sessions, as Unix time.
    pub(crate) fn next_expiry(&self, idle_limit: Duration) -> Option<Duration> {
        self.open.values().filter_map(|session| session.expiry(idle_limit)).min()
    }

    /// The sessions whose idle timeout has expired.
    pub(crate) fn expired(&self, now: Duration, idle_limit: Duration) -> Vec<SessionId> {
        let is_expired = |session: &Session| session.expiry(idle_limit).is_some_and(|expiry| expiry <= now);
        self.open.iter().filter(|(_, session)| is_expired(session)).map(|(id, _)| *id).collect()
    }
}
