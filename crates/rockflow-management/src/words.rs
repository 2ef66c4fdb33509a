//! Who asks, and what came of it: words that the machine, its records and its faults share.

use rockflow_yang::Change;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    NetconfSsh,
    NetconfTls,
    Gnmi,
    /// The dispatcher itself.
    System,
}

impl Protocol {
    pub fn name(self) -> &'static str {
        match self {
            Protocol::NetconfSsh => "netconf-ssh",
            Protocol::NetconfTls => "netconf-tls",
            Protocol::Gnmi => "gnmi",
            Protocol::System => "system",
        }
    }

    pub fn named(name: &str) -> Protocol {
        let known = [Protocol::NetconfSsh, Protocol::NetconfTls, Protocol::Gnmi];
        known.into_iter().find(|protocol| protocol.name() == name).unwrap_or(Protocol::System)
    }
}

/// Who asks, as the transport proved, and from where.
#[derive(Clone, Debug, PartialEq)]
pub struct Operator {
    pub user: String,
    pub protocol: Protocol,
    pub source: String,
}

impl Operator {
    pub fn system() -> Operator {
        Operator { user: "rockflow".to_string(), protocol: Protocol::System, source: "-".to_string() }
    }
}

/// Who said a value, and when.
#[derive(Clone, Debug, PartialEq)]
pub struct Origin {
    pub author: String,
    pub version: u64,
    pub time: Duration,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Commit {
    pub version: u64,
    pub operator: Operator,
    pub time: Duration,
    pub comment: String,
    pub changes: Vec<Change>,
}
