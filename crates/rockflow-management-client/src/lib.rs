//! Clients for the management of rockflow: [`netconf::Client`] speaks NETCONF over SSH or TLS, [`gnmi::Client`] gNMI. What
//! they read comes as trees of the published model.
//!
//! ```no_run
//! use rockflow_management_client::{netconf, ClientError};
//! use rockflow_yang::Schema;
//! use russh::keys::{PrivateKey, PublicKey};
//!
//! /// Takes a host out of service, and shows what became of it.
//! async fn drain(key: PrivateKey, host_key: PublicKey) -> Result<(), ClientError> {
//!     let schema = Schema::published();
//!     let mut client = netconf::Client::ssh("router-1:830", "ana", key, host_key).await?;
//!     let commit = client.act(&schema, "drain", &[("host", "c1"), ("reason", "disk")]).await?;
//!     let path = "/rockflow-router:router/state/hosts/host[name='c1']".to_string();
//!     let state = client.get(&schema, "operational", &[path]).await?;
//!     println!("commit {commit}: {}", rockflow_yang::json::write(&schema, &state));
//!     client.close().await
//! }
//! ```

pub mod gnmi;
pub mod netconf;

use thiserror::Error;

/// Why something was not done.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ClientError {
    /// There is no connection, or it broke.
    #[error("connection: {0}")]
    Connection(String),
    /// The peer is not who it should be, or does not know this client.
    #[error("trust: {0}")]
    Untrusted(String),
    /// The server refused the request.
    #[error("{tag}: {message}")]
    Rejected {
        /// Its error tag (RFC 6241, appendix A).
        tag: String,
        /// Its finer tag.
        app_tag: Option<String>,
        /// Its message.
        message: String,
    },
    /// What was received, or is to be sent, can't be read.
    #[error("unreadable: {0}")]
    Unreadable(String),
}
