//! Reads key and certificate files, checks that their permissions keep other users out, and builds the TLS
//! server configuration from them.

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

/// Maximum size of a key or certificate file, in bytes.
const MAX_FILE_BYTES: u64 = 1024 * 1024;
/// Maximum length of a user name in a certificate, in bytes.
const MAX_USER_BYTES: usize = 128;

/// The access that users other than the owner may have to a credential file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileSecrecy {
    /// Others may neither read nor write the file; for private keys.
    OwnerOnly,
    /// Others may read but not write the file; for certificates and public keys.
    Readable,
}

impl FileSecrecy {
    /// The mode bits that must not be set.
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

/// A credential file can't be used, or TLS can't be set up with it.
#[derive(Debug, Error)]
pub enum CredentialError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file's path.
        path: PathBuf,
        /// The error of the file operation.
        source: io::Error,
    },
    /// The permissions give users other than the owner too much access.
    #[error("{}: mode {mode:o}: others than its owner can {access} it", path.display())]
    Permissions {
        /// The path of the file or folder.
        path: PathBuf,
        /// The permission bits found.
        mode: u32,
        /// The kind of access that others must not have.
        access: &'static str,
    },
    /// The file is larger than 1 MiB.
    #[error("{}: larger than {MAX_FILE_BYTES} bytes", path.display())]
    TooLarge {
        /// The file's path.
        path: PathBuf,
    },
    /// The file is not valid PEM, or has no item of the expected kind.
    #[error("{}: {source}", path.display())]
    Pem {
        /// The file's path.
        path: PathBuf,
        /// The error of the PEM parser.
        source: pem::Error,
    },
    /// The file contains no certificate.
    #[error("{}: holds no certificate", path.display())]
    NoCertificate {
        /// The file's path.
        path: PathBuf,
    },
    /// The TLS library rejects the key or certificate in the file.
    #[error("{}: {source}", path.display())]
    Tls {
        /// The file's path.
        path: PathBuf,
        /// The error of the TLS library.
        source: rustls::Error,
    },
    /// No verifier for client certificates can be built from the authorities in the file.
    #[error("{}: {source}", path.display())]
    Verifier {
        /// The file's path.
        path: PathBuf,
        /// The error of the certificate verifier's construction.
        source: VerifierBuilderError,
    },
    /// The TLS library and its cryptography provider have no protocol version in common.
    #[error(transparent)]
    Protocol(rustls::Error),
}

/// Checks that users other than the owner can't misuse a file or folder, that is, read a private key, or
/// change the credentials by which users are authenticated.
///
/// # Errors
/// Fails if the mode allows more than `secrecy`, a file is larger than 1 MiB, or the path does not exist.
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
/// Fails if the check fails or the file can't be read.
pub fn read_file(path: &Path, secrecy: FileSecrecy) -> Result<Vec<u8>, CredentialError> {
    check_permissions(path, secrecy)?;
    std::fs::read(path).map_err(|source| CredentialError::Io { path: path.to_path_buf(), source })
}

/// Builds the configuration of a TLS server that requires a client certificate signed by the section's client
/// authority. `alpn` lists the offered application protocols.
///
/// # Errors
/// Fails if one of the section's files can't be used.
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

/// Returns the user named in a client certificate: the first subject alternative name that is an e-mail
/// address or a DNS name, otherwise the common name (RFC 7589, section 7, with the same mapping for all
/// certificates). `None` if there is no such name, or if it is longer than 128 bytes or has characters other
/// than printable ASCII.
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
