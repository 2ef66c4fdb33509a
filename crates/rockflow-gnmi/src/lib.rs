//! gNMI (version 0.10 of its specification) at the management desk. This package decodes, asks the desk and
//! encodes; what is changed, refused or told is decided in `rockflow-management`.

pub mod paths;
pub mod server;
pub mod service;

pub use server::{Bound, Server};

/// The messages, made from `proto/gnmi.proto`.
#[allow(clippy::all, missing_docs)]
pub mod wire {
    tonic::include_proto!("gnmi");
}

/// The version of the specification that is told.
pub const VERSION: &str = "0.10.0";
