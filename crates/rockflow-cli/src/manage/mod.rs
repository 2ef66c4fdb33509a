//! `rockflow manage`: reads and changes a dispatcher's state from the command line, over NETCONF or gNMI.
//!
//! Scripts can rely on its JSON output, and on exit codes that distinguish a rejected request from a broken connection.

mod arguments;
mod credentials;
mod output;
mod peer;

use arguments::Command;
pub use arguments::ManageArguments;
use peer::Peer;
use rockflow_management_client::ClientError;
use rockflow_yang::{json, NodeScope, Schema};
use serde_json::{json, Value};
use std::fmt::Display;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// Exit codes of failures. They are an interface for scripts.
mod exit_codes {
    /// An input or a reply can't be read, or the program can't run.
    pub const OTHER: u8 = 1;
    /// The connection can't be made, or has broken.
    pub const CONNECTION: u8 = 3;
    /// A key or certificate can't be used or is not accepted.
    pub const TRUST: u8 = 4;
    /// The dispatcher has rejected the request.
    pub const REJECTED: u8 = 5;
    /// A conflict with another session. The same call may succeed later, or after the user has reviewed the changes that
    /// the other session made.
    pub const CONFLICT: u8 = 6;
    /// The user has no permission for the request.
    pub const ACCESS_DENIED: u8 = 7;
}

/// Runs the command, prints its result or error, and returns its exit code.
pub fn run(arguments: &ManageArguments) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("rockflow: {error}");
            return ExitCode::from(exit_codes::OTHER);
        }
    };
    match runtime.block_on(execute(arguments)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rockflow: {error}");
            ExitCode::from(exit_code(&error))
        }
    }
}

fn exit_code(error: &ClientError) -> u8 {
    match error {
        ClientError::Connection(_) => exit_codes::CONNECTION,
        ClientError::Untrusted(_) => exit_codes::TRUST,
        ClientError::Rejected { tag, app_tag, .. } => match (tag.as_str(), app_tag.as_deref()) {
            ("in-use" | "lock-denied" | "resource-denied", _) | (_, Some("conflict")) => exit_codes::CONFLICT,
            ("access-denied", _) => exit_codes::ACCESS_DENIED,
            _ => exit_codes::REJECTED,
        },
        ClientError::Unreadable(_) => exit_codes::OTHER,
    }
}

/// Path of the hosts, as the dispatcher has them.
const HOSTS_PATH: &str = "/rockflow-router:router/state/hosts";
/// Path of the commits that can be rolled back to.
const HISTORY_PATH: &str = "/rockflow-router:router/state/rockflow-history:history";
/// The leaves of a host that a table shows, in order.
const HOST_COLUMNS: [&str; 11] = [
    "name",
    "role",
    "location",
    "listed",
    "marked",
    "effective",
    "says",
    "legs-out",
    "health",
    "avoided",
    "cold-until",
];
/// The leaves of a commit that a table shows, in order.
const COMMIT_COLUMNS: [&str; 6] = ["version", "time", "author", "protocol", "source", "comment"];

async fn execute(arguments: &ManageArguments) -> Result<(), ClientError> {
    let schema = Schema::published();
    let mut peer = Peer::connect(arguments.transport, &arguments.address, &arguments.credentials).await?;
    let output = arguments.output;
    match &arguments.command {
        Command::Hosts => {
            let values = peer.get(&schema, "operational", &[HOSTS_PATH.to_string()]).await?;
            let hosts = value_at(&values, &["router", "state", "hosts", "host"]);
            output.print_list(&hosts, &HOST_COLUMNS);
        }
        Command::Get { paths, datastore } => {
            let values = peer.get(&schema, datastore, paths).await?;
            output.print_values(&schema, &values);
        }
        Command::Watch { paths, period, count } => {
            let period = period.map(|seconds| Duration::from_secs_f64(seconds.clamp(0.1, 1e6)));
            let mut messages = 0;
            peer.subscribe(&schema, paths, period).await?;
            while count.is_none_or(|count| messages < count) {
                messages += 1;
                output.print_changes(&peer.next_changes(&schema).await?);
            }
        }
        Command::Drain { host, reason, expires_in, force } => {
            let version = peer.drain(&schema, host, reason.as_deref(), *expires_in, *force).await?;
            output.print_done(version);
        }
        Command::Undrain { host } => output.print_done(peer.undrain(&schema, host).await?),
        Command::Commit { file, confirm, persist } => {
            let value = read_commit(&schema, file)?;
            if confirm.is_some() && persist.is_none() {
                let message = "--confirm needs --persist NAME: the session ends with this command";
                return Err(ClientError::Unreadable(message.to_string()));
            }
            let confirm_timeout = confirm.map(Duration::from_secs);
            peer.commit(&schema, &value, confirm_timeout, persist.as_deref()).await?;
            output.print_done(None);
        }
        Command::Confirm { persist_id } => {
            peer.confirm(persist_id).await?;
            output.print_done(None);
        }
        Command::Cancel { persist_id } => {
            peer.cancel(persist_id).await?;
            output.print_done(None);
        }
        Command::History => {
            let values = peer.get(&schema, "operational", &[HISTORY_PATH.to_string()]).await?;
            let commits = value_at(&values, &["router", "state", "history", "commit"]);
            output.print_list(&commits, &COMMIT_COLUMNS);
        }
        Command::Rollback { version, expected } => {
            output.print_done(Some(peer.rollback(&schema, *version, *expected).await?));
        }
    }
    Ok(())
}

/// Reads a configuration from a file, or from standard input for `-`. It is validated before it is sent, so that an error
/// names the key as the file has it.
fn read_commit(schema: &Schema, file: &Path) -> Result<Value, ClientError> {
    let unreadable = |error: &dyn Display| ClientError::Unreadable(format!("{}: {error}", file.display()));
    let text = if file.as_os_str() == "-" {
        std::io::read_to_string(std::io::stdin())
    } else {
        std::fs::read_to_string(file)
    };
    let text = text.map_err(|error| unreadable(&error))?;
    let value: Value = serde_json::from_str(&text).map_err(|error| unreadable(&error))?;
    json::read(schema, None, &value, NodeScope::ConfigOnly).map_err(|error| unreadable(&error))?;
    Ok(value)
}

/// The value at a path of names, which ignores the module names that qualify keys. An empty list if there is no value.
fn value_at(value: &Value, names: &[&str]) -> Value {
    names.iter().fold(value.clone(), |value, name| {
        let child = value.as_object().and_then(|fields| {
            let has_name = |key: &str| key.split_once(':').map_or(key, |(_, local_name)| local_name) == *name;
            fields.iter().find(|(key, _)| has_name(key)).map(|(_, child)| child.clone())
        });
        child.unwrap_or(json!([]))
    })
}
