//! SSH keys, and X.509 certificates that are signed by a certificate authority created for a test.

use crate::folder::TemporaryFolder;
use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair, SanType};
use russh::keys::ssh_key::private::Ed25519Keypair;
use russh::keys::ssh_key::LineEnding;
use russh::keys::{Algorithm, PrivateKey};

/// The permission bits of every credential file.
const FILE_MODE: u32 = 0o600;
/// The seed of [`host_key`].
const HOST_KEY_SEED: u64 = 1;

/// The SSH host key that [`TemporaryFolder::write_credentials`] writes, which is the same in every test.
pub fn host_key() -> PrivateKey {
    ssh_key(HOST_KEY_SEED)
}

/// An Ed25519 SSH key that is derived from the seed alone.
pub fn ssh_key(seed: u64) -> PrivateKey {
    let mut bytes = [0; 32];
    let mut rng = oorandom::Rand64::new(u128::from(seed) + 1);
    for part in bytes.chunks_mut(8) {
        part.copy_from_slice(&rng.rand_u64().to_le_bytes());
    }
    let key = PrivateKey::from(Ed25519Keypair::from_seed(&bytes));
    debug_assert_eq!(key.algorithm(), Algorithm::Ed25519);
    key
}

/// Lines of an operator file that name the files of [`TemporaryFolder::write_credentials`], one setting on each line.
pub struct OperatorSettings {
    /// The settings of the SSH server: its host key and the folder of the users' public keys.
    pub ssh: String,
    /// The settings of the TLS server: its certificate, its key and the authority that signs client certificates.
    pub tls: String,
}

impl TemporaryFolder {
    /// Writes the credentials that the management service of a dispatcher reads: an SSH host key, the users' public
    /// keys, a TLS server certificate with its key, and the certificate of a new authority. Returns that authority,
    /// which signs client certificates.
    ///
    /// # Panics
    /// If a file can't be written.
    pub fn write_credentials(&self, users: &[(&str, PrivateKey)]) -> Authority {
        let authority = Authority::new("rig");
        let server = authority.issue_server();
        self.write("server.pem", &server.certificate, FILE_MODE);
        self.write("server.key", &server.key, FILE_MODE);
        self.write("ca.pem", &authority.certificate, FILE_MODE);
        self.write("host", &private_key_text(&host_key()), FILE_MODE);
        std::fs::create_dir_all(self.file("users")).expect("a folder for users");
        for (user, key) in users {
            self.write(&format!("users/{user}"), &public_key_text(key), FILE_MODE);
        }
        authority
    }

    /// The settings by which a dispatcher finds the files of [`TemporaryFolder::write_credentials`].
    pub fn operator_settings(&self) -> OperatorSettings {
        let path = |name: &str| self.file(name).display().to_string();
        let (host, users) = (path("host"), path("users"));
        let (certificate, key, ca) = (path("server.pem"), path("server.key"), path("ca.pem"));
        OperatorSettings {
            ssh: format!("host-key = {host}\nauthorized-keys = {users}\n"),
            tls: format!("certificate = {certificate}\nkey = {key}\nclient-ca = {ca}\n"),
        }
    }
}

/// Encodes a private key in the OpenSSH format.
///
/// # Panics
/// If the key can't be encoded.
pub fn private_key_text(key: &PrivateKey) -> String {
    key.to_openssh(LineEnding::LF).expect("a key").to_string()
}

/// Encodes the public key that belongs to a private key, as a line of an OpenSSH `authorized_keys` file.
///
/// # Panics
/// If the key can't be encoded.
pub fn public_key_text(key: &PrivateKey) -> String {
    key.public_key().to_openssh().expect("a key")
}

/// A certificate with its private key, both in PEM format.
pub struct CertifiedKey {
    /// The certificate, without that of its authority.
    pub certificate: String,
    /// The private key, in PKCS#8.
    pub key: String,
}

/// A certificate authority, which signs certificates of servers and clients.
pub struct Authority {
    issuer: Issuer<'static, KeyPair>,
    /// The self-signed certificate of the authority, in PEM format.
    pub certificate: String,
}

impl Authority {
    /// Creates an authority with a new key and the given common name.
    ///
    /// # Panics
    /// If the key or the certificate can't be created.
    pub fn new(name: &str) -> Authority {
        let mut params = CertificateParams::new(Vec::new()).expect("parameters");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.distinguished_name.push(DnType::CommonName, name);
        let key = KeyPair::generate().expect("a key");
        let certificate = params.self_signed(&key).expect("a certificate").pem();
        Authority { issuer: Issuer::new(params, key), certificate }
    }

    /// Issues a certificate for a server at `localhost` and 127.0.0.1.
    ///
    /// # Panics
    /// If the certificate can't be created.
    pub fn issue_server(&self) -> CertifiedKey {
        let mut params = CertificateParams::new(vec!["localhost".to_string()]).expect("parameters");
        params.subject_alt_names.push(SanType::IpAddress("127.0.0.1".parse().expect("an address")));
        self.sign(params)
    }

    /// Issues a certificate for a client with the given common name, which is the user name in management.
    ///
    /// # Panics
    /// If the certificate can't be created.
    pub fn issue_client(&self, name: &str) -> CertifiedKey {
        let mut params = CertificateParams::new(Vec::new()).expect("parameters");
        params.distinguished_name.push(DnType::CommonName, name);
        self.sign(params)
    }

    /// Signs a certificate with the given parameters for a new key.
    fn sign(&self, params: CertificateParams) -> CertifiedKey {
        let key = KeyPair::generate().expect("a key");
        let certificate = params.signed_by(&key, &self.issuer).expect("a certificate");
        CertifiedKey { certificate: certificate.pem(), key: key.serialize_pem() }
    }
}
