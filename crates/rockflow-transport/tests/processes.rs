//! Tests of a cluster of five processes on loopback, which are killed, paused and restarted with empty memory. Each member
//! is this test program, started again with the environment variable `MEMBER`: it reads the commands of its dispatcher from
//! stdin, one per line, and prints the outputs of its state machine to stdout.

use rockflow_cluster::*;
use rockflow_process_harness::{free_udp, Process, Signal, Start};
use rockflow_transport::cluster::{Command, NodeHandle, NodeOptions};
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::net::SocketAddr;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

const MEMBERS: usize = 5;
/// How long a test waits for an expected output, and the time that every request has.
const TIMEOUT: Duration = Duration::from_secs(20);

fn config() -> ClusterConfig {
    ClusterConfig {
        members: (0..MEMBERS).map(|n| format!("n{n}")).collect(),
        replicas: 3,
        retention: Duration::from_secs(30),
        round_trip: Duration::from_millis(5),
        max_records: 1000,
        max_body_bytes: 64,
    }
}

fn descriptor(kind: EffectKind) -> RequestDescriptor {
    RequestDescriptor { kind, class: 0, object: 1, part: 0, group: 0, size: 0 }
}

fn print_line(line: String) {
    let mut stdout = std::io::stdout().lock();
    writeln!(stdout, "{line}").and_then(|()| stdout.flush()).expect("the parent process reads stdout");
}

/// Prints an output of the member's state machine as one line, in the form that the tests wait for.
fn print_output(output: Output) {
    match output {
        Output::MaySend { request, .. } => print_line(format!("may-send {}", request.0)),
        Output::FinalAnswer { request, answer } => {
            let body = answer.body.map(|body| String::from_utf8(body).unwrap()).unwrap_or_default();
            print_line(format!("final {} {:?} {body}", request.0, answer.outcome));
        }
        Output::OwnedElsewhere { request } => print_line(format!("owned-elsewhere {}", request.0)),
        Output::QuorumUnavailable { request } => print_line(format!("quorum-unavailable {}", request.0)),
        Output::IdInUse { request } => print_line(format!("in-use {}", request.0)),
        Output::TakeOver { request, started_attempts, .. } => {
            print_line(format!("take-over {} {}", request.0, started_attempts.len()))
        }
        Output::MembershipChanged(change) => print_line(format!("changed {change:?}")),
        Output::Send { .. } | Output::IncarnationSuperseded { .. } => {}
    }
}

/// Reads the options of a member from `MEMBER`: its id, its incarnation, `first` or `again`, and the addresses of all
/// members.
fn member_options(spec: &str) -> NodeOptions {
    let fields: Vec<&str> = spec.split(' ').collect();
    let (id, incarnation) = (fields[0].parse().unwrap(), fields[1].parse().unwrap());
    let addresses: Vec<SocketAddr> = fields[3..].iter().map(|address| address.parse().unwrap()).collect();
    let listen = addresses[usize::from(id)];
    NodeOptions {
        config: config(),
        member: MemberId(id),
        addresses,
        listen,
        incarnation: Incarnation(incarnation),
        seed: incarnation,
        is_new_cluster: fields[2] == "first",
    }
}

/// The main function of a member's process. In the test run itself, where `MEMBER` is not set, it does nothing.
#[test]
fn run_member_process() {
    let Ok(spec) = std::env::var("MEMBER") else { return };
    let member = NodeHandle::start(member_options(&spec), print_output).unwrap();
    for line in std::io::stdin().lock().lines() {
        let line = line.unwrap();
        let words: Vec<&str> = line.split(' ').collect();
        let request = RequestId(words.get(1).map_or(0, |id| id.parse().unwrap()));
        let command = match words[0] {
            "request" => {
                let kind = if words[2] == "idempotency-key" {
                    EffectKind::IdempotencyKey
                } else {
                    EffectKind::AtMostOnce
                };
                Command::RequestArrived { request, descriptor: descriptor(kind), left: TIMEOUT }
            }
            "propose" => Command::ProposeAttempt { request, attempt: 0, host: 1 },
            "end" => {
                let body = Some(words[2].as_bytes().to_vec());
                let answer = Answer { outcome: Outcome::Succeeded, tag: None, body };
                Command::RequestEnded { request, kind: EffectKind::AtMostOnce, answer }
            }
            "stop" => Command::ShutDown,
            _ => Command::ReportStatus(Box::new(|status| {
                print_line(format!("present {} {}", status.present.len(), status.is_synchronized))
            })),
        };
        assert!(member.send(command));
    }
}

/// A member's process, as seen by a test.
struct Member {
    process: Process,
    /// Lines that were read from it, but not yet waited for.
    unclaimed_lines: Vec<String>,
}

impl Member {
    fn send_line(&mut self, line: &str) {
        self.process.write_line(line).unwrap();
    }

    /// Tells the member that a client's request arrived.
    fn request(&mut self, request: u128) {
        self.send_line(&format!("request {request} at-most-once"));
    }

    /// Makes the member propose an attempt of the request.
    fn propose(&mut self, request: u128) {
        self.send_line(&format!("propose {request}"));
    }

    fn request_and_propose(&mut self, request: u128) {
        self.request(request);
        self.propose(request);
    }

    /// Waits for a line with this prefix, and returns it.
    fn wait(&mut self, prefix: &str) -> String {
        let deadline = Instant::now() + TIMEOUT;
        if let Some(index) = self.unclaimed_lines.iter().position(|line| line.starts_with(prefix)) {
            return self.unclaimed_lines.remove(index);
        }
        loop {
            match self.process.read_line_timeout(deadline.saturating_duration_since(Instant::now())) {
                Ok(line) if line.starts_with(prefix) => return line,
                Ok(line) => self.unclaimed_lines.push(line),
                Err(error) => panic!("no line {prefix:?}: {error}; other lines: {:?}", self.unclaimed_lines),
            }
        }
    }

    /// Whether a line with this prefix has arrived by now.
    fn has(&mut self, prefix: &str) -> bool {
        loop {
            match self.process.try_read_line() {
                Ok(line) => self.unclaimed_lines.push(line),
                Err(_) => return self.unclaimed_lines.iter().any(|line| line.starts_with(prefix)),
            }
        }
    }

    fn signal(&self, signal: Signal) {
        self.process.signal(signal).unwrap();
    }

    /// Waits until this many members are present, and this one has recovered its records.
    fn wait_until_settled(&mut self, present: usize) {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            self.send_line("status");
            if self.wait("present ") == format!("present {present} true") {
                return;
            }
            assert!(Instant::now() < deadline, "{:?}", self.unclaimed_lines);
            match self.process.read_line_timeout(Duration::from_millis(50)) {
                Ok(line) => self.unclaimed_lines.push(line),
                Err(RecvTimeoutError::Timeout) => {}
                Err(error) => panic!("{error}"),
            }
        }
    }
}

/// Held by each test, so that one cluster runs at a time: otherwise another test could take a port between its choice and
/// the start of the member that uses it.
static CLUSTER_LOCK: Mutex<()> = Mutex::new(());

struct TestCluster {
    _lock: MutexGuard<'static, ()>,
    addresses: Vec<SocketAddr>,
    members: BTreeMap<usize, Member>,
}

impl TestCluster {
    fn start() -> TestCluster {
        let lock = CLUSTER_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let addresses = free_udp(MEMBERS).unwrap();
        let mut cluster = TestCluster { _lock: lock, addresses, members: BTreeMap::new() };
        (0..MEMBERS).for_each(|id| cluster.start_member(id, 1, true));
        (0..MEMBERS).for_each(|id| cluster.member(id).wait_until_settled(MEMBERS));
        cluster
    }

    fn start_member(&mut self, id: usize, incarnation: u64, is_new_cluster: bool) {
        let addresses: Vec<_> = self.addresses.iter().map(ToString::to_string).collect();
        let first = if is_new_cluster { "first" } else { "again" };
        let process = Start::of(std::env::current_exe().unwrap())
            .args(["--exact", "run_member_process", "--nocapture"])
            .env("MEMBER", format!("{id} {incarnation} {first} {}", addresses.join(" ")))
            .with_pipes()
            .start()
            .unwrap();
        self.members.insert(id, Member { process, unclaimed_lines: Vec::new() });
    }

    fn member(&mut self, id: usize) -> &mut Member {
        self.members.get_mut(&id).unwrap()
    }

    fn kill(&mut self, id: usize) {
        self.members.remove(&id).unwrap().process.kill();
    }
}

/// All members: first the replicas of a request, in their order, then the others.
fn members_by_rank(request: u128) -> Vec<usize> {
    let mut ids: Vec<usize> =
        config().replicas_of(RequestId(request)).iter().map(|id| usize::from(id.0)).collect();
    let others: Vec<_> = (0..MEMBERS).filter(|id| !ids.contains(id)).collect();
    ids.extend(others);
    ids
}

#[test]
fn attempt_that_may_have_executed_is_never_repeated() {
    let mut cluster = TestCluster::start();
    let request = 11;
    let ranked = members_by_rank(request);
    // The owner is also a replica, so that its loss leaves the fewest replicas.
    let (owner, other) = (ranked[0], ranked[4]);
    cluster.member(owner).request_and_propose(request);
    cluster.member(owner).wait(&format!("may-send {request}"));
    cluster.kill(owner);
    // The client retries before any member has detected the loss.
    cluster.member(other).request_and_propose(request);
    let line = cluster.member(other).wait(&format!("final {request}"));
    assert_eq!(line, format!("final {request} Failed "));
    // A retry at another member after the request has ended gets the same answer.
    cluster.member(ranked[3]).request_and_propose(request);
    assert_eq!(cluster.member(ranked[3]).wait(&format!("final {request}")), line);
    for id in 0..MEMBERS {
        assert!(id == owner || !cluster.member(id).has(&format!("may-send {request}")), "n{id}");
    }
}

#[test]
fn unstarted_request_of_a_killed_owner_runs_once_at_the_retry() {
    let mut cluster = TestCluster::start();
    let request = 12;
    let ranked = members_by_rank(request);
    cluster.member(ranked[4]).request(request);
    cluster.kill(ranked[4]);
    cluster.member(ranked[3]).request_and_propose(request);
    cluster.member(ranked[3]).wait(&format!("may-send {request}"));
    cluster.member(ranked[3]).send_line(&format!("end {request} done"));
    assert_eq!(
        cluster.member(ranked[3]).wait(&format!("final {request}")),
        format!("final {request} Succeeded done")
    );
}

#[test]
fn request_at_two_dispatchers_runs_once_and_both_get_the_answer() {
    let mut cluster = TestCluster::start();
    for request in 20..30 {
        let ranked = members_by_rank(request);
        let dispatchers = [ranked[3], ranked[4]];
        for id in dispatchers {
            cluster.member(id).request_and_propose(request);
        }
        // The dispatcher that may send the attempt ends the request; the other one gets its answer.
        let deadline = Instant::now() + TIMEOUT;
        let permitted = loop {
            let permitted: Vec<_> = dispatchers
                .into_iter()
                .filter(|id| cluster.member(*id).has(&format!("may-send {request}")))
                .collect();
            if !permitted.is_empty() {
                break permitted;
            }
            assert!(Instant::now() < deadline, "request {request}: no dispatcher may send an attempt");
            std::thread::yield_now();
        };
        assert_eq!(permitted.len(), 1, "request {request}");
        let owner = permitted[0];
        cluster.member(owner).send_line(&format!("end {request} by-{owner}"));
        for id in dispatchers {
            let line = cluster.member(id).wait(&format!("final {request}"));
            assert_eq!(line, format!("final {request} Succeeded by-{owner}"), "request {request} at n{id}");
        }
    }
}

#[test]
fn owner_that_resumes_after_a_long_pause_gives_no_second_answer() {
    let mut cluster = TestCluster::start();
    let request = 13;
    let ranked = members_by_rank(request);
    let owner = ranked[4];
    cluster.member(owner).request_and_propose(request);
    cluster.member(owner).wait(&format!("may-send {request}"));
    cluster.member(owner).signal(Signal::SIGSTOP);
    // The pause exceeds the suspicion timeout: the request's first replica declares the owner lost and takes over.
    cluster.member(ranked[0]).wait("changed Lost");
    cluster.member(ranked[3]).request_and_propose(request);
    let line = cluster.member(ranked[3]).wait(&format!("final {request}"));
    assert_eq!(line, format!("final {request} Failed "));
    // The owner resumes, and its host's answer arrives late.
    cluster.member(owner).signal(Signal::SIGCONT);
    cluster.member(owner).send_line(&format!("end {request} late"));
    cluster.member(owner).wait_until_settled(MEMBERS);
    assert!(!cluster.member(owner).has(&format!("final {request} Succeeded")));
    cluster.member(ranked[2]).request_and_propose(request);
    assert_eq!(cluster.member(ranked[2]).wait(&format!("final {request}")), line);
}

#[test]
fn rolling_restart_loses_no_record() {
    let mut cluster = TestCluster::start();
    let request = 14;
    let ranked = members_by_rank(request);
    cluster.member(ranked[4]).request_and_propose(request);
    cluster.member(ranked[4]).wait(&format!("may-send {request}"));
    cluster.member(ranked[4]).send_line(&format!("end {request} once"));
    let line = cluster.member(ranked[4]).wait(&format!("final {request}"));
    for id in 0..MEMBERS {
        cluster.kill(id);
        cluster.start_member(id, 2, false);
        cluster.member(id).wait_until_settled(MEMBERS);
    }
    cluster.member(ranked[3]).request_and_propose(request);
    assert_eq!(cluster.member(ranked[3]).wait(&format!("final {request}")), line);
}

#[test]
fn graceful_shutdown_hands_over_open_requests() {
    let mut cluster = TestCluster::start();
    let (unstarted, started) = (15, 16);
    // A member that is a replica of neither request.
    let owner = (0..MEMBERS).find(|id| {
        !members_by_rank(unstarted)[..3].contains(id) && !members_by_rank(started)[..3].contains(id)
    });
    let owner = owner.expect("a member that is a replica of neither request");
    for request in [unstarted, started] {
        cluster.member(owner).request(request);
    }
    cluster.member(owner).propose(started);
    cluster.member(owner).wait(&format!("may-send {started}"));
    cluster.member(owner).send_line("stop");
    // The request without an attempt may run at another member; the one that may have executed fails there.
    cluster.member(members_by_rank(unstarted)[0]).wait(&format!("take-over {unstarted} 0"));
    for id in (0..MEMBERS).filter(|id| *id != owner) {
        cluster.member(id).wait("changed Lost");
    }
    let other = members_by_rank(started).into_iter().rev().find(|id| *id != owner).expect("another member");
    cluster.member(other).request_and_propose(started);
    assert_eq!(cluster.member(other).wait(&format!("final {started}")), format!("final {started} Failed "));
}
