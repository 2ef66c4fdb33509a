//! A client for the management of rockflow. `netconf::Client` speaks NETCONF over SSH or TLS, `gnmi::Client`
//! gNMI; what they read comes
//! as trees of the published model.

pub mod gnmi;
pub mod netconf;

use std::fmt;

/// Why something was not done.
#[derive(Clone, Debug, PartialEq)]
pub enum Trouble {
    /// No connection, or it broke.
    Connection(String),
    /// The peer is not who it should be, or does not know us.
    Trust(String),
    /// The server refused: its tag, finer tag and message.
    Refused { tag: String, app_tag: Option<String>, message: String },
    /// What came can't be read.
    Unreadable(String),
}

impl fmt::Display for Trouble {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Trouble::Connection(what) => write!(f, "connection: {what}"),
            Trouble::Trust(what) => write!(f, "trust: {what}"),
            Trouble::Refused { tag, message, .. } => write!(f, "{tag}: {message}"),
            Trouble::Unreadable(what) => write!(f, "unreadable: {what}"),
        }
    }
}

impl std::error::Error for Trouble {}
