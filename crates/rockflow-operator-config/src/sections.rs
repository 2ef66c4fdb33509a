//! What the sections of the operator's file hold. Fields have the names of the keys, with `_` for `-`, where
//! `garde` validates them: errors name the key by the field.

use garde::Validate;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The whole file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    /// `[management]`.
    pub management: Option<ManagementSection>,
    /// `[netconf]`.
    pub netconf: Option<NetconfSection>,
    /// `[gnmi]`.
    pub gnmi: Option<GnmiSection>,
    /// `[dissemination]`.
    pub dissemination: Option<DisseminationSection>,
    /// `[control]`.
    pub control: Option<ControlSection>,
}

/// What a restart begins with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RestartFrom {
    /// The last commit.
    #[default]
    Running,
    /// The startup configuration, which is a datastore of its own.
    Startup,
}

/// `[management]`: what all management servers share. It is required beside any of them.
#[derive(Clone, Debug, PartialEq, Validate)]
pub struct ManagementSection {
    /// The user whom no access rule restricts.
    #[garde(length(min = 1, max = 128), ascii)]
    pub owner: String,
    /// The folder in which commits are stored; none: they last as long as the process.
    #[garde(skip)]
    pub store: Option<PathBuf>,
    /// What a restart begins with (`restart`).
    #[garde(skip)]
    pub restart_from: RestartFrom,
    /// A file to which one line of JSON a commit is appended, beside the log.
    #[garde(skip)]
    pub audit: Option<PathBuf>,
}

/// A listener with TLS, whose clients authenticate by certificates.
#[derive(Clone, Debug, PartialEq)]
pub struct TlsSection {
    /// The address to listen at.
    pub listen: SocketAddr,
    /// The server's certificate chain, as PEM.
    pub certificate: PathBuf,
    /// The server's private key, as PEM.
    pub key: PathBuf,
    /// The certificates of the authority that signs clients' certificates, as PEM.
    pub client_ca: PathBuf,
}

/// `[netconf]`.
#[derive(Clone, Debug, PartialEq, Validate)]
pub struct NetconfSection {
    /// The address at which SSH listens.
    #[garde(skip)]
    pub ssh: Option<SocketAddr>,
    /// The private key of the SSH server.
    #[garde(skip)]
    pub host_key: Option<PathBuf>,
    /// A folder with one file a user, of the user's name, in the format of `authorized_keys`.
    #[garde(skip)]
    pub authorized_keys: Option<PathBuf>,
    /// The listener with TLS (`tls`, `certificate`, `key`, `client-ca`).
    #[garde(skip)]
    pub tls: Option<TlsSection>,
    /// Connections at once whose peer is not authenticated yet.
    #[garde(range(min = 1, max = 1000))]
    pub handshakes: u32,
    /// The time to authenticate in, in seconds.
    #[garde(range(min = 1, max = 300))]
    pub handshake_seconds: u32,
    /// The largest message, in kilobytes.
    #[garde(range(min = 16, max = 16384))]
    pub message_kb: u32,
}

/// `[gnmi]`.
#[derive(Clone, Debug, PartialEq, Validate)]
pub struct GnmiSection {
    /// The listener (`listen`, `certificate`, `key`, `client-ca`).
    #[garde(skip)]
    pub tls: TlsSection,
    /// Subscribers at once.
    #[garde(range(min = 1, max = 1000))]
    pub subscribers: u32,
    /// The largest message, in kilobytes.
    #[garde(range(min = 16, max = 16384))]
    pub message_kb: u32,
    /// The shortest interval of a sample, in milliseconds.
    #[garde(range(min = 10, max = 60000))]
    pub least_interval_ms: u32,
}

/// `[dissemination]`: purges and configuration come from control.
#[derive(Clone, Debug, PartialEq)]
pub struct DisseminationSection {
    /// The cluster's name, the same everywhere; datagrams of another are ignored (`fleet`).
    pub fleet: String,
    /// The address of the datagrams.
    pub listen: SocketAddr,
    /// All control processes, in the same order everywhere.
    pub control: Vec<ControlNode>,
    /// Members to join by where no control process answers.
    pub seeds: Vec<SocketAddr>,
    /// The time within which a purge is applied everywhere (`purge-seconds`).
    pub purge_window: Duration,
    /// Datagram bytes that are sent a second, at most.
    pub bytes_per_second: u32,
    /// The time between two heartbeats (`pulse-ms`).
    pub heartbeat_interval: Duration,
    /// The network itself keeps strangers out; otherwise all addresses must be of the loopback.
    pub trusted_network: bool,
}

/// A control process, as `[dissemination]` names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlNode {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
}

/// `[control]`: what a control process publishes, and to whom.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlSection {
    /// The file of the members, as CSV.
    pub directory: PathBuf,
    /// The file of administrative overrides (`marks`).
    pub overrides: Option<PathBuf>,
}
