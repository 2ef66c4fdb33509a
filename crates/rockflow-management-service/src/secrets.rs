//! Files that must not be read or written by others, and TLS from them.

use crate::operator_config::TlsSection;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{RootCertStore, ServerConfig};
use std::path::Path;
use std::sync::Arc;

/// The largest key or certificate file that is read, in bytes.
const MAX_BYTES: u64 = 1024 * 1024;

/// Guards against keys that others on the machine can read, and against files by which they could let
/// themselves in: `secret` ones are closed to group and others, all of them to their writing.
pub fn judge(path: &Path, secret: bool) -> Result<(), String> {
    let what = |what: &dyn std::fmt::Display| format!("{}: {what}", path.display());
    let meta = std::fs::metadata(path).map_err(|fault| what(&fault))?;
    #[cfg(unix)]
    {
        use std::os::unix::fs::PermissionsExt;
        let barred = if secret { 0o077 } else { 0o022 };
        let mode = meta.permissions().mode() & 0o777;
        if mode & barred != 0 {
            let wanted = if secret { "read or write" } else { "write" };
            return Err(what(&format!("mode {mode:o}: others than its owner can {wanted} it")));
        }
    }
    if meta.is_file() && meta.len() > MAX_BYTES {
        return Err(what(&format!("larger than {MAX_BYTES} bytes")));
    }
    Ok(())
}

/// Reads a file that `judge` has nothing against.
pub fn read(path: &Path, secret: bool) -> Result<Vec<u8>, String> {
    judge(path, secret)?;
    std::fs::read(path).map_err(|what| format!("{}: {what}", path.display()))
}

/// A server that lets in whoever has a certificate of the client authority. `protocols`: as in ALPN.
pub fn server(part: &TlsSection, protocols: &[&[u8]]) -> Result<Arc<ServerConfig>, String> {
    let fault = |path: &Path, what: &dyn std::fmt::Display| format!("{}: {what}", path.display());
    let chain = |path: &Path| -> Result<Vec<CertificateDer<'static>>, String> {
        let bytes = read(path, false)?;
        let all: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&bytes).collect();
        let all = all.map_err(|what| fault(path, &what))?;
        if all.is_empty() {
            return Err(fault(path, &"holds no certificate"));
        }
        Ok(all)
    };
    let key =
        PrivateKeyDer::from_pem_slice(&read(&part.key, true)?).map_err(|what| fault(&part.key, &what))?;
    let mut roots = RootCertStore::empty();
    for authority in chain(&part.client_ca)? {
        roots.add(authority).map_err(|what| fault(&part.client_ca, &what))?;
    }
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider.clone()).build();
    let verifier = verifier.map_err(|what| fault(&part.client_ca, &what))?;
    let mut server = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|what| what.to_string())?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain(&part.certificate)?, key)
        .map_err(|what| fault(&part.certificate, &what))?;
    server.alpn_protocols = protocols.iter().map(|name| name.to_vec()).collect();
    Ok(Arc::new(server))
}

/// The user that a proved certificate names: the first of its alternative names of the kinds e-mail and DNS
/// name, else its common name (RFC 7589, section 7, with one mapping for all).
pub fn user_of(certificate: &[u8]) -> Option<String> {
    use x509_parser::prelude::*;
    let (_, certificate) = X509Certificate::from_der(certificate).ok()?;
    let names = certificate.subject_alternative_name().ok().flatten();
    let alternative = names.and_then(|names| {
        names.value.general_names.iter().find_map(|name| match name {
            GeneralName::RFC822Name(name) | GeneralName::DNSName(name) => Some(name.to_string()),
            _ => None,
        })
    });
    let common = || {
        let mut names = certificate.subject().iter_common_name();
        names.next().and_then(|name| name.as_str().ok()).map(str::to_string)
    };
    let user = alternative.or_else(common)?;
    let plain = !user.is_empty() && user.len() <= 128 && user.bytes().all(|byte| byte.is_ascii_graphic());
    plain.then_some(user)
}
