//! The keys and certificates that authenticate the user and the dispatcher.

use clap::Args;
use rockflow_management_client::ClientError;
use russh::keys::{PrivateKey, PublicKey};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::{ClientConfig, RootCertStore};
use std::fmt::Display;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The user's credentials, and those by which the dispatcher is verified. Doc comments of fields are help texts.
#[derive(Args)]
pub struct Credentials {
    /// SSH: the user's name
    #[arg(long, env = "ROCKFLOW_USER", default_value = "root")]
    pub user: String,
    /// The private key: OpenSSH's form for SSH, PEM for TLS and gNMI
    #[arg(long, env = "ROCKFLOW_KEY", value_name = "FILE")]
    key: PathBuf,
    /// SSH: the dispatcher's public host key
    #[arg(long, env = "ROCKFLOW_HOST_KEY", value_name = "FILE")]
    host_key: Option<PathBuf>,
    /// TLS and gNMI: the user's certificate
    #[arg(long, env = "ROCKFLOW_CERTIFICATE", value_name = "FILE")]
    certificate: Option<PathBuf>,
    /// TLS and gNMI: the authority that signed the dispatcher's certificate
    #[arg(long, env = "ROCKFLOW_CA", value_name = "FILE")]
    ca: Option<PathBuf>,
    /// TLS and gNMI: the dispatcher's name in its certificate
    #[arg(long, env = "ROCKFLOW_SERVER_NAME", default_value = "localhost")]
    pub server_name: String,
}

/// The keys that an SSH connection needs.
pub struct SshKeys {
    /// The user's private key.
    pub user: PrivateKey,
    /// The dispatcher's public host key. A dispatcher with another key is not trusted.
    pub host: PublicKey,
}

impl Credentials {
    /// Reads the keys of an SSH connection.
    ///
    /// # Errors
    /// A required file is not given, can't be read, or holds no usable key.
    pub fn ssh_keys(&self) -> Result<SshKeys, ClientError> {
        let user = russh::keys::decode_secret_key(&read_text(&self.key)?, None)
            .map_err(|error| file_error(&self.key, &error))?;
        let path = required(self.host_key.as_deref(), "--host-key")?;
        let host =
            PublicKey::from_openssh(read_text(path)?.trim()).map_err(|error| file_error(path, &error))?;
        Ok(SshKeys { user, host })
    }

    /// Reads the configuration of a TLS connection with a client certificate.
    ///
    /// # Errors
    /// A required file is not given, can't be read, or holds no usable key or certificate.
    pub fn tls_config(&self) -> Result<Arc<ClientConfig>, ClientError> {
        let roots = read_roots(required(self.ca.as_deref(), "--ca")?)?;
        let certificate = required(self.certificate.as_deref(), "--certificate")?;
        let key = PrivateKeyDer::from_pem_slice(&read_file(&self.key)?)
            .map_err(|error| file_error(&self.key, &error))?;
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let builder = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(|error| ClientError::Untrusted(error.to_string()))?;
        let config = builder
            .with_root_certificates(roots)
            .with_client_auth_cert(read_certificates(certificate)?, key)
            .map_err(|error| file_error(certificate, &error))?;
        Ok(Arc::new(config))
    }
}

fn required<'a>(path: Option<&'a Path>, flag: &str) -> Result<&'a Path, ClientError> {
    path.ok_or_else(|| ClientError::Untrusted(format!("{flag} is missing")))
}

fn read_file(path: &Path) -> Result<Vec<u8>, ClientError> {
    std::fs::read(path).map_err(|error| file_error(path, &error))
}

fn read_text(path: &Path) -> Result<String, ClientError> {
    Ok(String::from_utf8_lossy(&read_file(path)?).into_owned())
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, ClientError> {
    let bytes = read_file(path)?;
    let certificates: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&bytes).collect();
    certificates.map_err(|error| file_error(path, &error))
}

fn read_roots(path: &Path) -> Result<RootCertStore, ClientError> {
    let mut roots = RootCertStore::empty();
    for authority in read_certificates(path)? {
        roots.add(authority).map_err(|error| file_error(path, &error))?;
    }
    Ok(roots)
}

fn file_error(path: &Path, error: &dyn Display) -> ClientError {
    ClientError::Untrusted(format!("{}: {error}", path.display()))
}
