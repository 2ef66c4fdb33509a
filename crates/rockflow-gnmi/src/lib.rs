//! A gNMI server, following version 0.10 of the specification.
//!
//! This package decodes requests, passes them to the management service and encodes its responses.
//! `rockflow-management` decides which changes are accepted or rejected, and which updates subscribers receive.

pub mod error;
pub mod paths;
pub mod server;
pub mod service;
mod status;
mod subscriber;

pub use error::StartError;
pub use server::BoundServer;

/// The gNMI messages and the service trait, generated from `proto/gnmi.proto`.
#[allow(clippy::all, missing_docs, reason = "generated")]
pub mod wire {
    tonic::include_proto!("gnmi");
}

/// The version of the gNMI specification that the Capabilities call reports.
pub const VERSION: &str = "0.10.0";
