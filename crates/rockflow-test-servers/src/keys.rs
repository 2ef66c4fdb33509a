//! Keys and certificates, made new in a folder of their own and gone with it.

use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair, SanType};
use russh::keys::ssh_key::LineEnding;
use russh::keys::{Algorithm, PrivateKey};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

static NEXT: AtomicU64 = AtomicU64::new(1);

/// A folder for its owner alone, removed when dropped.
pub struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    pub fn new(what: &str) -> TemporaryFolder {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("rockflow-{what}-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o700)).expect("its mode");
        TemporaryFolder(path)
    }

    pub fn path(&self) -> &Path {
        &self.0
    }

    pub fn file(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    pub fn write(&self, name: &str, text: &str, mode: u32) -> PathBuf {
        let path = self.file(name);
        std::fs::write(&path, text).expect("a file");
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(mode)).expect("its mode");
        path
    }
}

/// The host key of a furnished folder.
pub fn host_key() -> PrivateKey {
    ssh_key(1)
}

impl TemporaryFolder {
    /// Lays out what the management of a dispatcher reads: a host key, the users' public keys, a server's
    /// certificate and key, and the authority that signs clients.
    pub fn write_credentials(&self, users: &[(&str, PrivateKey)]) -> Authority {
        let authority = Authority::new("rig");
        let (certificate, key) = authority.issue_server();
        self.write("server.pem", &certificate, 0o600);
        self.write("server.key", &key, 0o600);
        self.write("ca.pem", &authority.certificate, 0o600);
        self.write("host", &texts(&host_key()).0, 0o600);
        std::fs::create_dir_all(self.file("users")).expect("a folder");
        for (user, key) in users {
            self.write(&format!("users/{user}"), &texts(key).1, 0o600);
        }
        authority
    }

    /// The keys of the operator's file for it: those of SSH, and those of TLS.
    pub fn operator_settings(&self) -> (String, String) {
        let at = |name: &str| self.file(name).display().to_string();
        let ssh = format!("host-key = {}\nauthorized-keys = {}\n", at("host"), at("users"));
        let (certificate, key, ca) = (at("server.pem"), at("server.key"), at("ca.pem"));
        (ssh, format!("certificate = {certificate}\nkey = {key}\nclient-ca = {ca}\n"))
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A new SSH key, the same for the same seed.
pub fn ssh_key(seed: u64) -> PrivateKey {
    let mut bytes = [0; 32];
    let mut chance = oorandom::Rand64::new(u128::from(seed) + 1);
    bytes.chunks_mut(8).for_each(|part| part.copy_from_slice(&chance.rand_u64().to_le_bytes()));
    let pair = russh::keys::ssh_key::private::Ed25519Keypair::from_seed(&bytes);
    let key = PrivateKey::from(pair);
    debug_assert_eq!(key.algorithm(), Algorithm::Ed25519);
    key
}

/// The key as OpenSSH writes it, and its public half as a line.
pub fn texts(key: &PrivateKey) -> (String, String) {
    let private = key.to_openssh(LineEnding::LF).expect("a key").to_string();
    (private, key.public_key().to_openssh().expect("a key"))
}

/// An authority, with which server and clients are signed.
pub struct Authority {
    issuer: Issuer<'static, KeyPair>,
    pub certificate: String,
}

impl Authority {
    pub fn new(name: &str) -> Authority {
        let mut params = CertificateParams::new(Vec::new()).expect("parameters");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.distinguished_name.push(DnType::CommonName, name);
        let key = KeyPair::generate().expect("a key");
        let certificate = params.self_signed(&key).expect("a certificate").pem();
        Authority { issuer: Issuer::new(params, key), certificate }
    }

    /// A server at 127.0.0.1 and localhost: certificate and key.
    pub fn issue_server(&self) -> (String, String) {
        let mut params = CertificateParams::new(vec!["localhost".to_string()]).expect("parameters");
        params.subject_alt_names.push(SanType::IpAddress("127.0.0.1".parse().expect("an address")));
        self.sign(params)
    }

    /// A client of that name: certificate and key.
    pub fn issue_client(&self, name: &str) -> (String, String) {
        let mut params = CertificateParams::new(Vec::new()).expect("parameters");
        params.distinguished_name.push(DnType::CommonName, name);
        self.sign(params)
    }

    fn sign(&self, params: CertificateParams) -> (String, String) {
        let key = KeyPair::generate().expect("a key");
        let certificate = params.signed_by(&key, &self.issuer).expect("a certificate");
        (certificate.pem(), key.serialize_pem())
    }
}
