//! The arguments of `rockflow manage`. The doc comments of fields and variants are help texts.

use super::credentials::Credentials;
use super::output::Output;
use clap::{Args, Subcommand, ValueEnum};
use std::path::PathBuf;

/// The protocol, and its transport, over which a dispatcher is managed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Transport {
    /// NETCONF over SSH
    Ssh,
    /// NETCONF over TLS
    Tls,
    /// gNMI
    Gnmi,
}

/// How to reach a dispatcher, how to print results, and the command to run.
#[derive(Args)]
pub struct ManageArguments {
    /// How the dispatcher is asked
    #[arg(long = "over", env = "ROCKFLOW_OVER", value_name = "OVER", default_value = "ssh")]
    pub transport: Transport,
    /// Where it listens for that
    #[arg(long = "at", env = "ROCKFLOW_AT", value_name = "ADDRESS:PORT")]
    pub address: String,
    #[command(flatten)]
    pub credentials: Credentials,
    /// A table to read, or JSON for scripts: one value, or one a line where they go on coming
    #[arg(long, env = "ROCKFLOW_OUTPUT", default_value = "table")]
    pub output: Output,
    #[command(subcommand)]
    pub command: Command,
}

/// A subcommand of `rockflow manage`.
#[derive(Subcommand)]
pub enum Command {
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
