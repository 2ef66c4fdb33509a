//! NETCONF (RFC 6241) over SSH (RFC 6242) and TLS (RFC 7589).
//!
//! This crate decodes requests, passes them to the management service and encodes its replies and
//! notifications. The rules for what may be read or changed and what is notified are in
//! `rockflow-management`.

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
    //! XML namespaces of the supported protocols and YANG modules.

    /// Messages and operations of the base protocol (RFC 6241).
    pub const BASE: &str = "urn:ietf:params:xml:ns:netconf:base:1.0";
    /// The operations `partial-lock` and `partial-unlock` (RFC 5717).
    pub const PARTIAL_LOCK: &str = "urn:ietf:params:xml:ns:netconf:partial-lock:1.0";
    /// The subtree `netconf-state` and the operation `get-schema` (RFC 6022).
    pub const MONITORING: &str = "urn:ietf:params:xml:ns:yang:ietf-netconf-monitoring";
    /// The operations `get-data` and `edit-data`, which name datastores by identity (RFC 8526).
    pub const NMDA: &str = "urn:ietf:params:xml:ns:yang:ietf-netconf-nmda";
    /// The identities that name datastores (RFC 8342).
    pub const DATASTORES: &str = "urn:ietf:params:xml:ns:yang:ietf-datastores";
    /// The annotation with the origin of a value, such as `intended` (RFC 8342).
    pub const ORIGIN: &str = "urn:ietf:params:xml:ns:yang:ietf-origin";
    /// The parameter `with-defaults` (RFC 6243).
    pub const WITH_DEFAULTS: &str = "urn:ietf:params:xml:ns:yang:ietf-netconf-with-defaults";
    /// The attribute that marks a value as equal to its default (RFC 6243).
    pub const DEFAULT_TAG: &str = "urn:ietf:params:xml:ns:netconf:default:1.0";
    /// The envelope of notifications and the operation `create-subscription` (RFC 5277).
    pub const NOTIFICATION: &str = "urn:ietf:params:xml:ns:netconf:notification:1.0";
    /// The base notifications, such as `netconf-config-change` (RFC 6470).
    pub const NOTIFICATIONS: &str = "urn:ietf:params:xml:ns:yang:ietf-netconf-notifications";
    /// The operations that establish and delete subscriptions (RFC 8639).
    pub const SUBSCRIBED: &str = "urn:ietf:params:xml:ns:yang:ietf-subscribed-notifications";
    /// The notifications that carry datastore updates (YANG push, RFC 8641).
    pub const PUSH: &str = "urn:ietf:params:xml:ns:yang:ietf-yang-push";
}
