//! Five real processes on loopback, killed, stopped and restarted with nothing. This program is the members too: started
//! again with `MEMBER` set, it runs one, takes its dispatcher's commands as lines and prints what comes of them.

use rockflow_cluster::*;
use rockflow_process_harness::{free_udp, Process, Signal, Start};
use rockflow_transport::{Command, NodeHandle, Plan};
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

fn say(line: String) {
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
    let plan = Plan {
        config: config(),
        me: MemberId(me),
        addresses,
        listen,
        incarnation: Incarnation(incarnation),
        seed: incarnation,
        first,
    };
    let heard = |out: Output| match out {
        Output::MaySend { request, .. } => say(format!("may-begin {}", request.0)),
        Output::FinalAnswer { request, answer } => {
            let body = answer.body.map(|body| String::from_utf8(body).unwrap()).unwrap_or_default();
            say(format!("final {} {:?} {body}", request.0, answer.outcome));
        }
        Output::OwnedElsewhere { request } => say(format!("joined {}", request.0)),
        Output::QuorumUnavailable { request } => say(format!("uncovered {}", request.0)),
        Output::IdInUse { request } => say(format!("in-use {}", request.0)),
        Output::TakeOver { request, started, .. } => {
            say(format!("take-over {} {}", request.0, started.len()))
        }
        Output::MembershipChanged(change) => say(format!("changed {change:?}")),
        Output::Send { .. } | Output::IncarnationSuperseded { .. } => {}
    };
    let link = NodeHandle::start(plan, heard).unwrap();
    for line in std::io::stdin().lock().lines() {
        let line = line.unwrap();
        let commands: Vec<&str> = line.split(' ').collect();
        let request = RequestId(commands.get(1).map_or(0, |command| command.parse().unwrap()));
        let command = match commands[0] {
            "take" => {
                let kind = if commands[2] == "labelled" {
                    EffectKind::IdempotencyKey
                } else {
                    EffectKind::AtMostOnce
                };
                Command::RequestArrived { request, descriptor: descriptor(kind), left: PATIENCE }
            }
            "begin" => Command::ProposeAttempt { request, attempt: 0, host: 1 },
            "end" => {
                let body = Some(commands[2].as_bytes().to_vec());
                let answer = Answer { outcome: Outcome::Succeeded, tag: None, body };
                Command::RequestEnded { request, kind: EffectKind::AtMostOnce, answer }
            }
            "stop" => Command::ShutDown,
            _ => Command::ReportStatus(Box::new(|status_report| {
                say(format!("present {} {}", status_report.present.len(), status_report.sure))
            })),
        };
        assert!(link.say(command));
    }
}

struct Member {
    process: Process,
    seen: Vec<String>,
}

impl Member {
    fn tell(&mut self, line: &str) {
        self.process.tell(line).unwrap();
    }

    /// A client's request comes.
    fn takes(&mut self, request: u128) {
        self.tell(&format!("take {request} irreversible"));
    }

    /// It asks whether it may run a request's attempt.
    fn begins(&mut self, request: u128) {
        self.tell(&format!("begin {request}"));
    }

    fn takes_and_begins(&mut self, request: u128) {
        self.takes(request);
        self.begins(request);
    }

    /// Reads on till a line that begins so, which it returns.
    fn wait(&mut self, begins: &str) -> String {
        let end = Instant::now() + PATIENCE;
        if let Some(at) = self.seen.iter().position(|line| line.starts_with(begins)) {
            return self.seen.remove(at);
        }
        loop {
            match self.process.line_within(end.saturating_duration_since(Instant::now())) {
                Ok(line) if line.starts_with(begins) => return line,
                Ok(line) => self.seen.push(line),
                Err(what) => panic!("no {begins:?}: {what}; came: {:?}", self.seen),
            }
        }
    }

    /// Whether a line that begins so has come by now.
    fn has(&mut self, begins: &str) -> bool {
        loop {
            match self.process.line_now() {
                Ok(line) => self.seen.push(line),
                Err(_) => return self.seen.iter().any(|line| line.starts_with(begins)),
            }
        }
    }

    fn signal(&self, signal: Signal) {
        self.process.signal(signal).unwrap();
    }

    /// Till it sees so many, and is sure of what it kept.
    fn settles(&mut self, present: usize) {
        let end = Instant::now() + PATIENCE;
        loop {
            self.tell("survey");
            if self.wait("present ") == format!("present {present} true") {
                return;
            }
            assert!(Instant::now() < end, "{:?}", self.seen);
            match self.process.line_within(Duration::from_millis(50)) {
                Ok(line) => self.seen.push(line),
                Err(RecvTimeoutError::Timeout) => {}
                Err(what) => panic!("{what}"),
            }
        }
    }
}

/// One node at a time: between a port's choice and its member's start nobody else is to take it.
static ALONE: Mutex<()> = Mutex::new(());

struct Fleet5 {
    _alone: MutexGuard<'static, ()>,
    addresses: Vec<SocketAddr>,
    members: BTreeMap<usize, Member>,
}

impl Fleet5 {
    fn start() -> Fleet5 {
        let alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
        let addresses = free_udp(MEMBERS).unwrap();
        let mut node = Fleet5 { _alone: alone, addresses, members: BTreeMap::new() };
        (0..MEMBERS).for_each(|at| node.member(at, 1, true));
        (0..MEMBERS).for_each(|at| node.on(at).settles(MEMBERS));
        node
    }

    fn member(&mut self, at: usize, incarnation: u64, first: bool) {
        let addresses: Vec<_> = self.addresses.iter().map(ToString::to_string).collect();
        let first = if first { "first" } else { "again" };
        let process = Start::of(std::env::current_exe().unwrap())
            .args(["--exact", "member", "--nocapture"])
            .env("MEMBER", format!("{at} {incarnation} {first} {}", addresses.join(" ")))
            .talks()
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
fn an_attempt_that_may_have_begun_is_never_begun_again() {
    let mut node = Fleet5::start();
    let request = 11;
    let rank = ranked(request);
    // The owner keeps the request too: the case with the fewest left.
    let (owner, other) = (rank[0], rank[4]);
    node.on(owner).takes_and_begins(request);
    node.on(owner).wait(&format!("may-begin {request}"));
    node.kill(owner);
    // Asked again before anybody has noticed.
    node.on(other).takes_and_begins(request);
    let line = node.on(other).wait(&format!("final {request}"));
    assert_eq!(line, format!("final {request} Terminated "));
    // And a third time, elsewhere, after the end: the same.
    node.on(rank[3]).takes_and_begins(request);
    assert_eq!(node.on(rank[3]).wait(&format!("final {request}")), line);
    for at in 0..MEMBERS {
        assert!(at == owner || !node.on(at).has(&format!("may-begin {request}")), "n{at}");
    }
}

#[test]
fn what_had_not_begun_is_run_where_it_is_asked_again_once() {
    let mut node = Fleet5::start();
    let request = 12;
    let rank = ranked(request);
    node.on(rank[4]).takes(request);
    node.kill(rank[4]);
    node.on(rank[3]).takes_and_begins(request);
    node.on(rank[3]).wait(&format!("may-begin {request}"));
    node.on(rank[3]).tell(&format!("end {request} done"));
    assert_eq!(node.on(rank[3]).wait(&format!("final {request}")), format!("final {request} Succeeded done"));
}

#[test]
fn one_id_at_two_dispatchers_at_once_runs_once_and_both_get_the_answer() {
    let mut node = Fleet5::start();
    for request in 20..30 {
        let rank = ranked(request);
        let two = [rank[3], rank[4]];
        for at in two {
            node.on(at).takes_and_begins(request);
        }
        // Whoever is let to begin ends it; the other is config.
        let end = Instant::now() + PATIENCE;
        let runs = loop {
            let let_to: Vec<_> =
                two.into_iter().filter(|at| node.on(*at).has(&format!("may-begin {request}"))).collect();
            if !let_to.is_empty() {
                break let_to;
            }
            assert!(Instant::now() < end, "call {request}: nobody may begin");
            std::thread::yield_now();
        };
        assert_eq!(runs.len(), 1, "call {request}");
        node.on(runs[0]).tell(&format!("end {request} by-{}", runs[0]));
        for at in two {
            let line = node.on(at).wait(&format!("final {request}"));
            assert_eq!(line, format!("final {request} Succeeded by-{}", runs[0]), "call {request} at n{at}");
        }
    }
}

#[test]
fn an_owner_that_is_stopped_for_long_and_wakes_gives_no_second_answer() {
    let mut node = Fleet5::start();
    let request = 13;
    let rank = ranked(request);
    let owner = rank[4];
    node.on(owner).takes_and_begins(request);
    node.on(owner).wait(&format!("may-begin {request}"));
    node.on(owner).signal(Signal::SIGSTOP);
    // Longer than any suspicion: the first of its replicas has it for lost, and the request is ended there.
    node.on(rank[0]).wait("changed Lost");
    node.on(rank[3]).takes_and_begins(request);
    let line = node.on(rank[3]).wait(&format!("final {request}"));
    assert_eq!(line, format!("final {request} Terminated "));
    // It wakes in the middle of its work, and its host's answer is there.
    node.on(owner).signal(Signal::SIGCONT);
    node.on(owner).tell(&format!("end {request} late"));
    node.on(owner).settles(MEMBERS);
    assert!(!node.on(owner).has(&format!("final {request} Succeeded")));
    node.on(rank[2]).takes_and_begins(request);
    assert_eq!(node.on(rank[2]).wait(&format!("final {request}")), line);
}

#[test]
fn all_are_restarted_in_turn_and_nothing_kept_is_forgotten() {
    let mut node = Fleet5::start();
    let request = 14;
    let rank = ranked(request);
    node.on(rank[4]).takes_and_begins(request);
    node.on(rank[4]).wait(&format!("may-begin {request}"));
    node.on(rank[4]).tell(&format!("end {request} once"));
    let line = node.on(rank[4]).wait(&format!("final {request}"));
    for at in 0..MEMBERS {
        node.kill(at);
        node.member(at, 2, false);
        node.on(at).settles(MEMBERS);
    }
    node.on(rank[3]).takes_and_begins(request);
    assert_eq!(node.on(rank[3]).wait(&format!("final {request}")), line);
}

#[test]
fn a_planned_stop_hands_over_what_it_has_not_ended() {
    let mut node = Fleet5::start();
    let (fresh, started) = (15, 16);
    // One that keeps neither request.
    let owner =
        (0..MEMBERS).find(|at| !ranked(fresh)[..3].contains(at) && !ranked(started)[..3].contains(at));
    let owner = owner.expect("a call each that somebody does not keep");
    for request in [fresh, started] {
        node.on(owner).takes(request);
    }
    node.on(owner).begins(started);
    node.on(owner).wait(&format!("may-begin {started}"));
    node.on(owner).tell("stop");
    // What was not started is to be run elsewhere; what may have started has its end there, and only that.
    node.on(ranked(fresh)[0]).wait(&format!("take-over {fresh} 0"));
    for at in (0..MEMBERS).filter(|at| *at != owner) {
        node.on(at).wait("changed Lost");
    }
    let other = ranked(started).into_iter().rev().find(|at| *at != owner).expect("another");
    node.on(other).takes_and_begins(started);
    assert_eq!(node.on(other).wait(&format!("final {started}")), format!("final {started} Terminated "));
}
