//! Runs a dispatcher as a separate process, so that its resource usage can be measured.

use rockflow_management_client::{gnmi, netconf};
use rockflow_process_harness::{free_tcp, Process, Start, Usage};
use rockflow_test_servers::{keys, Site, TemporaryFolder};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// The configuration from which that of the dispatcher is made.
const EXAMPLE_CONFIG: &str = include_str!("../../../deploy/example.json");

/// The seed of the SSH key of the user `root`.
const USER_KEY_SEED: u64 = 2;
/// How many times a connection to a new process is tried before the start fails.
const MAX_CONNECT_ATTEMPTS: usize = 500;
/// The pause after a failed connection to a new process.
const CONNECT_PAUSE: Duration = Duration::from_millis(10);

/// Whether a dispatcher is started with management over NETCONF and gNMI.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Management {
    On,
    Off,
}

/// A running dispatcher process, which is killed when the handle is dropped.
pub struct Dispatcher {
    process: Process,
    /// The address at which it serves clients.
    pub address: SocketAddr,
    /// The address of NETCONF over SSH.
    ssh: SocketAddr,
    /// The address of gNMI.
    gnmi: SocketAddr,
    /// Signs the certificates of management clients.
    authority: keys::Authority,
    /// Holds the files of the process, and is removed with the handle.
    _folder: TemporaryFolder,
}

impl Dispatcher {
    /// Starts a program as the dispatcher of a site, and waits until it accepts connections.
    ///
    /// # Panics
    /// If the process can't be started or does not listen in time.
    pub async fn start(program: &Path, site: &Site, management: Management) -> Dispatcher {
        let folder = TemporaryFolder::new("measured");
        let port = || free_tcp().expect("a port");
        let (address, ssh, gnmi) = (port(), port(), port());
        let mut value = site.configuration_json(EXAMPLE_CONFIG);
        value["listen"] = serde_json::json!(address.to_string());
        let config = folder.write("config.json", &value.to_string(), 0o600);
        let authority = folder.write_credentials(&[("root", keys::ssh_key(USER_KEY_SEED))]);
        let keys::OperatorSettings { ssh: ssh_settings, tls: tls_settings } = folder.operator_settings();
        let operator = format!(
            "[management]\nowner = root\nstore = {}\n[netconf]\nssh = {ssh}\n{ssh_settings}[gnmi]\nlisten = {gnmi}\n\
             {tls_settings}subscribers = 200\n",
            folder.file("store").display(),
        );
        let operator = folder.write("rockflow.ini", &operator, 0o600);
        let start = Start::of(program).args(["serve", "--config"]).arg(&config).log(folder.file("log"));
        let mut start = start.env_remove("GW_LISTEN").env_remove("GW_NAME");
        if management == Management::On {
            start = start.arg("--operator").arg(&operator);
        }
        let process = start.start().expect("the program starts");
        let dispatcher = Dispatcher { process, address, ssh, gnmi, authority, _folder: folder };
        for _ in 0..MAX_CONNECT_ATTEMPTS {
            if tokio::net::TcpStream::connect(address).await.is_ok() {
                return dispatcher;
            }
            tokio::time::sleep(CONNECT_PAUSE).await;
        }
        panic!("the program does not listen: {}", dispatcher.log());
    }

    /// The log of the process so far.
    pub fn log(&self) -> String {
        self.process.log()
    }

    /// Opens a NETCONF session over SSH as the user `root`.
    ///
    /// # Panics
    /// If the session can't be opened.
    pub async fn netconf(&self) -> netconf::Client {
        let host_key = keys::host_key().public_key().clone();
        let user_key = keys::ssh_key(USER_KEY_SEED);
        let client = netconf::Client::ssh(&self.ssh.to_string(), "root", user_key, host_key).await;
        client.expect("a NETCONF session")
    }

    /// Connects a gNMI client over TLS as the user `root`.
    ///
    /// # Panics
    /// If the connection fails.
    pub async fn gnmi(&self) -> gnmi::Client {
        let keys::CertifiedKey { certificate, key } = self.authority.issue_client("root");
        let mut roots = rustls::RootCertStore::empty();
        let ca =
            CertificateDer::from_pem_slice(self.authority.certificate.as_bytes()).expect("a certificate");
        roots.add(ca).expect("an authority");
        let chain = CertificateDer::from_pem_slice(certificate.as_bytes()).expect("a certificate");
        let key = PrivateKeyDer::from_pem_slice(key.as_bytes()).expect("a key");
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let config = rustls::ClientConfig::builder_with_provider(provider);
        let config = config.with_safe_default_protocol_versions().expect("versions");
        let config = config.with_root_certificates(roots).with_client_auth_cert(vec![chain], key);
        let config = Arc::new(config.expect("a TLS client configuration"));
        gnmi::Client::connect(&self.gnmi.to_string(), "localhost", config).await.expect("a gNMI connection")
    }

    /// The resources that the process uses; all zero once its exit has been observed.
    pub fn usage(&self) -> Usage {
        self.process.usage().unwrap_or_default()
    }
}
