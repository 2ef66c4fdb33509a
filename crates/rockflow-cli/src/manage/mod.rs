//! `rockflow manage`: a dispatcher's state read and changed from the command line, over NETCONF or gNMI. What
//! scripts go by: JSON output, and exit codes that tell a refusal from a broken connection.

mod output;
mod peer;

use clap::{Args, Subcommand, ValueEnum};
use output::Output;
use peer::{Peer, Trust};
use rockflow_management_client::ClientError;
use rockflow_yang::{json, NodeScope, Schema};
use serde_json::{json, Value};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Exit codes beside 0: what scripts can tell apart.
mod code {
    pub const OTHER: u8 = 1;
    pub const CONNECTION: u8 = 3;
    pub const TRUST: u8 = 4;
    pub const REFUSED: u8 = 5;
    /// Another stands in the way: the same call may go through later, or after a look at what has changed.
    pub const BUSY: u8 = 6;
    pub const ACCESS: u8 = 7;
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Over {
    /// NETCONF over SSH
    Ssh,
    /// NETCONF over TLS
    Tls,
    /// gNMI
    Gnmi,
}

#[derive(Args)]
pub struct ManageArguments {
    /// How the dispatcher is asked
    #[arg(long, env = "ROCKFLOW_OVER", default_value = "ssh")]
    over: Over,
    /// Where it listens for that
    #[arg(long, env = "ROCKFLOW_AT", value_name = "ADDRESS:PORT")]
    at: String,
    #[command(flatten)]
    trust: Trust,
    /// A table to read, or JSON for scripts: one value, or one a line where they go on coming
    #[arg(long, env = "ROCKFLOW_OUTPUT", default_value = "table")]
    output: Output,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// The hosts: what the board and operators say of each, and what holds
    Hosts,
    /// Values by path, such as /router/state/board
    Get {
        paths: Vec<String>,
        /// Read a configuration in place of what is operational (not over gNMI)
        #[arg(long, value_parser = ["running", "candidate", "startup", "operational"], default_value = "operational")]
        datastore: String,
    },
    /// Values as they change, or all of them at intervals, till it is stopped
    Watch {
        #[arg(default_value = "/rockflow-router:router/state/hosts")]
        paths: Vec<String>,
        /// In seconds; absent: as they change
        #[arg(long)]
        period: Option<f64>,
        /// End after so many messages
        #[arg(long)]
        count: Option<usize>,
    },
    /// Mark a host as draining
    Drain {
        host: String,
        #[arg(long)]
        reason: Option<String>,
        /// The mark ends by itself after so many seconds
        #[arg(long)]
        expires_in: Option<u32>,
        /// Also where no other host of its role would be left at its location
        #[arg(long)]
        force: bool,
    },
    /// Take a host's mark away
    Undrain { host: String },
    /// Merge a JSON file into the configuration and commit (not over gNMI where it is to be confirmed)
    Commit {
        /// As RFC 7951 writes it; - for standard input
        file: PathBuf,
        /// Undone after so many seconds unless confirmed
        #[arg(long)]
        confirm: Option<u64>,
        /// The name by which it can be confirmed later; needed with --confirm, as this command's session ends
        #[arg(long, requires = "confirm")]
        persist: Option<String>,
    },
    /// Confirm a commit that was made with --confirm
    Confirm { persist_id: String },
    /// Undo a commit that was made with --confirm
    Cancel { persist_id: String },
    /// The commits that can be rolled back to
    History,
    /// Bring back the configuration of a commit, as a new one
    Rollback {
        version: u64,
        /// Refused unless this commit is in force
        #[arg(long)]
        expected: Option<u64>,
    },
}

pub fn run(arguments: &ManageArguments) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(what) => {
            eprintln!("rockflow: {what}");
            return ExitCode::from(code::OTHER);
        }
    };
    match runtime.block_on(execute(arguments)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(trouble) => {
            eprintln!("rockflow: {trouble}");
            ExitCode::from(match &trouble {
                ClientError::Connection(_) => code::CONNECTION,
                ClientError::Untrusted(_) => code::TRUST,
                ClientError::Rejected { tag, app_tag, .. } => match (tag.as_str(), app_tag.as_deref()) {
                    ("in-use" | "lock-denied" | "resource-denied", _) | (_, Some("conflict")) => code::BUSY,
                    ("access-denied", _) => code::ACCESS,
                    _ => code::REFUSED,
                },
                ClientError::Unreadable(_) => code::OTHER,
            })
        }
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
    let mut peer = Peer::connect(arguments.over, &arguments.at, &arguments.trust).await?;
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
            let text = if file.as_os_str() == "-" {
                std::io::read_to_string(std::io::stdin())
            } else {
                std::fs::read_to_string(file)
            };
            let text = text.map_err(|what| ClientError::Unreadable(format!("{}: {what}", file.display())))?;
            let value: Value = serde_json::from_str(&text)
                .map_err(|what| ClientError::Unreadable(format!("{}: {what}", file.display())))?;
            // Judged here already, so that a fault names its key as it was written.
            json::read(&schema, None, &value, NodeScope::ConfigOnly)
                .map_err(|what| ClientError::Unreadable(format!("{}: {what}", file.display())))?;
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

/// What stands at the names, whichever modules they bear.
fn within(value: &Value, names: &[&str]) -> Value {
    names.iter().fold(value.clone(), |value, name| {
        let found = value.as_object().and_then(|fields| {
            let plain = |key: &String| key.split_once(':').map_or(key.as_str(), |(_, plain)| plain) == *name;
            fields.iter().find(|(key, _)| plain(key)).map(|(_, value)| value.clone())
        });
        found.unwrap_or(json!([]))
    })
}
