//! Dissemination configured by the operator's file, with a real control process and real dispatchers on loopback.

use rockflow_process_harness::{free_tcp, free_udp, thread_names, wait_until, Signal, Start};
use rockflow_test_servers::{DiscoveryServer, Site};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const EXAMPLE: &str = include_str!("../../../deploy/example.json");
/// Longest wait for a line of a log or an answer.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Numbers folders, logs and requests, so that each has its own.
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);

/// A temporary folder for the files of one test, removed when dropped.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Folder {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("rockflow-diss-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A process of `rockflow`, whose log is written next to its configuration.
struct Process(rockflow_process_harness::Process);

impl Process {
    fn start(arguments: &[&str], config: &Path, operator_file: Option<&PathBuf>) -> Process {
        let log = config.with_extension(format!("{}.log", NEXT_NUMBER.fetch_add(1, Ordering::Relaxed)));
        let start = Start::of(env!("CARGO_BIN_EXE_rockflow")).args(arguments).arg("--config").arg(config);
        let mut start = start.env_remove("ROCKFLOW_OPERATOR").log(log);
        if let Some(path) = operator_file {
            start = start.arg("--operator").arg(path);
        }
        Process(start.start().unwrap())
    }

    /// Waits until the log has a line that contains all of these texts.
    fn wait_for_log(&self, texts: &[&str]) {
        let contains_all = |line: &str| texts.iter().all(|text| line.contains(text));
        assert!(
            wait_until(WAIT_TIMEOUT, || self.0.log().lines().any(contains_all)),
            "{texts:?} in {}",
            self.0.log()
        );
    }

    fn signal(&self, signal: Signal) {
        self.0.signal(signal).unwrap();
    }

    fn stop(mut self) {
        self.signal(Signal::SIGTERM);
        assert!(self.0.wait().unwrap().success(), "{}", self.0.log());
    }

    fn resources(&self) -> ProcessResources {
        let mut threads = thread_names(self.0.id());
        threads.sort();
        ProcessResources { threads, descriptors: self.0.usage().unwrap().descriptors }
    }
}

/// What a process uses of the system: the names of its threads, sorted, and its number of open descriptors.
struct ProcessResources {
    threads: Vec<String>,
    descriptors: usize,
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// The section `[dissemination]` of an operator's file, with one control node, c0.
fn dissemination_section(listen: SocketAddr, control: SocketAddr) -> String {
    format!(
        "[dissemination]\nfleet = test\nlisten = {listen}\ncontrol = c0@{control}\n\
         purge-seconds = 8.7\npulse-ms = 100\n"
    )
}

/// One control process, c0, and dispatchers d1, d2, ... of one region. Each dispatcher has its own discovery server,
/// which announces nothing.
struct Fleet {
    folder: Folder,
    site: Site,
    control_discovery: DiscoveryServer,
    _member_discoveries: Vec<DiscoveryServer>,
    control: Process,
    members: Vec<Member>,
}

/// A dispatcher of a fleet.
struct Member {
    process: Process,
    /// Where it listens for clients.
    client_address: SocketAddr,
}

impl Fleet {
    fn start(member_count: usize, cache_count: usize) -> Fleet {
        let folder = Folder::new();
        let site = Site::start(cache_count, 1, Duration::ZERO);
        let control_discovery = DiscoveryServer::start();
        let addresses = free_udp(member_count + 1).unwrap();
        let mut directory = "version,1\n".to_string();
        let mut member_discoveries = Vec::new();
        let members = (1..=member_count).map(|number| {
            let name = format!("d{number}");
            directory += &format!("{name},north,s{},z,{}\n", number % 2, addresses[number]);
            member_discoveries.push(DiscoveryServer::start());
            let client_address = free_tcp().unwrap();
            let mut value = site.configuration_json(EXAMPLE);
            value["name"] = json!(name);
            value["board"] = json!(member_discoveries[number - 1].address.to_string());
            value["listen"] = json!(client_address.to_string());
            let config = folder.write(&format!("{name}.json"), &value.to_string());
            let operator_file =
                folder.write(&format!("{name}.ini"), &dissemination_section(addresses[number], addresses[0]));
            Member { process: Process::start(&["serve"], &config, Some(&operator_file)), client_address }
        });
        let members: Vec<_> = members.collect();
        folder.write("members.csv", &directory);
        folder.write("marks", "# none\n");
        let path = folder.0.display();
        let control_section = format!("\n[control]\ndirectory = {path}/members.csv\nmarks = {path}/marks\n");
        let operator_file =
            folder.write("c0.ini", &(dissemination_section(addresses[0], addresses[0]) + &control_section));
        let mut value = site.configuration_json(EXAMPLE);
        value["name"] = json!("c0");
        value["board"] = json!(control_discovery.address.to_string());
        let config = folder.write("c0.json", &value.to_string());
        let control = Process::start(&["control"], &config, Some(&operator_file));
        Fleet { folder, site, control_discovery, _member_discoveries: member_discoveries, control, members }
    }

    /// Replaces the file of overrides, and has the control process read it.
    fn set_overrides(&self, text: &str) {
        self.folder.write("marks", text);
        self.control.signal(Signal::SIGHUP);
    }

    fn stop(self) {
        self.members.into_iter().for_each(|member| member.process.stop());
        self.control.stop();
    }
}

/// Requests an object from a dispatcher, and returns the status of the answer.
fn request_status(client_address: SocketAddr, object: &str) -> u16 {
    let id = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed) + 1;
    let mut stream = TcpStream::connect(client_address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let head = format!("GET /invoke/pages/{object}?part=0 HTTP/1.1\r\nHost: h\r\nX-Call-Id: {id:016x}\r\n");
    stream.write_all(format!("{head}X-Patience-Ms: 4000\r\nX-Group: 1\r\n\r\n").as_bytes()).unwrap();
    let mut status = String::new();
    BufReader::new(stream).read_line(&mut status).unwrap();
    status.split(' ').nth(1).expect("a status").parse().unwrap()
}

fn now_unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

#[test]
fn a_purge_from_control_reaches_dispatchers_whose_own_discovery_is_silent() {
    let fleet = Fleet::start(4, 1);
    let addresses: Vec<_> = fleet.members.iter().map(|member| member.client_address).collect();
    // An override of an unknown host has no effect. Its replication shows that all members are present.
    fleet.control.wait_for_log(&["control name=\"c0\""]);
    fleet.set_overrides("nobody = draining\n");
    fleet.control.wait_for_log(&["everywhere", "kind=Configuration number=1 "]);
    for address in &addresses {
        assert_eq!(request_status(*address, "7f"), 200);
    }
    let before = fleet.site.hosts["c1"].take_attempts();
    assert!(before.len() == 4 && before.iter().all(|attempt| attempt.max_age_ms.is_none()), "{before:?}");
    fleet.control_discovery.publish(json!({"rev": 2, "flush": {"asset": "7f", "ms": now_unix_ms()}}));
    fleet.control.wait_for_log(&["everywhere", "kind=Purges number=1 "]);
    for address in &addresses {
        assert_eq!(request_status(*address, "7f"), 200);
        assert_eq!(request_status(*address, "8f"), 200);
    }
    let after = fleet.site.hosts["c1"].take_attempts();
    let max_ages_ms: Vec<_> = after.iter().filter_map(|attempt| attempt.max_age_ms).collect();
    assert!(after.len() == 8 && max_ages_ms.len() == 4, "{after:?}");
    assert!(max_ages_ms.iter().all(|max_age_ms| *max_age_ms < 6000.0), "{max_ages_ms:?}");
    fleet.stop();
}

#[test]
fn an_override_drains_a_host_everywhere_and_is_rejected_for_the_last_cache() {
    let fleet = Fleet::start(3, 2);
    fleet.control.wait_for_log(&["control name=\"c0\""]);
    fleet.set_overrides("c1 = draining\n");
    fleet.control.wait_for_log(&["everywhere", "kind=Configuration number=1 "]);
    let hosts = &fleet.site.hosts;
    let count_attempts = || {
        for member in &fleet.members {
            (0..8).for_each(|number| {
                assert_eq!(request_status(member.client_address, &format!("{number:x}f")), 200);
            });
        }
        (hosts["c1"].take_attempts().len(), hosts["c2"].take_attempts().len())
    };
    assert_eq!(count_attempts(), (0, 24));
    // All members reject the override of the last cache and log it; the one published with it takes effect.
    fleet.set_overrides("c1 = draining\nc2 = draining\np9 = gone\n");
    fleet.control.wait_for_log(&["everywhere", "kind=Configuration number=3 "]);
    fleet.members.iter().for_each(|member| member.process.wait_for_log(&["kept apart", "c2", "LastOne"]));
    assert_eq!(count_attempts(), (0, 24));
    fleet.control.wait_for_log(&["not in force everywhere", "LastOne at 3"]);
    // After all overrides are withdrawn, both caches serve.
    fleet.set_overrides("# none\n");
    fleet.control.wait_for_log(&["everywhere", "kind=Configuration number=6 "]);
    let (c1_attempts, c2_attempts) = count_attempts();
    assert!(c1_attempts > 0 && c1_attempts + c2_attempts == 24, "{c1_attempts} {c2_attempts}");
    fleet.control.wait_for_log(&["all members are there"]);
    fleet.stop();
}

#[test]
fn a_member_receives_entries_only_once_the_directory_lists_it() {
    let fleet = Fleet::start(2, 1);
    fleet.control.wait_for_log(&["control name=\"c0\""]);
    fleet.set_overrides("nobody = draining\n");
    fleet.control.wait_for_log(&["everywhere", "kind=Configuration number=1 "]);
    // A third dispatcher that the directory does not list yet serves, but receives nothing.
    let address = free_udp(1).unwrap()[0];
    let text = std::fs::read_to_string(fleet.folder.0.join("d1.ini")).unwrap();
    let lines = text.lines().map(|line| match line.starts_with("listen") {
        true => format!("listen = {address}\n"),
        false => format!("{line}\n"),
    });
    let operator_file = fleet.folder.write("d3.ini", &lines.collect::<String>());
    let text = std::fs::read_to_string(fleet.folder.0.join("d2.json")).unwrap();
    let mut value: Value = serde_json::from_str(&text).unwrap();
    (value["name"], value["listen"]) = (json!("d3"), json!("127.0.0.1:0"));
    let config = fleet.folder.write("d3.json", &value.to_string());
    let third = Process::start(&["serve"], &config, Some(&operator_file));
    third.wait_for_log(&["dissemination listens"]);
    let path = fleet.folder.0.join("members.csv");
    let directory = std::fs::read_to_string(&path).unwrap();
    let third_entry = format!("d3,north,s1,z,{address}\n");
    // A changed directory of the same version is rejected.
    std::fs::write(&path, format!("{directory}{third_entry}")).unwrap();
    fleet.control.signal(Signal::SIGHUP);
    fleet.control.wait_for_log(&["its version has not grown"]);
    std::fs::write(&path, format!("{directory}{third_entry}").replace("version,1", "version,2")).unwrap();
    fleet.control.signal(Signal::SIGHUP);
    fleet.control.wait_for_log(&["directory version=2 members=3"]);
    third.wait_for_log(&["the fleet's marks marks=1"]);
    third.stop();
    fleet.stop();
}

/// Runs `rockflow` with these arguments and this operator's file, whose path is returned with the output. Without a
/// configuration the example is used.
fn run_with_operator_file(
    config: Option<&PathBuf>,
    arguments: &[&str],
    operator_text: &str,
) -> (Output, PathBuf) {
    let folder = Folder::new();
    let path = folder.write("operator.ini", operator_text);
    let example = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/example.json"));
    let mut command = Command::new(env!("CARGO_BIN_EXE_rockflow"));
    command.args(arguments).arg("--config").arg(config.unwrap_or(&example)).arg("--operator").arg(&path);
    (command.env_remove("ROCKFLOW_OPERATOR").output().unwrap(), path)
}

#[test]
fn check_prints_the_listen_address_and_every_error() {
    let (output, _) =
        run_with_operator_file(None, &["check"], &dissemination_section(loopback(7511), loopback(7500)));
    assert!(output.status.success(), "{output:?}");
    assert!(String::from_utf8(output.stdout).unwrap().contains("dissemination: at 127.0.0.1:7511"));
    let invalid =
        dissemination_section(loopback(7511), loopback(7500)).replace("8.7", "0.1").replace("test", "");
    for arguments in [&["check"][..], &["serve"]] {
        let (output, path) = run_with_operator_file(None, arguments, &invalid);
        let errors = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success());
        let path = path.display();
        assert!(
            errors.contains(&format!("{path}:5: [dissemination] purge-seconds: \"0.1\": a number")),
            "{errors}"
        );
        assert!(errors.contains(&format!("{path}:2: [dissemination] fleet: is missing")), "{errors}");
    }
}

#[test]
fn a_purge_window_shorter_than_the_effect_of_a_purge_is_rejected() {
    let short = dissemination_section(loopback(7511), loopback(7500)).replace("8.7", "5.9");
    for arguments in [&["check"][..], &["serve"]] {
        let (output, _) = run_with_operator_file(None, arguments, &short);
        let errors = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success());
        assert!(errors.contains("purge-seconds: 5.9 is shorter than the 6 s that a purge binds"), "{errors}");
    }
}

#[test]
fn control_check_validates_sections_name_address_and_files() {
    let folder = Folder::new();
    let members = folder.write("members.csv", "version,1\nd1,north,s1,z,127.0.0.1:7501\n");
    let control_section = format!("[control]\ndirectory = {}\n", members.display());
    let valid = dissemination_section(loopback(7500), loopback(7500)) + &control_section;
    let check_as_c0 = ["control", "--check", "--name", "c0"];
    let (output, _) = run_with_operator_file(None, &check_as_c0, &valid);
    assert!(output.status.success(), "{output:?}");
    assert!(String::from_utf8(output.stdout).unwrap().contains("c0: ready to control at 127.0.0.1:7500"));
    let beyond_loopback = folder.write("other.csv", "version,1\nd1,north,s1,z,192.0.2.1:7501\n");
    let cases = [
        (
            dissemination_section(loopback(7500), loopback(7500)),
            &check_as_c0[..],
            "needs a section [control]",
        ),
        (control_section.clone(), &check_as_c0, "[control] needs a section [dissemination]"),
        (valid.clone(), &check_as_c0[..2], "control: does not name n0"),
        (
            dissemination_section(loopback(7501), loopback(7500)) + &control_section,
            &check_as_c0,
            "listen: 127.0.0.1:7501 is another address",
        ),
        (valid.replace("members.csv", "none.csv"), &check_as_c0, "none.csv: "),
        (valid.replace("members.csv", "operator.ini"), &check_as_c0, "operator.ini: "),
        (
            dissemination_section(loopback(7500), loopback(7500))
                + &format!("[control]\ndirectory = {}\n", beyond_loopback.display()),
            &check_as_c0,
            "d1: 192.0.2.1:7501 is no address of the loopback",
        ),
    ];
    for (operator_text, arguments, expected) in cases {
        let (output, _) = run_with_operator_file(None, arguments, &operator_text);
        let errors = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success() && errors.contains(expected), "{expected}: {errors}");
    }
}

#[test]
fn without_its_section_dissemination_uses_no_thread_or_descriptor() {
    let folder = Folder::new();
    let discovery = DiscoveryServer::start();
    let mut value: Value = serde_json::from_str(EXAMPLE).unwrap();
    (value["listen"], value["board"]) = (json!("127.0.0.1:0"), json!(discovery.address.to_string()));
    let config = folder.write("plain.json", &value.to_string());
    let operator_file =
        folder.write("with.ini", &dissemination_section(free_udp(1).unwrap()[0], free_udp(1).unwrap()[0]));
    let without_section = Process::start(&["serve"], &config, None);
    let with_section = Process::start(&["serve"], &config, Some(&operator_file));
    for process in [&without_section, &with_section] {
        process.wait_for_log(&["to=Serving"]);
    }
    with_section.wait_for_log(&["dissemination listens"]);
    std::thread::sleep(Duration::from_millis(500));
    let (without, with) = (without_section.resources(), with_section.resources());
    assert!(!without.threads.contains(&"dissemination".to_string()), "{:?}", without.threads);
    assert!(with.threads.contains(&"dissemination".to_string()), "{:?}", with.threads);
    assert_eq!(without.threads.len() + 1, with.threads.len(), "{:?} {:?}", without.threads, with.threads);
    // Dissemination opens a socket, an epoll instance, and the descriptors that wake it.
    let (without, with) = (without.descriptors, with.descriptors);
    assert!(without < with && with <= without + 4, "{without} {with}");
    without_section.stop();
    with_section.stop();
}
