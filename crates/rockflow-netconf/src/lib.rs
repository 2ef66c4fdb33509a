//! NETCONF (RFC 6241) over SSH (RFC 6242) and TLS (RFC 7589).
//!
//! This package decodes requests, asks the management service and encodes its answers; what is changed, refused or announced
//! is decided in `rockflow-management`.

pub mod codec;
pub mod error;
pub mod filter;
pub mod framing;
pub mod monitoring;
pub mod notify;
pub mod rpc;
pub mod server;
pub mod session;
mod ssh;
pub mod xml;

pub use error::StartError;
pub use server::{BoundServer, ListenAddresses};

pub mod ns {
    //! XML namespaces.

    /// NETCONF itself (RFC 6241).
    pub const BASE: &str = "urn:ietf:params:xml:ns:netconf:base:1.0";
    /// Partial locks (RFC 5717).
    pub const PARTIAL_LOCK: &str = "urn:ietf:params:xml:ns:netconf:partial-lock:1.0";
    /// Monitoring (RFC 6022).
    pub const MONITORING: &str = "urn:ietf:params:xml:ns:yang:ietf-netconf-monitoring";
    /// Datastores by their identity (RFC 8526).
    pub const NMDA: &str = "urn:ietf:params:xml:ns:yang:ietf-netconf-nmda";
    /// The identities of datastores (RFC 8342).
    pub const DATASTORES: &str = "urn:ietf:params:xml:ns:yang:ietf-datastores";
    /// Where a value comes from (RFC 8342).
    pub const ORIGIN: &str = "urn:ietf:params:xml:ns:yang:ietf-origin";
    /// The handling of defaults (RFC 6243).
    pub const WITH_DEFAULTS: &str = "urn:ietf:params:xml:ns:yang:ietf-netconf-with-defaults";
    /// The attribute that tags a default (RFC 6243).
    pub const DEFAULT_TAG: &str = "urn:ietf:params:xml:ns:netconf:default:1.0";
    /// Notifications (RFC 5277).
    pub const NOTIFICATION: &str = "urn:ietf:params:xml:ns:netconf:notification:1.0";
    /// The events of NETCONF itself (RFC 6470).
    pub const NOTIFICATIONS: &str = "urn:ietf:params:xml:ns:yang:ietf-netconf-notifications";
    /// Subscriptions (RFC 8639).
    pub const SUBSCRIBED: &str = "urn:ietf:params:xml:ns:yang:ietf-subscribed-notifications";
    /// Subscriptions to values (RFC 8641).
    pub const PUSH: &str = "urn:ietf:params:xml:ns:yang:ietf-yang-push";
}
