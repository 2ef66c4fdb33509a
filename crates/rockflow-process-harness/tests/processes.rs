//! Starts processes and checks their lines, logs, signals and resource usage, and the choice of free ports.

use rockflow_process_harness::{
    cpu_time_of_threads, free_tcp, free_udp, processor_waits, thread_names, wait_until, Signal, Start, Usage,
};
use std::collections::BTreeSet;
use std::net::{SocketAddr, UdpSocket};
use std::os::unix::process::ExitStatusExt;
use std::time::Duration;

/// Time limit for a condition that is expected to hold soon.
const TIMEOUT: Duration = Duration::from_secs(10);

/// The state letter of a process in `/proc/ID/stat`; `T` is a stopped process.
fn state(id: u32) -> Option<char> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    stat.rsplit_once(") ")?.1.chars().next()
}

#[test]
fn writes_and_reads_lines() {
    let mut cat = Start::of("cat").with_pipes().start().unwrap();
    cat.write_line("a line").unwrap();
    assert_eq!(cat.read_line_timeout(TIMEOUT).unwrap(), "a line");
    assert!(cat.try_read_line().is_err());
}

#[test]
fn appends_to_log_of_earlier_process() {
    let path = std::env::temp_dir().join(format!("rockflow-processes-log-{}", std::process::id()));
    let run_and_log = |word: &str| {
        let start = Start::of("sh").args(["-c", &format!("echo {word} >&2; exit 3")]).log(&path);
        let mut process = start.start().unwrap();
        assert_eq!(process.wait_timeout(TIMEOUT).unwrap().code(), Some(3));
        assert_eq!(process.usage(), None);
        process.log()
    };
    assert_eq!(
        (run_and_log("first"), run_and_log("second")),
        ("first\n".to_string(), "first\nsecond\n".to_string())
    );
    std::fs::remove_file(path).unwrap();
}

#[test]
fn signals_stop_resume_and_end_process() {
    let mut cat = Start::of("cat").with_pipes().start().unwrap();
    let id = cat.id();
    cat.signal(Signal::SIGSTOP).unwrap();
    assert!(wait_until(TIMEOUT, || state(id) == Some('T')));
    cat.signal(Signal::SIGCONT).unwrap();
    assert!(wait_until(TIMEOUT, || state(id) != Some('T')));
    cat.signal(Signal::SIGTERM).unwrap();
    assert_eq!(cat.wait().unwrap().signal(), Some(Signal::SIGTERM as i32));
    assert!(cat.signal(Signal::SIGTERM).is_err());
}

#[test]
fn dropping_handle_kills_stopped_process() {
    let cat = Start::of("cat").with_pipes().start().unwrap();
    let id = cat.id();
    cat.signal(Signal::SIGSTOP).unwrap();
    drop(cat);
    assert_eq!(Usage::of(id), None);
}

#[test]
fn reports_resource_usage() {
    let busy = Start::of("sh").args(["-c", "while :; do :; done"]).start().unwrap();
    assert!(wait_until(TIMEOUT, || busy
        .usage()
        .is_some_and(|usage| usage.cpu_time >= Duration::from_millis(50))));
    let usage = busy.usage().unwrap();
    assert!(usage.rss_kb > 0 && usage.max_rss_kb >= usage.rss_kb && usage.threads == 1, "{usage:?}");
    assert!(usage.descriptors >= 3, "{usage:?}");
    assert!(cpu_time_of_threads(busy.id(), "sh").unwrap() >= usage.cpu_time);
    assert_eq!(cpu_time_of_threads(busy.id(), "other"), None);
    assert_eq!(thread_names(busy.id()), ["sh"]);
}

#[test]
fn reports_waits_for_processors() {
    let count = std::thread::available_parallelism().unwrap().get() + 1;
    let start_busy = |_| Start::of("sh").args(["-c", "while :; do :; done"]).start().unwrap();
    let busy: Vec<_> = (0..count).map(start_busy).collect();
    let waits = || busy.iter().flat_map(|process| processor_waits(process.id()).into_values());
    assert!(wait_until(TIMEOUT, || waits().sum::<Duration>() >= Duration::from_millis(50)));
    assert!(processor_waits(u32::MAX).is_empty());
}

#[test]
fn never_chooses_port_twice() {
    let ports = free_udp(100).unwrap();
    assert_eq!(ports.iter().collect::<BTreeSet<_>>().len(), 100);
    // Ports that are chosen one after another: each one is unbound again before the next is chosen.
    let mut all_ports: BTreeSet<_> = (0..2000).map(|_| free_tcp().unwrap()).collect();
    all_ports.extend(&ports);
    assert_eq!(all_ports.len(), 2100);
    // The address differs from 127.0.0.1, at which the system assigns ports to other processes.
    let assigned_by_system: Vec<_> =
        (0..100).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap()).collect();
    let is_assigned_by_system =
        |chosen: &SocketAddr| assigned_by_system.iter().any(|other| other.ip() == chosen.ip());
    assert!(ports.iter().all(|chosen| chosen.ip().is_loopback() && !is_assigned_by_system(chosen)));
}
