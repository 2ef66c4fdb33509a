//! The parsed sections of the operator's configuration file. A field that `garde` validates must have the
//! name of its key, with `_` for `-`, because the error message derives the key from the field name.

use garde::Validate;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The parsed configuration; a section that the file lacks is `None`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    /// Settings that all management servers share.
    pub management: Option<ManagementSection>,
    /// The NETCONF server; `None` means that it does not run.
    pub netconf: Option<NetconfSection>,
    /// The gNMI server; `None` means that it does not run.
    pub gnmi: Option<GnmiSection>,
    /// Membership in a cluster that distributes purges and configuration; `None` means that it is off.
    pub dissemination: Option<DisseminationSection>,
    /// Settings that only a control node uses.
    pub control: Option<ControlSection>,
}

/// The datastore whose configuration is used after a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RestartFrom {
    /// The running configuration, as of the last commit.
    #[default]
    Running,
    /// The startup configuration, a datastore separate from running.
    Startup,
}

/// `[management]`: the settings that all management servers share. It is required if `[netconf]` or `[gnmi]`
/// is present.
#[derive(Clone, Debug, PartialEq, Validate)]
pub struct ManagementSection {
    /// The user to whom no access rule applies.
    #[garde(length(min = 1, max = 128), ascii)]
    pub owner: String,
    /// The folder in which commits are stored; if `None`, they are lost when the process ends.
    #[garde(skip)]
    pub store: Option<PathBuf>,
    /// The datastore to restore at a restart (key `restart`).
    #[garde(skip)]
    pub restart_from: RestartFrom,
    /// A file to which one line of JSON is appended for each commit, in addition to the log.
    #[garde(skip)]
    pub audit: Option<PathBuf>,
}

/// A TLS listener whose clients authenticate with certificates.
#[derive(Clone, Debug, PartialEq)]
pub struct TlsSection {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The PEM file with the server's certificate chain.
    pub certificate: PathBuf,
    /// The PEM file with the server's private key.
    pub key: PathBuf,
    /// The PEM file with the certificates of the authorities that sign the clients' certificates.
    pub client_ca: PathBuf,
}

/// `[netconf]`: the NETCONF server, over SSH, TLS or both.
#[derive(Clone, Debug, PartialEq, Validate)]
pub struct NetconfSection {
    /// The address of the SSH listener; `None` turns it off.
    #[garde(skip)]
    pub ssh: Option<SocketAddr>,
    /// The file with the private key of the SSH server; required with `ssh`.
    #[garde(skip)]
    pub host_key: Option<PathBuf>,
    /// A folder with one file per user, named after the user, in the format of `authorized_keys`; required
    /// with `ssh`.
    #[garde(skip)]
    pub authorized_keys: Option<PathBuf>,
    /// The TLS listener (keys `tls`, `certificate`, `key` and `client-ca`); `None` turns it off.
    #[garde(skip)]
    pub tls: Option<TlsSection>,
    /// Maximum number of concurrent connections whose peer is not authenticated yet.
    #[garde(range(min = 1, max = 1000))]
    pub handshakes: u32,
    /// Timeout for the authentication of a connection, in seconds.
    #[garde(range(min = 1, max = 300))]
    pub handshake_seconds: u32,
    /// Maximum size of a message, in kilobytes.
    #[garde(range(min = 16, max = 16384))]
    pub message_kb: u32,
}

/// `[gnmi]`: the gNMI server.
#[derive(Clone, Debug, PartialEq, Validate)]
pub struct GnmiSection {
    /// The TLS listener (keys `listen`, `certificate`, `key` and `client-ca`).
    #[garde(skip)]
    pub tls: TlsSection,
    /// Maximum number of concurrent subscribers.
    #[garde(range(min = 1, max = 1000))]
    pub subscribers: u32,
    /// Maximum size of a message, in kilobytes.
    #[garde(range(min = 16, max = 16384))]
    pub message_kb: u32,
    /// Shortest sample interval that a subscription may ask for, in milliseconds.
    #[garde(range(min = 10, max = 60000))]
    pub least_interval_ms: u32,
}

/// `[dissemination]`: membership in a cluster whose control nodes distribute purges and configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct DisseminationSection {
    /// The cluster's name, equal on all members; datagrams of other clusters are ignored (key `fleet`).
    pub fleet: String,
    /// The local UDP address for the cluster's datagrams.
    pub listen: SocketAddr,
    /// All control nodes, listed in the same order on all members.
    pub control: Vec<ControlNode>,
    /// Members through which to join if no control node answers.
    pub seeds: Vec<SocketAddr>,
    /// The time within which a purge is applied on all members (key `purge-seconds`).
    pub purge_window: Duration,
    /// Rate limit for sent datagrams, in bytes per second.
    pub bytes_per_second: u32,
    /// The time between two heartbeats (key `pulse-ms`).
    pub heartbeat_interval: Duration,
    /// Whether the network itself keeps untrusted peers out. If not, all addresses must be loopback
    /// addresses, because datagrams are not authenticated.
    pub trusted_network: bool,
}

/// A control node, as `[dissemination]` lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlNode {
    /// The node's name, unique among the control nodes.
    pub name: String,
    /// The node's address for datagrams.
    pub address: SocketAddr,
}

/// `[control]`: the files that a control node reads: the members of the cluster and the overrides to publish.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlSection {
    /// The CSV file that lists the members, one per line.
    pub directory: PathBuf,
    /// The file of administrative overrides (key `marks`); `None` if there is none.
    pub overrides: Option<PathBuf>,
}
