//! gNMI, in version 0.10 of its specification.
//!
//! This package decodes requests, asks the management service and encodes its answers; what is changed, refused or announced
//! is decided in `rockflow-management`.

pub mod error;
pub mod paths;
pub mod server;
pub mod service;
mod status;
mod subscriber;

pub use error::StartError;
pub use server::BoundServer;

/// The messages, generated from `proto/gnmi.proto`.
#[allow(clippy::all, missing_docs, reason = "generated")]
pub mod wire {
    tonic::include_proto!("gnmi");
}

/// The version of the specification that is announced.
pub const VERSION: &str = "0.10.0";
