//! Credentials: key and certificate files, which others than their owner must not be able to use, and TLS servers
//! made from them.

use crate::operator_config::TlsSection;
use rustls::pki_types::pem::{self, PemObject};
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::{VerifierBuilderError, WebPkiClientVerifier};
use rustls::{RootCertStore, ServerConfig};
use std::io;
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
#[derive(Debug, Error)]
pub enum CredentialError {
    /// It can't be read.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// Others than its owner can use it.
    #[error("{}: mode {mode:o}: others than its owner can {access} it", path.display())]
    Permissions {
        /// The file or folder.
        path: PathBuf,
        /// Its permission bits.
        mode: u32,
        /// What others must not be able to do.
        access: &'static str,
    },
    /// It is larger than allowed.
    #[error("{}: larger than {MAX_FILE_BYTES} bytes", path.display())]
    TooLarge {
        /// The file.
        path: PathBuf,
    },
    /// It is not PEM, or holds nothing of the expected kind.
    #[error("{}: {source}", path.display())]
    Pem {
        /// The file.
        path: PathBuf,
        /// Why.
        source: pem::Error,
    },
    /// It holds no certificate.
    #[error("{}: holds no certificate", path.display())]
    NoCertificate {
        /// The file.
        path: PathBuf,
    },
    /// TLS can't use what it holds.
    #[error("{}: {source}", path.display())]
    Tls {
        /// The file.
        path: PathBuf,
        /// Why.
        source: rustls::Error,
    },
    /// Clients can't be verified by the authorities that it holds.
    #[error("{}: {source}", path.display())]
    Verifier {
        /// The file.
        path: PathBuf,
        /// Why.
        source: VerifierBuilderError,
    },
    /// The TLS library has no protocol version in common with its provider.
    #[error(transparent)]
    Protocol(rustls::Error),
}

/// Checks that others than the owner can't use a file or folder as an attack: read a key, or change what lets
/// users in.
///
/// # Errors
/// Where its mode allows that, it is too large, or it is not there.
pub fn check_permissions(path: &Path, secrecy: FileSecrecy) -> Result<(), CredentialError> {
    let metadata =
        std::fs::metadata(path).map_err(|source| CredentialError::Io { path: path.to_path_buf(), source })?;
    #[cfg(unix)]
    {
        use std::os::unix::fs::PermissionsExt;
        let mode = metadata.permissions().mode() & 0o777;
        if mode & secrecy.forbidden_mode() != 0 {
            let access = secrecy.forbidden_access();
            return Err(CredentialError::Permissions { path: path.to_path_buf(), mode, access });
        }
    }
    if metadata.is_file() && metadata.len() > MAX_FILE_BYTES {
        return Err(CredentialError::TooLarge { path: path.to_path_buf() });
    }
    Ok(())
}

/// Reads a file that passes [`check_permissions`].
///
/// # Errors
/// Where it does not, or can't be read.
pub fn read_file(path: &Path, secrecy: FileSecrecy) -> Result<Vec<u8>, CredentialError> {
    check_permissions(path, secrecy)?;
    std::fs::read(path).map_err(|source| CredentialError::Io { path: path.to_path_buf(), source })
}

/// A TLS server that accepts clients with a certificate of the client authority. `alpn`: the protocols that it
/// offers.
///
/// # Errors
/// Where one of the section's files can't be used.
pub fn tls_server_config(section: &TlsSection, alpn: &[&[u8]]) -> Result<Arc<ServerConfig>, CredentialError> {
    let key = read_file(&section.key, FileSecrecy::OwnerOnly)?;
    let key = PrivateKeyDer::from_pem_slice(&key)
        .map_err(|source| CredentialError::Pem { path: section.key.clone(), source })?;
    let authorities = &section.client_ca;
    let mut roots = RootCertStore::empty();
    for authority in read_certificates(authorities)? {
        let added = roots.add(authority);
        added.map_err(|source| CredentialError::Tls { path: authorities.clone(), source })?;
    }
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider.clone())
        .build()
        .map_err(|source| CredentialError::Verifier { path: authorities.clone(), source })?;
    let mut config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(CredentialError::Protocol)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(read_certificates(&section.certificate)?, key)
        .map_err(|source| CredentialError::Tls { path: section.certificate.clone(), source })?;
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
    let certificates =
        certificates.map_err(|source| CredentialError::Pem { path: path.to_path_buf(), source })?;
    if certificates.is_empty() {
        return Err(CredentialError::NoCertificate { path: path.to_path_buf() });
    }
    Ok(certificates)
}
