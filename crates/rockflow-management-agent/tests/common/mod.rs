//! Test setup: a dispatcher with management enabled, among simulated hosts and discovery, and the credentials
//! of its operators.
#![allow(dead_code)]

use rockflow_dispatcher::{Clock, Service};
use rockflow_management_agent::{Addresses, Agent};
use rockflow_management_client::netconf::Client;
use rockflow_management_client::ClientError;
use rockflow_management_service::{operator_config, ManagementService, OperatorConfig};
use rockflow_test_servers::{keys, Site, TemporaryFolder};
use rockflow_yang::{json, DataTree, NodeScope, Schema};
use std::net::SocketAddr;
use std::sync::{Arc, Once};
use std::time::Duration;

static SET_UP: Once = Once::new();
pub const EXAMPLE: &str = include_str!("../../../../deploy/example.json");

pub struct Setup {
    pub site: Site,
    pub service: Service,
    pub management: Arc<ManagementService>,
    pub addresses: Addresses,
    pub folder: TemporaryFolder,
    pub schema: Arc<Schema>,
    pub authority: keys::Authority,
    pub host_key: russh::keys::PrivateKey,
}

pub const USERS: [&str; 4] = ["root", "ana", "ben", "eve"];

/// An operator's SSH key, derived from the user name and so the same in each run.
pub fn key_of(user: &str) -> russh::keys::PrivateKey {
    keys::ssh_key(user.bytes().fold(7, |sum, byte| sum * 31 + u64::from(byte)))
}

/// Writes credentials for all users, and returns a configuration with every protocol on a free port.
/// `has_store` turns the storage of commits on; `netconf_settings` are further lines of `[netconf]`.
pub fn write_operator_config(
    folder: &TemporaryFolder,
    has_store: bool,
    netconf_settings: &str,
) -> (OperatorConfig, keys::Authority) {
    let authority = folder.write_credentials(&USERS.map(|user| (user, key_of(user))));
    let path = |name: &str| folder.file(name).display().to_string();
    let keys::OperatorSettings { ssh, tls } = folder.operator_settings();
    let store = if has_store { format!("store = {}\n", path("store")) } else { String::new() };
    let text = format!(
        "[management]\nowner = root\n{store}audit = {}\n[netconf]\nssh = 127.0.0.1:0\n{ssh}tls = 127.0.0.1:0\n\
         {tls}{netconf_settings}[gnmi]\nlisten = 127.0.0.1:0\n{tls}",
        path("audit"),
    );
    (
        operator_config::parse(&[operator_config::Layer { file: "operator.ini".to_string(), text }]).unwrap(),
        authority,
    )
}

impl Setup {
    pub fn start(caches: usize, parents: usize, delay: Duration) -> Setup {
        Setup::start_with_netconf_settings(caches, parents, delay, "")
    }

    /// Starts the setup with further lines of `[netconf]` in the operator's file. `delay` is the response
    /// time of the simulated hosts.
    pub fn start_with_netconf_settings(
        caches: usize,
        parents: usize,
        delay: Duration,
        netconf_settings: &str,
    ) -> Setup {
        SET_UP.call_once(Service::set_up);
        let folder = TemporaryFolder::new("management-agent");
        let (config, authority) = write_operator_config(&folder, true, netconf_settings);
        let site = Site::start(caches, parents, delay);
        let clock = Clock::start();
        let agent = Agent::open(clock, &config).unwrap().unwrap();
        let addresses = agent.addresses();
        let service = Service::start_with_overrides(
            clock,
            site.dispatcher_config(EXAMPLE),
            Some(agent.administrative_overrides()),
        )
        .unwrap();
        let management = agent.run(service.handle(), Box::new(|_| {})).unwrap();
        let schema = management.schema().clone();
        Setup { site, service, management, addresses, folder, schema, authority, host_key: keys::host_key() }
    }

    pub fn address(&self) -> SocketAddr {
        self.service.listen_address()
    }

    pub async fn ssh(&self, user: &str) -> Client {
        self.try_ssh(user, key_of(user)).await.unwrap()
    }

    pub async fn try_ssh(&self, user: &str, key: russh::keys::PrivateKey) -> Result<Client, ClientError> {
        let address = self.addresses.ssh.unwrap().to_string();
        Client::ssh(&address, user, key, self.host_key.public_key().clone()).await
    }

    pub fn tls_config(&self, authority: &keys::Authority, user: &str) -> Arc<rustls::ClientConfig> {
        use rustls::pki_types::pem::PemObject;
        let keys::CertifiedKey { certificate, key } = authority.issue_client(user);
        let mut roots = rustls::RootCertStore::empty();
        let ca = rustls::pki_types::CertificateDer::from_pem_slice(self.authority.certificate.as_bytes());
        roots.add(ca.unwrap()).unwrap();
        let chain = rustls::pki_types::CertificateDer::from_pem_slice(certificate.as_bytes()).unwrap();
        let key = rustls::pki_types::PrivateKeyDer::from_pem_slice(key.as_bytes()).unwrap();
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let config = rustls::ClientConfig::builder_with_provider(provider);
        let config = config.with_safe_default_protocol_versions().unwrap().with_root_certificates(roots);
        Arc::new(config.with_client_auth_cert(vec![chain], key).unwrap())
    }

    pub async fn tls(&self, user: &str) -> Client {
        let address = self.addresses.tls.unwrap().to_string();
        Client::tls(&address, "localhost", self.tls_config(&self.authority, user)).await.unwrap()
    }

    pub async fn gnmi(&self, user: &str) -> rockflow_management_client::gnmi::Client {
        let address = self.addresses.gnmi.unwrap().to_string();
        let config = self.tls_config(&self.authority, user);
        rockflow_management_client::gnmi::Client::connect(&address, "localhost", config).await.unwrap()
    }

    pub fn config_tree(&self, value: serde_json::Value) -> DataTree {
        json::read(&self.schema, None, &value, NodeScope::ConfigOnly).unwrap()
    }

    pub fn to_json(&self, fields: &DataTree) -> serde_json::Value {
        json::write(&self.schema, fields)
    }

    /// The state of one host in the operational datastore.
    pub async fn host_state(&self, client: &mut Client, name: &str) -> serde_json::Value {
        let path = format!("/rockflow-router:router/state/hosts/host[name='{name}']");
        let fields = client.get(&self.schema, "operational", &[path]).await.unwrap();
        let state = self.to_json(&fields);
        state["rockflow-router:router"]["state"]["hosts"]["host"][0].clone()
    }
}

pub fn block_on<T>(future: impl std::future::Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(future)
}
