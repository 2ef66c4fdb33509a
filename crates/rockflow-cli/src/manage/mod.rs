//! `rockflow manage`: reads and changes a dispatcher's state from the command line, over NETCONF or gNMI. Scripts go by
//! its JSON output, and by exit codes that distinguish a refusal from a broken connection.

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

/// Exit codes beside 0, which scripts go by.
mod code {
    pub const OTHER: u8 = 1;
    pub const CONNECTION: u8 = 3;
    pub const TRUST: u8 = 4;
    pub const REFUSED: u8 = 5;
    /// A conflict with another session: the same call may succeed later, or once the changes have been looked at.
    pub const BUSY: u8 = 6;
    pub const ACCESS: u8 = 7;
}

/// Runs the command, prints its result or error, and returns its exit code.
pub fn run(arguments: &ManageArguments) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("rockflow: {error}");
            return ExitCode::from(code::OTHER);
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
        ClientError::Connection(_) => code::CONNECTION,
        ClientError::Untrusted(_) => code::TRUST,
        ClientError::Rejected { tag, app_tag, .. } => match (tag.as_str(), app_tag.as_deref()) {
            ("in-use" | "lock-denied" | "resource-denied", _) | (_, Some("conflict")) => code::BUSY,
            ("access-denied", _) => code::ACCESS,
            _ => code::REFUSED,
        },
        ClientError::Unreadable(_) => code::OTHER,
    }
}

const HOSTS: &str = "/rockflow-router:router/state/hosts";
const HISTORY: &str = "/rockflow-router:router/state/rockflow-history:history";
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
const COMMIT_COLUMNS: [&str; 6] = ["version", "time", "author", "protocol", "source", "comment"];

async fn execute(arguments: &ManageArguments) -> Result<(), ClientError> {
    let schema = Schema::published();
    let mut peer = Peer::connect(arguments.transport, &arguments.address, &arguments.credentials).await?;
    let output = arguments.output;
    match &arguments.command {
        Command::Hosts => {
            let found = peer.get(&schema, "operational", &[HOSTS.to_string()]).await?;
            output.list(&within(&found, &["router", "state", "hosts", "host"]), &HOST_COLUMNS);
        }
        Command::Get { paths, datastore } => {
            let found = peer.get(&schema, datastore, paths).await?;
            output.tree(&schema, &found);
        }
        Command::Watch { paths, period, count } => {
            let period = period.map(|seconds| Duration::from_secs_f64(seconds.clamp(0.1, 1e6)));
            let mut seen = 0;
            peer.follow(&schema, paths, period).await?;
            while count.is_none_or(|count| seen < count) {
                seen += 1;
                output.changes(&peer.next(&schema).await?);
            }
        }
        Command::Drain { host, reason, expires_in, force } => {
            let version = peer.drain(&schema, host, reason.as_deref(), *expires_in, *force).await?;
            output.done(version);
        }
        Command::Undrain { host } => output.done(peer.undrain(&schema, host).await?),
        Command::Commit { file, confirm, persist } => {
            let value = read_commit(&schema, file)?;
            if confirm.is_some() && persist.is_none() {
                let what = "--confirm needs --persist NAME: the session ends with this command";
                return Err(ClientError::Unreadable(what.to_string()));
            }
            let within = confirm.map(Duration::from_secs);
            peer.commit(&schema, &value, within, persist.as_deref()).await?;
            output.done(None);
        }
        Command::Confirm { persist_id } => {
            peer.confirm(persist_id).await?;
            output.done(None);
        }
        Command::Cancel { persist_id } => {
            peer.cancel(persist_id).await?;
            output.done(None);
        }
        Command::History => {
            let found = peer.get(&schema, "operational", &[HISTORY.to_string()]).await?;
            let commits = within(&found, &["router", "state", "history", "commit"]);
            output.list(&commits, &COMMIT_COLUMNS);
        }
        Command::Rollback { version, expected } => {
            output.done(Some(peer.rollback(&schema, *version, *expected).await?));
        }
    }
    Ok(())
}

/// Reads a configuration from a file, or from standard input for `-`, and validates it here already, so that an error
/// names its key as it was written.
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

/// The value at a path of names, whichever modules they are qualified by; an empty list where there is none.
fn within(value: &Value, names: &[&str]) -> Value {
    names.iter().fold(value.clone(), |value, name| {
        let found = value.as_object().and_then(|fields| {
            let plain = |key: &String| key.split_once(':').map_or(key.as_str(), |(_, plain)| plain) == *name;
            fields.iter().find(|(key, _)| plain(key)).map(|(_, value)| value.clone())
        });
        found.unwrap_or(json!([]))
    })
}
