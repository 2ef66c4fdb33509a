//! A dispatcher among stand-ins with its management on, and managers with keys.
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
    pub host: russh::keys::PrivateKey,
}

pub const USERS: [&str; 4] = ["root", "ana", "ben", "eve"];

/// A manager's key, the same each time.
pub fn key_of(user: &str) -> russh::keys::PrivateKey {
    keys::ssh_key(user.bytes().fold(7, |sum, byte| sum * 31 + u64::from(byte)))
}

/// The operator's file of a setup: all fronts, at ports of their own.
pub fn operator(folder: &TemporaryFolder, store: bool, more: &str) -> (OperatorConfig, keys::Authority) {
    let authority = folder.write_credentials(&USERS.map(|user| (user, key_of(user))));
    let at = |name: &str| folder.file(name).display().to_string();
    let keys::OperatorSettings { ssh, tls } = folder.operator_settings();
    let store = if store { format!("store = {}\n", at("store")) } else { String::new() };
    let text = format!(
        "[management]\nowner = root\n{store}audit = {}\n[netconf]\nssh = 127.0.0.1:0\n{ssh}tls = 127.0.0.1:0\n\
         {tls}{more}[gnmi]\nlisten = 127.0.0.1:0\n{tls}",
        at("audit"),
    );
    (
        operator_config::parse(&[operator_config::Layer { file: "rig.ini".to_string(), text }]).unwrap(),
        authority,
    )
}

impl Setup {
    pub fn start(caches: usize, parents: usize, delay: Duration) -> Setup {
        Setup::with(caches, parents, delay, "")
    }

    pub fn with(caches: usize, parents: usize, delay: Duration, more: &str) -> Setup {
        SET_UP.call_once(Service::set_up);
        let folder = TemporaryFolder::new("rig");
        let (file, authority) = operator(&folder, true, more);
        let site = Site::start(caches, parents, delay);
        let clock = Clock::start();
        let agent = Agent::open(clock, &file).unwrap().unwrap();
        let addresses = agent.addresses();
        let service = Service::start_with_overrides(
            clock,
            site.dispatcher_config(EXAMPLE),
            Some(agent.administrative_overrides()),
        )
        .unwrap();
        let management = agent.run(service.handle(), Box::new(|_| {})).unwrap();
        let schema = management.schema().clone();
        Setup { site, service, management, addresses, folder, schema, authority, host: keys::host_key() }
    }

    pub fn address(&self) -> SocketAddr {
        self.service.listen_address()
    }

    pub async fn ssh(&self, user: &str) -> Client {
        self.try_ssh(user, key_of(user)).await.unwrap()
    }

    pub async fn try_ssh(&self, user: &str, key: russh::keys::PrivateKey) -> Result<Client, ClientError> {
        let address = self.addresses.ssh.unwrap().to_string();
        Client::ssh(&address, user, key, self.host.public_key().clone()).await
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

    pub fn tree(&self, value: serde_json::Value) -> DataTree {
        json::read(&self.schema, None, &value, NodeScope::ConfigOnly).unwrap()
    }

    pub fn shown(&self, fields: &DataTree) -> serde_json::Value {
        json::write(&self.schema, fields)
    }

    /// One host's state, as a manager sees it.
    pub async fn host_state(&self, client: &mut Client, name: &str) -> serde_json::Value {
        let path = format!("/rockflow-router:router/state/hosts/host[name='{name}']");
        let fields = client.get(&self.schema, "operational", &[path]).await.unwrap();
        let shown = self.shown(&fields);
        shown["rockflow-router:router"]["state"]["hosts"]["host"][0].clone()
    }
}

pub fn block_on<T>(part: impl std::future::Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(part)
}
