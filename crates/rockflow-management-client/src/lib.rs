//! Clients for the management servers of rockflow: [`netconf::Client`] speaks NETCONF over SSH or TLS, and
//! [`gnmi::Client`] speaks gNMI over TLS. Data is addressed by paths of the published YANG model: NETCONF
//! reads return a [`rockflow_yang::DataTree`], gNMI reads JSON values.
//!
//! ```no_run
//! use rockflow_management_client::{netconf, ClientError};
//! use rockflow_yang::Schema;
//! use russh::keys::{PrivateKey, PublicKey};
//!
//! /// Drains a host and prints its state afterwards.
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

/// A request to a management server failed.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ClientError {
    /// The connection could not be established, was lost, or a reply did not arrive in time.
    #[error("connection: {0}")]
    Connection(String),
    /// The server's identity could not be verified, or the server did not accept the client's credentials.
    #[error("trust: {0}")]
    Untrusted(String),
    /// The server refused the request with an error.
    #[error("{tag}: {message}")]
    Rejected {
        /// The NETCONF error tag (RFC 6241, appendix A); gNMI status codes are mapped to such tags.
        tag: String,
        /// The application's error tag, which is more specific; `None` with gNMI or if the server sent none.
        app_tag: Option<String>,
        /// The server's error message, for the operator.
        message: String,
    },
    /// A received message, or a path that the caller gave, can't be parsed.
    #[error("unreadable: {0}")]
    Unreadable(String),
}
