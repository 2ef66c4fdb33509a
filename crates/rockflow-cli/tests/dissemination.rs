//! Real processes on loopback: a control process and dispatchers, by the operator's file.

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
const PATIENCE: Duration = Duration::from_secs(20);
static NEXT: AtomicU64 = AtomicU64::new(0);

/// A folder of one test's files.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Folder {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
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

/// A process, whose log is beside its configuration.
struct Process(rockflow_process_harness::Process);

impl Process {
    fn start(arguments: &[&str], config: &Path, operator: Option<&PathBuf>) -> Process {
        let log = config.with_extension(format!("{}.log", NEXT.fetch_add(1, Ordering::Relaxed)));
        let start = Start::of(env!("CARGO_BIN_EXE_rockflow")).args(arguments).arg("--config").arg(config);
        let mut start = start.env_remove("ROCKFLOW_OPERATOR").log(log);
        if let Some(path) = operator {
            start = start.arg("--operator").arg(path);
        }
        Process(start.start().unwrap())
    }

    /// Waits till the log holds a line with all of these words.
    fn says(&self, words: &[&str]) {
        let holds = |line: &str| words.iter().all(|word| line.contains(word));
        assert!(wait_until(PATIENCE, || self.0.log().lines().any(holds)), "{words:?} in {}", self.0.log());
    }

    fn signal(&self, signal: Signal) {
        self.0.signal(signal).unwrap();
    }

    fn stop(mut self) {
        self.signal(Signal::SIGTERM);
        assert!(self.0.wait().unwrap().success(), "{}", self.0.log());
    }

    /// Threads and descriptors by what they are, resident kilobytes.
    fn held(&self) -> (Vec<String>, usize, usize) {
        let mut names = thread_names(self.0.id());
        names.sort();
        let usage = self.0.usage().unwrap();
        (names, usage.descriptors, usage.rss_kb as usize)
    }
}

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn section(listen: SocketAddr, control: SocketAddr) -> String {
    format!(
        "[dissemination]\nfleet = test\nlisten = {listen}\ncontrol = c0@{control}\n\
         purge-seconds = 8.7\npulse-ms = 100\n"
    )
}

/// One control process and dispatchers d1, d2, ... of one region, each with a board of its own that says nothing.
struct Fleet {
    folder: Folder,
    site: Site,
    control_board: DiscoveryServer,
    _boards: Vec<DiscoveryServer>,
    control: Process,
    members: Vec<(Process, SocketAddr)>,
}

impl Fleet {
    fn start(count: usize, caches: usize) -> Fleet {
        let folder = Folder::new();
        let site = Site::start(caches, 1, Duration::ZERO);
        let (control_board, ports) = (DiscoveryServer::start(), free_udp(count + 1).unwrap());
        let mut directory = "version,1\n".to_string();
        let mut boards = Vec::new();
        let members = (1..=count).map(|number| {
            let name = format!("d{number}");
            directory += &format!("{name},north,s{},z,{}\n", number % 2, ports[number]);
            boards.push(DiscoveryServer::start());
            let front = free_tcp().unwrap();
            let mut value = site.configuration_json(EXAMPLE);
            value["name"] = json!(name);
            value["board"] = json!(boards[number - 1].address.to_string());
            value["listen"] = json!(front.to_string());
            let config = folder.write(&format!("{name}.json"), &value.to_string());
            let operator = folder.write(&format!("{name}.ini"), &section(ports[number], ports[0]));
            (Process::start(&["serve"], &config, Some(&operator)), front)
        });
        let members: Vec<_> = members.collect();
        folder.write("members.csv", &directory);
        folder.write("marks", "# none\n");
        let at = folder.0.display();
        let control = format!("\n[control]\ndirectory = {at}/members.csv\nmarks = {at}/marks\n");
        let operator = folder.write("c0.ini", &(section(ports[0], ports[0]) + &control));
        let mut value = site.configuration_json(EXAMPLE);
        value["name"] = json!("c0");
        value["board"] = json!(control_board.address.to_string());
        let config = folder.write("c0.json", &value.to_string());
        let control = Process::start(&["control"], &config, Some(&operator));
        Fleet { folder, site, control_board, _boards: boards, control, members }
    }

    fn marks(&self, text: &str) {
        self.folder.write("marks", text);
        self.control.signal(Signal::SIGHUP);
    }

    fn stop(self) {
        self.members.into_iter().for_each(|(member, _)| member.stop());
        self.control.stop();
    }
}

/// Asks a dispatcher and waits for its answer.
fn ask(front: SocketAddr, object: &str) -> u16 {
    let id = NEXT.fetch_add(1, Ordering::Relaxed) + 1;
    let mut stream = TcpStream::connect(front).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    let head = format!("GET /invoke/pages/{object}?part=0 HTTP/1.1\r\nHost: h\r\nX-Call-Id: {id:016x}\r\n");
    stream.write_all(format!("{head}X-Patience-Ms: 4000\r\nX-Group: 1\r\n\r\n").as_bytes()).unwrap();
    let mut status = String::new();
    BufReader::new(stream).read_line(&mut status).unwrap();
    status.split(' ').nth(1).expect("a status").parse().unwrap()
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

#[test]
fn a_purge_from_control_reaches_dispatchers_whose_own_discovery_is_silent() {
    let fleet = Fleet::start(4, 1);
    let fronts: Vec<_> = fleet.members.iter().map(|(_, front)| *front).collect();
    // A mark without effect shows that all are there.
    fleet.control.says(&["control name=\"c0\""]);
    fleet.marks("nobody = draining\n");
    fleet.control.says(&["everywhere", "kind=Configuration number=1 "]);
    for front in &fronts {
        assert_eq!(ask(*front, "7f"), 200);
    }
    let before = fleet.site.hosts["c1"].take_attempts();
    assert!(before.len() == 4 && before.iter().all(|came| came.max_age_ms.is_none()), "{before:?}");
    fleet.control_board.publish(json!({"rev": 2, "flush": {"asset": "7f", "ms": unix_ms()}}));
    fleet.control.says(&["everywhere", "kind=Purges number=1 "]);
    for front in &fronts {
        assert_eq!(ask(*front, "7f"), 200);
        assert_eq!(ask(*front, "8f"), 200);
    }
    let after = fleet.site.hosts["c1"].take_attempts();
    let bound: Vec<_> = after.iter().filter_map(|came| came.max_age_ms).collect();
    assert!(after.len() == 8 && bound.len() == 4, "{after:?}");
    assert!(bound.iter().all(|oldest| *oldest < 6000.0), "{bound:?}");
    fleet.stop();
}

#[test]
fn an_override_drains_a_host_everywhere_and_is_rejected_for_the_last_cache() {
    let fleet = Fleet::start(3, 2);
    fleet.control.says(&["control name=\"c0\""]);
    fleet.marks("c1 = draining\n");
    fleet.control.says(&["everywhere", "kind=Configuration number=1 "]);
    let hosts = &fleet.site.hosts;
    let ask_all = || {
        for (_, front) in &fleet.members {
            (0..8).for_each(|n| assert_eq!(ask(*front, &format!("{n:x}f")), 200));
        }
        (hosts["c1"].take_attempts().len(), hosts["c2"].take_attempts().len())
    };
    assert_eq!(ask_all(), (0, 24));
    // Refused by all, and said so; what came with it is in force.
    fleet.marks("c1 = draining\nc2 = draining\np9 = gone\n");
    fleet.control.says(&["everywhere", "kind=Configuration number=3 "]);
    fleet.members.iter().for_each(|(member, _)| member.says(&["kept apart", "c2", "LastOne"]));
    assert_eq!(ask_all(), (0, 24));
    fleet.control.says(&["not in force everywhere", "LastOne at 3"]);
    // Taken back, both serve.
    fleet.marks("# none\n");
    fleet.control.says(&["everywhere", "kind=Configuration number=6 "]);
    let (c1, c2) = ask_all();
    assert!(c1 > 0 && c1 + c2 == 24, "{c1} {c2}");
    fleet.control.says(&["all members are there"]);
    fleet.stop();
}

#[test]
fn a_member_receives_entries_only_once_the_directory_lists_it() {
    let fleet = Fleet::start(2, 1);
    fleet.control.says(&["control name=\"c0\""]);
    fleet.marks("nobody = draining\n");
    fleet.control.says(&["everywhere", "kind=Configuration number=1 "]);
    // One more, of which control is not told yet: it serves, and hears nothing.
    let own = free_udp(1).unwrap()[0];
    let text = std::fs::read_to_string(fleet.folder.0.join("d1.ini")).unwrap();
    let lines = text.lines().map(|line| match line.starts_with("listen") {
        true => format!("listen = {own}\n"),
        false => format!("{line}\n"),
    });
    let operator = fleet.folder.write("d3.ini", &lines.collect::<String>());
    let text = std::fs::read_to_string(fleet.folder.0.join("d2.json")).unwrap();
    let mut value: Value = serde_json::from_str(&text).unwrap();
    (value["name"], value["listen"]) = (json!("d3"), json!("127.0.0.1:0"));
    let config = fleet.folder.write("d3.json", &value.to_string());
    let third = Process::start(&["serve"], &config, Some(&operator));
    third.says(&["dissemination listens"]);
    let path = fleet.folder.0.join("members.csv");
    let directory = std::fs::read_to_string(&path).unwrap();
    let more = format!("d3,north,s1,z,{own}\n");
    // The same version is not taken.
    std::fs::write(&path, format!("{directory}{more}")).unwrap();
    fleet.control.signal(Signal::SIGHUP);
    fleet.control.says(&["its version has not grown"]);
    std::fs::write(&path, format!("{directory}{more}").replace("version,1", "version,2")).unwrap();
    fleet.control.signal(Signal::SIGHUP);
    fleet.control.says(&["directory version=2 members=3"]);
    third.says(&["the fleet's marks marks=1"]);
    third.stop();
    fleet.stop();
}

fn check(config: Option<&PathBuf>, arguments: &[&str], text: &str) -> (Output, PathBuf) {
    let folder = Folder::new();
    let path = folder.write("operator.ini", text);
    let example = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/example.json"));
    let mut command = Command::new(env!("CARGO_BIN_EXE_rockflow"));
    command.args(arguments).arg("--config").arg(config.unwrap_or(&example)).arg("--operator").arg(&path);
    (command.env_remove("ROCKFLOW_OPERATOR").output().unwrap(), path)
}

#[test]
fn check_prints_the_listen_address_and_every_error() {
    let (output, _) = check(None, &["check"], &section(at(7511), at(7500)));
    assert!(output.status.success(), "{output:?}");
    assert!(String::from_utf8(output.stdout).unwrap().contains("dissemination: at 127.0.0.1:7511"));
    let bad = section(at(7511), at(7500)).replace("8.7", "0.1").replace("test", "");
    for arguments in [&["check"][..], &["serve"]] {
        let (output, path) = check(None, arguments, &bad);
        let told = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success());
        let at = path.display();
        assert!(
            told.contains(&format!("{at}:5: [dissemination] purge-seconds: \"0.1\": a number")),
            "{told}"
        );
        assert!(told.contains(&format!("{at}:2: [dissemination] fleet: is missing")), "{told}");
    }
}

#[test]
fn a_purge_window_shorter_than_the_effect_of_a_purge_is_rejected() {
    let short = section(at(7511), at(7500)).replace("8.7", "5.9");
    for arguments in [&["check"][..], &["serve"]] {
        let (output, _) = check(None, arguments, &short);
        let told = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success());
        assert!(told.contains("purge-seconds: 5.9 is shorter than the 6 s that a purge binds"), "{told}");
    }
}

#[test]
fn control_check_validates_sections_name_address_and_files() {
    let folder = Folder::new();
    let members = folder.write("members.csv", "version,1\nd1,north,s1,z,127.0.0.1:7501\n");
    let control = format!("[control]\ndirectory = {}\n", members.display());
    let whole = section(at(7500), at(7500)) + &control;
    let run = ["control", "--check", "--name", "c0"];
    let (output, _) = check(None, &run, &whole);
    assert!(output.status.success(), "{output:?}");
    assert!(String::from_utf8(output.stdout).unwrap().contains("c0: ready to control at 127.0.0.1:7500"));
    let other = folder.write("other.csv", "version,1\nd1,north,s1,z,192.0.2.1:7501\n");
    let faults = [
        (section(at(7500), at(7500)), &run[..], "needs a section [control]"),
        (control.clone(), &run, "[control] needs a section [dissemination]"),
        (whole.clone(), &run[..2], "control: does not name n0"),
        (section(at(7501), at(7500)) + &control, &run, "listen: 127.0.0.1:7501 is another address"),
        (whole.replace("members.csv", "none.csv"), &run, "none.csv: "),
        (whole.replace("members.csv", "operator.ini"), &run, "operator.ini: "),
        (
            section(at(7500), at(7500)) + &format!("[control]\ndirectory = {}\n", other.display()),
            &run,
            "d1: 192.0.2.1:7501 is no address of the loopback",
        ),
    ];
    for (text, arguments, wanted) in faults {
        let (output, _) = check(None, arguments, &text);
        let told = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success() && told.contains(wanted), "{wanted}: {told}");
    }
}

/// Without the section nothing of it is there.
#[test]
fn without_its_section_dissemination_uses_no_thread_or_descriptor() {
    let folder = Folder::new();
    let board = DiscoveryServer::start();
    let mut value: Value = serde_json::from_str(EXAMPLE).unwrap();
    (value["listen"], value["board"]) = (json!("127.0.0.1:0"), json!(board.address.to_string()));
    let config = folder.write("plain.json", &value.to_string());
    let operator = folder.write("with.ini", &section(free_udp(1).unwrap()[0], free_udp(1).unwrap()[0]));
    let (plain, with) =
        (Process::start(&["serve"], &config, None), Process::start(&["serve"], &config, Some(&operator)));
    for process in [&plain, &with] {
        process.says(&["to=Serving"]);
    }
    with.says(&["dissemination listens"]);
    std::thread::sleep(Duration::from_millis(500));
    let ((names, open, _), (more_names, more_open, _)) = (plain.held(), with.held());
    assert!(!names.contains(&"dissemination".to_string()), "{names:?}");
    assert!(more_names.contains(&"dissemination".to_string()), "{more_names:?}");
    assert_eq!(names.len() + 1, more_names.len(), "{names:?} {more_names:?}");
    // A socket, an epoll, and what wakes it.
    assert!(open < more_open && more_open <= open + 4, "{open} {more_open}");
    plain.stop();
    with.stop();
}
