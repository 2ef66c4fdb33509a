//! Five real processes on loopback, killed, paused and restarted with empty memory. This program is the members too:
//! started again with `MEMBER` set, it runs one, takes its dispatcher's commands as lines and prints what comes of them.

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
const PATIENCE: Duration = Duration::from_secs(20);

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

fn print(line: String) {
    let mut out = std::io::stdout().lock();
    writeln!(out, "{line}").and_then(|()| out.flush()).expect("the parent reads");
}

/// What a member's process does; only that of a child. It is a test to the runner, and nothing without `MEMBER`.
#[test]
fn member() {
    let Ok(spec) = std::env::var("MEMBER") else { return };
    let commands: Vec<&str> = spec.split(' ').collect();
    let (me, incarnation, first) =
        (commands[0].parse().unwrap(), commands[1].parse().unwrap(), commands[2] == "first");
    let addresses: Vec<SocketAddr> = commands[3..].iter().map(|command| command.parse().unwrap()).collect();
    let listen = addresses[usize::from(me)];
    let plan = NodeOptions {
        config: config(),
        member: MemberId(me),
        addresses,
        listen,
        incarnation: Incarnation(incarnation),
        seed: incarnation,
        is_new_cluster: first,
    };
    let heard = |out: Output| match out {
        Output::MaySend { request, .. } => print(format!("may-send {}", request.0)),
        Output::FinalAnswer { request, answer } => {
            let body = answer.body.map(|body| String::from_utf8(body).unwrap()).unwrap_or_default();
            print(format!("final {} {:?} {body}", request.0, answer.outcome));
        }
        Output::OwnedElsewhere { request } => print(format!("owned-elsewhere {}", request.0)),
        Output::QuorumUnavailable { request } => print(format!("quorum-unavailable {}", request.0)),
        Output::IdInUse { request } => print(format!("in-use {}", request.0)),
        Output::TakeOver { request, started_attempts, .. } => {
            print(format!("take-over {} {}", request.0, started_attempts.len()))
        }
        Output::MembershipChanged(change) => print(format!("changed {change:?}")),
        Output::Send { .. } | Output::IncarnationSuperseded { .. } => {}
    };
    let link = NodeHandle::start(plan, heard).unwrap();
    for line in std::io::stdin().lock().lines() {
        let line = line.unwrap();
        let commands: Vec<&str> = line.split(' ').collect();
        let request = RequestId(commands.get(1).map_or(0, |command| command.parse().unwrap()));
        let command = match commands[0] {
            "request" => {
                let kind = if commands[2] == "idempotency-key" {
                    EffectKind::IdempotencyKey
                } else {
                    EffectKind::AtMostOnce
                };
                Command::RequestArrived { request, descriptor: descriptor(kind), left: PATIENCE }
            }
            "propose" => Command::ProposeAttempt { request, attempt: 0, host: 1 },
            "end" => {
                let body = Some(commands[2].as_bytes().to_vec());
                let answer = Answer { outcome: Outcome::Succeeded, tag: None, body };
                Command::RequestEnded { request, kind: EffectKind::AtMostOnce, answer }
            }
            "stop" => Command::ShutDown,
            _ => Command::ReportStatus(Box::new(|status_report| {
                print(format!("present {} {}", status_report.present.len(), status_report.is_synchronized))
            })),
        };
        assert!(link.send(command));
    }
}

struct Member {
    process: Process,
    seen: Vec<String>,
}

impl Member {
    fn send_line(&mut self, line: &str) {
        self.process.write_line(line).unwrap();
    }

    /// A client's request arrives.
    fn request(&mut self, request: u128) {
        self.send_line(&format!("request {request} at-most-once"));
    }

    /// It proposes an attempt of the request.
    fn propose(&mut self, request: u128) {
        self.send_line(&format!("propose {request}"));
    }

    fn request_and_propose(&mut self, request: u128) {
        self.request(request);
        self.propose(request);
    }

    /// Reads up to a line that begins so, and returns it.
    fn wait(&mut self, begins: &str) -> String {
        let end = Instant::now() + PATIENCE;
        if let Some(at) = self.seen.iter().position(|line| line.starts_with(begins)) {
            return self.seen.remove(at);
        }
        loop {
            match self.process.read_line_timeout(end.saturating_duration_since(Instant::now())) {
                Ok(line) if line.starts_with(begins) => return line,
                Ok(line) => self.seen.push(line),
                Err(what) => panic!("no {begins:?}: {what}; came: {:?}", self.seen),
            }
        }
    }

    /// Whether a line that begins so has arrived by now.
    fn has(&mut self, begins: &str) -> bool {
        loop {
            match self.process.try_read_line() {
                Ok(line) => self.seen.push(line),
                Err(_) => return self.seen.iter().any(|line| line.starts_with(begins)),
            }
        }
    }

    fn signal(&self, signal: Signal) {
        self.process.signal(signal).unwrap();
    }

    /// Until that many members are present, and it has recovered its records.
    fn wait_until_settled(&mut self, present: usize) {
        let end = Instant::now() + PATIENCE;
        loop {
            self.send_line("status");
            if self.wait("present ") == format!("present {present} true") {
                return;
            }
            assert!(Instant::now() < end, "{:?}", self.seen);
            match self.process.read_line_timeout(Duration::from_millis(50)) {
                Ok(line) => self.seen.push(line),
                Err(RecvTimeoutError::Timeout) => {}
                Err(what) => panic!("{what}"),
            }
        }
    }
}

/// One cluster at a time: between the choice of a port and the start of its member nobody else may take it.
static ALONE: Mutex<()> = Mutex::new(());

struct TestCluster {
    _alone: MutexGuard<'static, ()>,
    addresses: Vec<SocketAddr>,
    members: BTreeMap<usize, Member>,
}

impl TestCluster {
    fn start() -> TestCluster {
        let alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
        let addresses = free_udp(MEMBERS).unwrap();
        let mut cluster = TestCluster { _alone: alone, addresses, members: BTreeMap::new() };
        (0..MEMBERS).for_each(|at| cluster.member(at, 1, true));
        (0..MEMBERS).for_each(|at| cluster.on(at).wait_until_settled(MEMBERS));
        cluster
    }

    fn member(&mut self, at: usize, incarnation: u64, first: bool) {
        let addresses: Vec<_> = self.addresses.iter().map(ToString::to_string).collect();
        let first = if first { "first" } else { "again" };
        let process = Start::of(std::env::current_exe().unwrap())
            .args(["--exact", "member", "--nocapture"])
            .env("MEMBER", format!("{at} {incarnation} {first} {}", addresses.join(" ")))
            .with_pipes()
            .start()
            .unwrap();
        self.members.insert(at, Member { process, seen: Vec::new() });
    }

    fn on(&mut self, at: usize) -> &mut Member {
        self.members.get_mut(&at).unwrap()
    }

    fn kill(&mut self, at: usize) {
        self.members.remove(&at).unwrap().process.kill();
    }
}

/// The members in the order of a request's replicas, then the others.
fn ranked(request: u128) -> Vec<usize> {
    let mut ids: Vec<usize> =
        config().replicas_of(RequestId(request)).iter().map(|id| usize::from(id.0)).collect();
    let others: Vec<_> = (0..MEMBERS).filter(|at| !ids.contains(at)).collect();
    ids.extend(others);
    ids
}

#[test]
fn attempt_that_may_have_executed_is_never_repeated() {
    let mut cluster = TestCluster::start();
    let request = 11;
    let rank = ranked(request);
    // The owner is a replica of the request too: the case with the fewest replicas left.
    let (owner, other) = (rank[0], rank[4]);
    cluster.on(owner).request_and_propose(request);
    cluster.on(owner).wait(&format!("may-send {request}"));
    cluster.kill(owner);
    // Asked again before anybody has noticed the loss.
    cluster.on(other).request_and_propose(request);
    let line = cluster.on(other).wait(&format!("final {request}"));
    assert_eq!(line, format!("final {request} Failed "));
    // And a third time, elsewhere, after the end: the same answer.
    cluster.on(rank[3]).request_and_propose(request);
    assert_eq!(cluster.on(rank[3]).wait(&format!("final {request}")), line);
    for at in 0..MEMBERS {
        assert!(at == owner || !cluster.on(at).has(&format!("may-send {request}")), "n{at}");
    }
}

#[test]
fn unstarted_request_runs_once_where_the_client_asks_again() {
    let mut cluster = TestCluster::start();
    let request = 12;
    let rank = ranked(request);
    cluster.on(rank[4]).request(request);
    cluster.kill(rank[4]);
    cluster.on(rank[3]).request_and_propose(request);
    cluster.on(rank[3]).wait(&format!("may-send {request}"));
    cluster.on(rank[3]).send_line(&format!("end {request} done"));
    assert_eq!(
        cluster.on(rank[3]).wait(&format!("final {request}")),
        format!("final {request} Succeeded done")
    );
}

#[test]
fn one_id_at_two_dispatchers_runs_once_and_both_get_the_answer() {
    let mut cluster = TestCluster::start();
    for request in 20..30 {
        let rank = ranked(request);
        let two = [rank[3], rank[4]];
        for at in two {
            cluster.on(at).request_and_propose(request);
        }
        // Whoever may send ends it; the other gets the answer.
        let end = Instant::now() + PATIENCE;
        let runs = loop {
            let let_to: Vec<_> =
                two.into_iter().filter(|at| cluster.on(*at).has(&format!("may-send {request}"))).collect();
            if !let_to.is_empty() {
                break let_to;
            }
            assert!(Instant::now() < end, "request {request}: nobody may begin");
            std::thread::yield_now();
        };
        assert_eq!(runs.len(), 1, "request {request}");
        cluster.on(runs[0]).send_line(&format!("end {request} by-{}", runs[0]));
        for at in two {
            let line = cluster.on(at).wait(&format!("final {request}"));
            assert_eq!(
                line,
                format!("final {request} Succeeded by-{}", runs[0]),
                "request {request} at n{at}"
            );
        }
    }
}

#[test]
fn owner_that_resumes_after_a_long_pause_gives_no_second_answer() {
    let mut cluster = TestCluster::start();
    let request = 13;
    let rank = ranked(request);
    let owner = rank[4];
    cluster.on(owner).request_and_propose(request);
    cluster.on(owner).wait(&format!("may-send {request}"));
    cluster.on(owner).signal(Signal::SIGSTOP);
    // Longer than any suspicion: the first of its replicas takes it for lost, and ends the request.
    cluster.on(rank[0]).wait("changed Lost");
    cluster.on(rank[3]).request_and_propose(request);
    let line = cluster.on(rank[3]).wait(&format!("final {request}"));
    assert_eq!(line, format!("final {request} Failed "));
    // It resumes in the middle of its work, and its host's answer is there.
    cluster.on(owner).signal(Signal::SIGCONT);
    cluster.on(owner).send_line(&format!("end {request} late"));
    cluster.on(owner).wait_until_settled(MEMBERS);
    assert!(!cluster.on(owner).has(&format!("final {request} Succeeded")));
    cluster.on(rank[2]).request_and_propose(request);
    assert_eq!(cluster.on(rank[2]).wait(&format!("final {request}")), line);
}

#[test]
fn rolling_restart_forgets_no_record() {
    let mut cluster = TestCluster::start();
    let request = 14;
    let rank = ranked(request);
    cluster.on(rank[4]).request_and_propose(request);
    cluster.on(rank[4]).wait(&format!("may-send {request}"));
    cluster.on(rank[4]).send_line(&format!("end {request} once"));
    let line = cluster.on(rank[4]).wait(&format!("final {request}"));
    for at in 0..MEMBERS {
        cluster.kill(at);
        cluster.member(at, 2, false);
        cluster.on(at).wait_until_settled(MEMBERS);
    }
    cluster.on(rank[3]).request_and_propose(request);
    assert_eq!(cluster.on(rank[3]).wait(&format!("final {request}")), line);
}

#[test]
fn graceful_shutdown_hands_over_open_requests() {
    let mut cluster = TestCluster::start();
    let (fresh, started) = (15, 16);
    // One that is a replica of neither request.
    let owner =
        (0..MEMBERS).find(|at| !ranked(fresh)[..3].contains(at) && !ranked(started)[..3].contains(at));
    let owner = owner.expect("a request each of which somebody is no replica");
    for request in [fresh, started] {
        cluster.on(owner).request(request);
    }
    cluster.on(owner).propose(started);
    cluster.on(owner).wait(&format!("may-send {started}"));
    cluster.on(owner).send_line("stop");
    // What was not started is to run elsewhere; what may have executed is ended there, and only that.
    cluster.on(ranked(fresh)[0]).wait(&format!("take-over {fresh} 0"));
    for at in (0..MEMBERS).filter(|at| *at != owner) {
        cluster.on(at).wait("changed Lost");
    }
    let other = ranked(started).into_iter().rev().find(|at| *at != owner).expect("another");
    cluster.on(other).request_and_propose(started);
    assert_eq!(cluster.on(other).wait(&format!("final {started}")), format!("final {started} Failed "));
}
