//! Credentials: key and certificate files, which others than their owner must not be able to use, and TLS servers
//! made from them.

use crate::operator_config::TlsSection;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{RootCertStore, ServerConfig};
use std::fmt::Display;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use thiserror::Error;
use x509_parser::prelude::{FromDer, GeneralName, X509Certificate};

/// The largest key or certificate file that is read, in bytes.
const MAX_FILE_BYTES: u64 = 1024 * 1024;
/// Bytes of a user's name.
const MAX_USER_BYTES: usize = 128;

/// Who may use a credential file beside its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileSecrecy {
    /// Nobody may read or write it: a private key.
    OwnerOnly,
    /// Others may read it, not write it: certificates, public keys.
    Readable,
}

impl FileSecrecy {
    /// The bits of the mode that must not be set.
    #[cfg(unix)]
    fn forbidden_mode(self) -> u32 {
        match self {
            FileSecrecy::OwnerOnly => 0o077,
            FileSecrecy::Readable => 0o022,
        }
    }

    #[cfg(unix)]
    fn forbidden_access(self) -> &'static str {
        match self {
            FileSecrecy::OwnerOnly => "read or write",
            FileSecrecy::Readable => "write",
        }
    }
}

/// A credential file that can't be used.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum CredentialError {
    /// The file or what it holds is at fault.
    #[error("{}: {reason}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        reason: String,
    },
    /// The TLS library has no protocol version in common with its provider.
    #[error("{0}")]
    Protocol(String),
}

impl CredentialError {
    fn file(path: &Path, reason: impl Display) -> CredentialError {
        CredentialError::File { path: path.to_path_buf(), reason: reason.to_string() }
    }
}

/// Checks that others than the owner can't use a file or folder as an attack: read a key, or change what lets
/// users in.
///
/// # Errors
/// Where its mode allows that, it is too large, or it is not there.
pub fn check_permissions(path: &Path, secrecy: FileSecrecy) -> Result<(), CredentialError> {
    let metadata = std::fs::metadata(path).map_err(|error| CredentialError::file(path, error))?;
    #[cfg(unix)]
    {
        use std::os::unix::fs::PermissionsExt;
        let mode = metadata.permissions().mode() & 0o777;
        if mode & secrecy.forbidden_mode() != 0 {
            let access = secrecy.forbidden_access();
            let reason = format!("mode {mode:o}: others than its owner can {access} it");
            return Err(CredentialError::file(path, reason));
        }
    }
    if metadata.is_file() && metadata.len() > MAX_FILE_BYTES {
        return Err(CredentialError::file(path, format!("larger than {MAX_FILE_BYTES} bytes")));
    }
    Ok(())
}

/// Reads a file that passes [`check_permissions`].
///
/// # Errors
/// Where it does not, or can't be read.
pub fn read_file(path: &Path, secrecy: FileSecrecy) -> Result<Vec<u8>, CredentialError> {
    check_permissions(path, secrecy)?;
    std::fs::read(path).map_err(|error| CredentialError::file(path, error))
}

/// A TLS server that accepts clients with a certificate of the client authority. `alpn`: the protocols that it
/// offers.
///
/// # Errors
/// Where one of the section's files can't be used.
pub fn tls_server_config(section: &TlsSection, alpn: &[&[u8]]) -> Result<Arc<ServerConfig>, CredentialError> {
    let key = read_file(&section.key, FileSecrecy::OwnerOnly)?;
    let key =
        PrivateKeyDer::from_pem_slice(&key).map_err(|error| CredentialError::file(&section.key, error))?;
    let authority_error = |error: &dyn Display| CredentialError::file(&section.client_ca, error);
    let mut roots = RootCertStore::empty();
    for authority in read_certificates(&section.client_ca)? {
        roots.add(authority).map_err(|error| authority_error(&error))?;
    }
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider.clone())
        .build()
        .map_err(|error| authority_error(&error))?;
    let mut config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|error| CredentialError::Protocol(error.to_string()))?
        .with_client_cert_verifier(verifier)
        .with_single_cert(read_certificates(&section.certificate)?, key)
        .map_err(|error| CredentialError::file(&section.certificate, error))?;
    config.alpn_protocols = alpn.iter().map(|name| name.to_vec()).collect();
    Ok(Arc::new(config))
}

/// The user whom a client's certificate names: the first of its alternative names of the kinds e-mail and DNS
/// name, else its common name (RFC 7589, section 7, with one mapping for all).
pub fn certificate_user(certificate: &[u8]) -> Option<String> {
    let (_, certificate) = X509Certificate::from_der(certificate).ok()?;
    let user = alternative_name(&certificate).or_else(|| common_name(&certificate))?;
    let is_plain = user.bytes().all(|byte| byte.is_ascii_graphic());
    ((1..=MAX_USER_BYTES).contains(&user.len()) && is_plain).then_some(user)
}

fn alternative_name(certificate: &X509Certificate<'_>) -> Option<String> {
    let names = certificate.subject_alternative_name().ok().flatten()?;
    names.value.general_names.iter().find_map(|name| match name {
        GeneralName::RFC822Name(name) | GeneralName::DNSName(name) => Some(name.to_string()),
        _ => None,
    })
}

fn common_name(certificate: &X509Certificate<'_>) -> Option<String> {
    let name = certificate.subject().iter_common_name().next()?;
    name.as_str().ok().map(str::to_string)
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, CredentialError> {
    let bytes = read_file(path, FileSecrecy::Readable)?;
    let certificates: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&bytes).collect();
    let certificates = certificates.map_err(|error| CredentialError::file(path, error))?;
    if certificates.is_empty() {
        return Err(CredentialError::file(path, "holds no certificate"));
    }
    Ok(certificates)
}
