//! Five real processes on loopback, killed, stopped and restarted with nothing. This program is the members too: started
//! again with `MEMBER` set, it runs one, takes its dispatcher's words as lines and prints what comes of them.

use rockflow_cluster::*;
use rockflow_process_harness::{free_udp, Process, Signal, Start};
use rockflow_transport::{Link, Plan, Word};
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::net::SocketAddr;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

const MEMBERS: usize = 5;
const PATIENCE: Duration = Duration::from_secs(20);

fn told() -> Told {
    Told {
        members: (0..MEMBERS).map(|n| format!("n{n}")).collect(),
        keepers: 3,
        keep: Duration::from_secs(30),
        round_trip: Duration::from_millis(5),
        max_kept: 1000,
        max_body: 64,
    }
}

fn subject(kind: Kind) -> Subject {
    Subject { kind, class: 0, object: 1, part: 0, group: 0, size: 0 }
}

fn say(line: String) {
    let mut out = std::io::stdout().lock();
    writeln!(out, "{line}").and_then(|()| out.flush()).expect("the parent reads");
}

/// What a member's process does; only that of a child. It is a test to the runner, and nothing without `MEMBER`.
#[test]
fn member() {
    let Ok(spec) = std::env::var("MEMBER") else { return };
    let words: Vec<&str> = spec.split(' ').collect();
    let (me, life, first) = (words[0].parse().unwrap(), words[1].parse().unwrap(), words[2] == "first");
    let addresses: Vec<SocketAddr> = words[3..].iter().map(|word| word.parse().unwrap()).collect();
    let listen = addresses[usize::from(me)];
    let plan =
        Plan { told: told(), me: MemberId(me), addresses, listen, life: Life(life), seed: life, first };
    let heard = |out: Out| match out {
        Out::MayBegin { call, .. } => say(format!("may-begin {}", call.0)),
        Out::Final { call, answer } => {
            let body = answer.body.map(|body| String::from_utf8(body).unwrap()).unwrap_or_default();
            say(format!("final {} {:?} {body}", call.0, answer.ended));
        }
        Out::Joined { call } => say(format!("joined {}", call.0)),
        Out::Uncovered { call } => say(format!("uncovered {}", call.0)),
        Out::InUse { call } => say(format!("in-use {}", call.0)),
        Out::TakeOver { call, begun, .. } => say(format!("take-over {} {}", call.0, begun.len())),
        Out::Changed(change) => say(format!("changed {change:?}")),
        Out::Send { .. } | Out::Outlived { .. } => {}
    };
    let link = Link::start(plan, heard).unwrap();
    for line in std::io::stdin().lock().lines() {
        let line = line.unwrap();
        let words: Vec<&str> = line.split(' ').collect();
        let call = CallId(words.get(1).map_or(0, |word| word.parse().unwrap()));
        let word = match words[0] {
            "take" => {
                let kind = if words[2] == "labelled" { Kind::Labelled } else { Kind::Irreversible };
                Word::Taken { call, subject: subject(kind), left: PATIENCE }
            }
            "begin" => Word::Begin { call, attempt: 0, host: 1 },
            "end" => {
                let body = Some(words[2].as_bytes().to_vec());
                let answer = Answer { ended: Ended::Succeeded, tag: None, body };
                Word::Ended { call, kind: Kind::Irreversible, answer }
            }
            "stop" => Word::Stop,
            _ => {
                Word::Survey(Box::new(|tally| say(format!("present {} {}", tally.present.len(), tally.sure))))
            }
        };
        assert!(link.say(word));
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

    /// A client's call comes.
    fn takes(&mut self, call: u128) {
        self.tell(&format!("take {call} irreversible"));
    }

    /// It asks whether it may run a call's attempt.
    fn begins(&mut self, call: u128) {
        self.tell(&format!("begin {call}"));
    }

    fn takes_and_begins(&mut self, call: u128) {
        self.takes(call);
        self.begins(call);
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

/// One fleet at a time: between a port's choice and its member's start nobody else is to take it.
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
        let mut fleet = Fleet5 { _alone: alone, addresses, members: BTreeMap::new() };
        (0..MEMBERS).for_each(|at| fleet.member(at, 1, true));
        (0..MEMBERS).for_each(|at| fleet.on(at).settles(MEMBERS));
        fleet
    }

    fn member(&mut self, at: usize, life: u64, first: bool) {
        let addresses: Vec<_> = self.addresses.iter().map(ToString::to_string).collect();
        let first = if first { "first" } else { "again" };
        let process = Start::of(std::env::current_exe().unwrap())
            .args(["--exact", "member", "--nocapture"])
            .env("MEMBER", format!("{at} {life} {first} {}", addresses.join(" ")))
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

/// The members in the order of a call's keepers, then the others.
fn ranked(call: u128) -> Vec<usize> {
    let mut ids: Vec<usize> = told().keepers_of(CallId(call)).iter().map(|id| usize::from(id.0)).collect();
    let others: Vec<_> = (0..MEMBERS).filter(|at| !ids.contains(at)).collect();
    ids.extend(others);
    ids
}

#[test]
fn an_attempt_that_may_have_begun_is_never_begun_again() {
    let mut fleet = Fleet5::start();
    let call = 11;
    let rank = ranked(call);
    // The owner keeps the call too: the case with the fewest left.
    let (owner, other) = (rank[0], rank[4]);
    fleet.on(owner).takes_and_begins(call);
    fleet.on(owner).wait(&format!("may-begin {call}"));
    fleet.kill(owner);
    // Asked again before anybody has noticed.
    fleet.on(other).takes_and_begins(call);
    let line = fleet.on(other).wait(&format!("final {call}"));
    assert_eq!(line, format!("final {call} Terminated "));
    // And a third time, elsewhere, after the end: the same.
    fleet.on(rank[3]).takes_and_begins(call);
    assert_eq!(fleet.on(rank[3]).wait(&format!("final {call}")), line);
    for at in 0..MEMBERS {
        assert!(at == owner || !fleet.on(at).has(&format!("may-begin {call}")), "n{at}");
    }
}

#[test]
fn what_had_not_begun_is_run_where_it_is_asked_again_once() {
    let mut fleet = Fleet5::start();
    let call = 12;
    let rank = ranked(call);
    fleet.on(rank[4]).takes(call);
    fleet.kill(rank[4]);
    fleet.on(rank[3]).takes_and_begins(call);
    fleet.on(rank[3]).wait(&format!("may-begin {call}"));
    fleet.on(rank[3]).tell(&format!("end {call} done"));
    assert_eq!(fleet.on(rank[3]).wait(&format!("final {call}")), format!("final {call} Succeeded done"));
}

#[test]
fn one_id_at_two_dispatchers_at_once_runs_once_and_both_get_the_answer() {
    let mut fleet = Fleet5::start();
    for call in 20..30 {
        let rank = ranked(call);
        let two = [rank[3], rank[4]];
        for at in two {
            fleet.on(at).takes_and_begins(call);
        }
        // Whoever is let to begin ends it; the other is told.
        let end = Instant::now() + PATIENCE;
        let runs = loop {
            let let_to: Vec<_> =
                two.into_iter().filter(|at| fleet.on(*at).has(&format!("may-begin {call}"))).collect();
            if !let_to.is_empty() {
                break let_to;
            }
            assert!(Instant::now() < end, "call {call}: nobody may begin");
            std::thread::yield_now();
        };
        assert_eq!(runs.len(), 1, "call {call}");
        fleet.on(runs[0]).tell(&format!("end {call} by-{}", runs[0]));
        for at in two {
            let line = fleet.on(at).wait(&format!("final {call}"));
            assert_eq!(line, format!("final {call} Succeeded by-{}", runs[0]), "call {call} at n{at}");
        }
    }
}

#[test]
fn an_owner_that_is_stopped_for_long_and_wakes_gives_no_second_answer() {
    let mut fleet = Fleet5::start();
    let call = 13;
    let rank = ranked(call);
    let owner = rank[4];
    fleet.on(owner).takes_and_begins(call);
    fleet.on(owner).wait(&format!("may-begin {call}"));
    fleet.on(owner).signal(Signal::SIGSTOP);
    // Longer than any suspicion: the first of its keepers has it for lost, and the call is ended there.
    fleet.on(rank[0]).wait("changed Lost");
    fleet.on(rank[3]).takes_and_begins(call);
    let line = fleet.on(rank[3]).wait(&format!("final {call}"));
    assert_eq!(line, format!("final {call} Terminated "));
    // It wakes in the middle of its work, and its host's answer is there.
    fleet.on(owner).signal(Signal::SIGCONT);
    fleet.on(owner).tell(&format!("end {call} late"));
    fleet.on(owner).settles(MEMBERS);
    assert!(!fleet.on(owner).has(&format!("final {call} Succeeded")));
    fleet.on(rank[2]).takes_and_begins(call);
    assert_eq!(fleet.on(rank[2]).wait(&format!("final {call}")), line);
}

#[test]
fn all_are_restarted_in_turn_and_nothing_kept_is_forgotten() {
    let mut fleet = Fleet5::start();
    let call = 14;
    let rank = ranked(call);
    fleet.on(rank[4]).takes_and_begins(call);
    fleet.on(rank[4]).wait(&format!("may-begin {call}"));
    fleet.on(rank[4]).tell(&format!("end {call} once"));
    let line = fleet.on(rank[4]).wait(&format!("final {call}"));
    for at in 0..MEMBERS {
        fleet.kill(at);
        fleet.member(at, 2, false);
        fleet.on(at).settles(MEMBERS);
    }
    fleet.on(rank[3]).takes_and_begins(call);
    assert_eq!(fleet.on(rank[3]).wait(&format!("final {call}")), line);
}

#[test]
fn a_planned_stop_hands_over_what_it_has_not_ended() {
    let mut fleet = Fleet5::start();
    let (fresh, begun) = (15, 16);
    // One that keeps neither call.
    let owner = (0..MEMBERS).find(|at| !ranked(fresh)[..3].contains(at) && !ranked(begun)[..3].contains(at));
    let owner = owner.expect("a call each that somebody does not keep");
    for call in [fresh, begun] {
        fleet.on(owner).takes(call);
    }
    fleet.on(owner).begins(begun);
    fleet.on(owner).wait(&format!("may-begin {begun}"));
    fleet.on(owner).tell("stop");
    // What was not begun is to be run elsewhere; what may have begun has its end there, and only that.
    fleet.on(ranked(fresh)[0]).wait(&format!("take-over {fresh} 0"));
    for at in (0..MEMBERS).filter(|at| *at != owner) {
        fleet.on(at).wait("changed Lost");
    }
    let other = ranked(begun).into_iter().rev().find(|at| *at != owner).expect("another");
    fleet.on(other).takes_and_begins(begun);
    assert_eq!(fleet.on(other).wait(&format!("final {begun}")), format!("final {begun} Terminated "));
}
