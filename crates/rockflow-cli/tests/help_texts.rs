//! Compares the help of each subcommand with a literal text, because flags, environment variables and defaults are an
//! interface.

use std::process::Command;
use test_case::test_case;

/// Environment variables whose values clap shows in the help if they are set.
const ENVIRONMENT_VARIABLES: [&str; 12] = [
    "GW_CONFIG",
    "GW_LISTEN",
    "GW_NAME",
    "ROCKFLOW_OPERATOR",
    "ROCKFLOW_OVER",
    "ROCKFLOW_AT",
    "ROCKFLOW_USER",
    "ROCKFLOW_KEY",
    "ROCKFLOW_HOST_KEY",
    "ROCKFLOW_CERTIFICATE",
    "ROCKFLOW_CA",
    "ROCKFLOW_SERVER_NAME",
];

fn assert_help(arguments: &[&str], expected: &str) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_rockflow"));
    command.args(arguments).arg("--help").env_remove("ROCKFLOW_OUTPUT");
    for name in ENVIRONMENT_VARIABLES {
        command.env_remove(name);
    }
    let output = command.output().unwrap();
    assert!(output.status.success());
    assert_eq!(String::from_utf8(output.stdout).unwrap(), expected);
}

#[test_case(&["serve"], include_str!("literal/serve.txt"); "serve")]
#[test_case(&["check"], include_str!("literal/check.txt"); "check")]
#[test_case(&["version"], include_str!("literal/version.txt"); "version")]
#[test_case(&["completion"], include_str!("literal/completion.txt"); "completion")]
fn prints_help_in_every_build(arguments: &[&str], expected: &str) {
    assert_help(arguments, expected);
}

#[cfg(all(feature = "management", feature = "dissemination"))]
#[test]
fn prints_help_of_the_program() {
    assert_help(&[], include_str!("literal/rockflow.txt"));
}

#[cfg(feature = "dissemination")]
#[test]
fn prints_help_of_control() {
    assert_help(&["control"], include_str!("literal/control.txt"));
}

#[cfg(feature = "management")]
#[test_case(&["manage"], include_str!("literal/manage.txt"); "manage")]
#[test_case(&["manage", "hosts"], include_str!("literal/manage-hosts.txt"); "hosts")]
#[test_case(&["manage", "get"], include_str!("literal/manage-get.txt"); "get")]
#[test_case(&["manage", "watch"], include_str!("literal/manage-watch.txt"); "watch")]
#[test_case(&["manage", "drain"], include_str!("literal/manage-drain.txt"); "drain")]
#[test_case(&["manage", "undrain"], include_str!("literal/manage-undrain.txt"); "undrain")]
#[test_case(&["manage", "commit"], include_str!("literal/manage-commit.txt"); "commit")]
#[test_case(&["manage", "confirm"], include_str!("literal/manage-confirm.txt"); "confirm")]
#[test_case(&["manage", "cancel"], include_str!("literal/manage-cancel.txt"); "cancel")]
#[test_case(&["manage", "history"], include_str!("literal/manage-history.txt"); "history")]
#[test_case(&["manage", "rollback"], include_str!("literal/manage-rollback.txt"); "rollback")]
fn prints_help_of_manage(arguments: &[&str], expected: &str) {
    assert_help(arguments, expected);
}
