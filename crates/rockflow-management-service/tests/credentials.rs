//! Checks which credential files are refused, and the error messages that operators see.

use rockflow_management_service::credentials::{
    check_permissions, read_file, tls_server_config, FileSecrecy,
};
use rockflow_management_service::TlsSection;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;

fn write_file(name: &str, text: &str, mode: u32) -> PathBuf {
    let path = std::env::temp_dir().join(format!("rockflow-credentials-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(mode)).unwrap();
    path
}

#[test]
fn rejects_key_that_others_can_read() {
    let path = write_file("key-mode", "x", 0o640);
    let error = read_file(&path, FileSecrecy::OwnerOnly).unwrap_err();
    let expected = format!("{}: mode 640: others than its owner can read or write it", path.display());
    assert_eq!(error.to_string(), expected);
    assert_eq!(read_file(&path, FileSecrecy::Readable).unwrap(), b"x");
    std::fs::remove_file(path).unwrap();
}

#[test]
fn rejects_certificate_that_others_can_write() {
    let path = write_file("certificate-mode", "x", 0o666);
    let error = check_permissions(&path, FileSecrecy::Readable).unwrap_err();
    let expected = format!("{}: mode 666: others than its owner can write it", path.display());
    assert_eq!(error.to_string(), expected);
    std::fs::remove_file(path).unwrap();
}

#[test]
fn rejects_file_that_is_too_large() {
    let path = write_file("large", &"x".repeat(1024 * 1024 + 1), 0o600);
    let error = check_permissions(&path, FileSecrecy::OwnerOnly).unwrap_err();
    assert_eq!(error.to_string(), format!("{}: larger than 1048576 bytes", path.display()));
    std::fs::remove_file(path).unwrap();
}

#[test]
fn error_names_the_missing_file() {
    let path = PathBuf::from("/nowhere/at/all.pem");
    let section = TlsSection {
        listen: "127.0.0.1:0".parse().unwrap(),
        certificate: path.clone(),
        key: path.clone(),
        client_ca: path,
    };
    let error = tls_server_config(&section, &[]).unwrap_err();
    assert_eq!(error.to_string(), "/nowhere/at/all.pem: No such file or directory (os error 2)");
}
