//! NETCONF (RFC 6241) over SSH (RFC 6242) and TLS (RFC 7589). This package decodes, asks the desk and encodes;
//! what is changed, refused or told is decided in `rockflow-management`.

pub mod codec;
pub mod filter;
pub mod framing;
pub mod monitoring;
pub mod notify;
pub mod rpc;
pub mod server;
pub mod session;
pub mod ssh;
pub mod xml;

pub use server::{Bound, Server};

pub mod ns {
    //! Namespaces.
    pub const BASE: &str = "urn:ietf:params:xml:ns:netconf:base:1.0";
    pub const PARTIAL_LOCK: &str = "urn:ietf:params:xml:ns:netconf:partial-lock:1.0";
    pub const MONITORING: &str = "urn:ietf:params:xml:ns:yang:ietf-netconf-monitoring";
    pub const NMDA: &str = "urn:ietf:params:xml:ns:yang:ietf-netconf-nmda";
    pub const DATASTORES: &str = "urn:ietf:params:xml:ns:yang:ietf-datastores";
    pub const ORIGIN: &str = "urn:ietf:params:xml:ns:yang:ietf-origin";
    pub const WITH_DEFAULTS: &str = "urn:ietf:params:xml:ns:yang:ietf-netconf-with-defaults";
    pub const DEFAULT_TAG: &str = "urn:ietf:params:xml:ns:netconf:default:1.0";
    pub const NOTIFICATION: &str = "urn:ietf:params:xml:ns:netconf:notification:1.0";
    pub const NOTIFICATIONS: &str = "urn:ietf:params:xml:ns:yang:ietf-netconf-notifications";
    pub const SUBSCRIBED: &str = "urn:ietf:params:xml:ns:yang:ietf-subscribed-notifications";
    pub const PUSH: &str = "urn:ietf:params:xml:ns:yang:ietf-yang-push";
}
