//! Compares the output, errors and exit codes of `rockflow manage` with literal texts, against a running dispatcher.
#![cfg(feature = "management")]

use rockflow_process_harness::{free_tcp, wait_until, Process, Start};
use rockflow_test_servers::{keys, TemporaryFolder};
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Seed of the user's SSH key.
const USER_KEY_SEED: u64 = 7;

/// A dispatcher that serves NETCONF over SSH, and the keys with which its user connects.
struct ManagedDispatcher {
    _process: Process,
    netconf: SocketAddr,
    user_key: PathBuf,
    host_key: PathBuf,
    folder: TemporaryFolder,
}

/// The result of one run of `rockflow manage`.
struct CommandResult {
    stdout: String,
    stderr: String,
    code: i32,
}

impl ManagedDispatcher {
    fn start() -> ManagedDispatcher {
        let folder = TemporaryFolder::new("manage-output");
        let user = keys::ssh_key(USER_KEY_SEED);
        folder.write_credentials(&[("root", user.clone())]);
        let user_key = folder.write("user", &keys::private_key_text(&user), 0o600);
        let host_key = folder.write("host.pub", &keys::public_key_text(&keys::host_key()), 0o600);
        let netconf = free_tcp().unwrap();
        let ssh = folder.operator_settings().ssh;
        let operator = format!("[management]\nowner = root\n[netconf]\nssh = {netconf}\n{ssh}");
        let operator = folder.write("rockflow.ini", &operator, 0o600);
        let process = Start::of(env!("CARGO_BIN_EXE_rockflow"))
            .args(["serve", "--log", "error"])
            .env("GW_CONFIG", folder.write("config.json", &configuration().to_string(), 0o600))
            .env("ROCKFLOW_OPERATOR", operator)
            .start()
            .unwrap();
        assert!(wait_until(START_TIMEOUT, || TcpStream::connect(netconf).is_ok()));
        ManagedDispatcher { _process: process, netconf, user_key, host_key, folder }
    }

    /// Runs `rockflow manage` over SSH with these further arguments.
    fn manage(&self, arguments: &[&str]) -> CommandResult {
        let output = Command::new(env!("CARGO_BIN_EXE_rockflow"))
            .args(["manage", "--at", &self.netconf.to_string()])
            .arg("--key")
            .arg(&self.user_key)
            .arg("--host-key")
            .arg(&self.host_key)
            .args(arguments)
            .env_remove("ROCKFLOW_OVER")
            .env_remove("ROCKFLOW_OUTPUT")
            .env_remove("ROCKFLOW_USER")
            .output()
            .unwrap();
        CommandResult {
            stdout: String::from_utf8(output.stdout).unwrap(),
            stderr: String::from_utf8(output.stderr).unwrap(),
            code: output.status.code().unwrap(),
        }
    }
}

/// The example configuration on a free port, with a discovery address at which nothing listens.
fn configuration() -> Value {
    let mut config: Value = serde_json::from_str(include_str!("../../../deploy/example.json")).unwrap();
    config["listen"] = json!(free_tcp().unwrap().to_string());
    config["board"] = json!(free_tcp().unwrap().to_string());
    config
}

impl CommandResult {
    #[track_caller]
    fn assert(&self, code: i32, stdout: &str, stderr: &str) {
        assert_eq!((self.code, self.stdout.as_str(), self.stderr.as_str()), (code, stdout, stderr));
    }
}

/// Replaces the times of a printed history and the padding of their column, as the fractions of a second differ in length.
fn mask_times(table: &str) -> String {
    let is_time = |word: &&str| word.starts_with("20") && word.contains('T');
    let times: Vec<&str> = table.split(' ').filter(is_time).collect();
    let width = times.iter().map(|time| time.len()).max().unwrap_or(0);
    let masked = table.replace(&format!("{:<width$}", "time"), "time");
    times.iter().fold(masked, |masked, time| masked.replace(&format!("{time:<width$}"), "TIME"))
}

#[test]
fn prints_hosts_as_table_and_json() {
    let dispatcher = ManagedDispatcher::start();
    dispatcher.manage(&["hosts"]).assert(0, include_str!("literal/output-hosts.txt"), "");
    let json = dispatcher.manage(&["--output", "json", "hosts"]);
    json.assert(0, include_str!("literal/output-hosts.json"), "");
}

#[test]
fn prints_values_by_path() {
    let dispatcher = ManagedDispatcher::start();
    let path = "/router/state/board/last";
    let table = " path                                      value \n /rockflow-router:router/state/board/last  1     \n";
    dispatcher.manage(&["get", path]).assert(0, table, "");
    let json = "{\"rockflow-router:router\":{\"state\":{\"board\":{\"last\":\"1\"}}}}\n";
    dispatcher.manage(&["--output", "json", "get", path]).assert(0, json, "");
    let unknown_path = dispatcher.manage(&["get", "/router/nothing"]);
    unknown_path.assert(5, "", "rockflow: invalid-value: nothing: no such node\n");
}

#[test]
fn prints_watched_values() {
    let dispatcher = ManagedDispatcher::start();
    let watch = ["watch", "--count", "1", "--period", "1"];
    dispatcher.manage(&watch).assert(0, include_str!("literal/output-watch.txt"), "");
    let json = dispatcher.manage(&[&["--output", "json"], &watch[..]].concat());
    json.assert(0, include_str!("literal/output-watch.json"), "");
}

#[test]
fn prints_result_of_drain_and_undrain() {
    let dispatcher = ManagedDispatcher::start();
    let last_host_error = "rockflow: operation-failed: no host would be left in place of c1; with force it is done all the same\n";
    dispatcher.manage(&["drain", "c1"]).assert(5, "", last_host_error);
    dispatcher.manage(&["undrain", "c1"]).assert(5, "", "rockflow: data-missing: c1 has no mark\n");
    dispatcher.manage(&["drain", "c1", "--force"]).assert(0, "done, commit 1\n", "");
    dispatcher.manage(&["undrain", "c1"]).assert(0, "done, commit 2\n", "");
    let json = dispatcher.manage(&["--output", "json", "drain", "c1", "--force"]);
    json.assert(0, "{\"done\":true,\"version\":3}\n", "");
}

#[test]
fn prints_result_of_commit_confirm_and_cancel() {
    let dispatcher = ManagedDispatcher::start();
    let file = dispatcher.folder.write("commit.json", "{\"rockflow-router:router\": {}}", 0o600);
    let commit = ["commit", file.to_str().unwrap()];
    dispatcher.manage(&commit).assert(0, "done\n", "");
    let json = dispatcher.manage(&[&["--output", "json"], &commit[..]].concat());
    json.assert(0, "{\"done\":true,\"version\":null}\n", "");
    let persist_error =
        "rockflow: unreadable: --confirm needs --persist NAME: the session ends with this command\n";
    dispatcher.manage(&[&commit[..], &["--confirm", "60"]].concat()).assert(1, "", persist_error);
    let confirmed_commit = [&commit[..], &["--confirm", "60", "--persist", "p"]].concat();
    dispatcher.manage(&confirmed_commit).assert(0, "done\n", "");
    dispatcher.manage(&["cancel", "p"]).assert(0, "done\n", "");
    dispatcher.manage(&confirmed_commit).assert(0, "done\n", "");
    dispatcher.manage(&["confirm", "p"]).assert(0, "done\n", "");
    let none_pending_error = "rockflow: invalid-value: no confirmed commit is pending\n";
    dispatcher.manage(&["confirm", "p"]).assert(5, "", none_pending_error);
}

#[test]
fn prints_history_and_result_of_rollback() {
    let dispatcher = ManagedDispatcher::start();
    let empty_history = " version  time  author  protocol  source  comment \n";
    dispatcher.manage(&["history"]).assert(0, empty_history, "");
    dispatcher.manage(&["--output", "json", "history"]).assert(0, "[]\n", "");
    let missing_commit_error = "rockflow: data-missing: commit 1 is not held; the oldest is 0\n";
    dispatcher.manage(&["rollback", "1"]).assert(5, "", missing_commit_error);
    let conflict_error = "rockflow: operation-failed: commit 0 of - is in force\n";
    dispatcher.manage(&["rollback", "1", "--expected", "1"]).assert(6, "", conflict_error);
    dispatcher.manage(&["drain", "c1", "--force"]).assert(0, "done, commit 1\n", "");
    dispatcher.manage(&["rollback", "0"]).assert(0, "done, commit 2\n", "");
    let mut history = dispatcher.manage(&["history"]);
    history.stdout = mask_times(&history.stdout);
    history.assert(0, include_str!("literal/output-history.txt"), "");
}

#[test]
fn exit_code_depends_on_kind_of_error() {
    let dispatcher = ManagedDispatcher::start();
    let missing_file_error = "rockflow: unreadable: /nowhere.json: No such file or directory (os error 2)\n";
    dispatcher.manage(&["commit", "/nowhere.json"]).assert(1, "", missing_file_error);
    dispatcher.manage(&["--over", "tls", "hosts"]).assert(4, "", "rockflow: trust: --ca is missing\n");
    let unknown_key_error = "rockflow: trust: the server does not know this key for eve\n";
    dispatcher.manage(&["--user", "eve", "hosts"]).assert(4, "", unknown_key_error);
}
