//! Which candidate a member follows when its parent fails: candidates that are present, gone, stale or full are played, each
//! with the same round trip, and the time until a fresh one is followed is measured.

use rockflow_dissemination::MAX_CHILDREN;
use rockflow_dissemination::*;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use test_case::test_case;

const INCARNATION: u64 = 1_800_000_000_000;
const HEARTBEAT_INTERVAL: u64 = 500;
/// Transit time between any two nodes.
const TRANSIT_MS: u64 = 50;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Is {
    Fresh,
    Gone,
    /// Its heartbeats are stale since the fault.
    Stale,
    Full,
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn identity(name: &str) -> Identity {
    Identity { node: NodeId::of(name), incarnation: Incarnation(INCARNATION) }
}

fn candidate(index: usize) -> Identity {
    identity(&format!("candidate-{index}"))
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, index as u8], 7000))
}

struct Play {
    node: Node,
    now: u64,
    are: Vec<Is>,
    /// When the fault begins; before, all are fresh.
    fault_at: u64,
    /// Messages in transit to the member.
    coming: Vec<(u64, usize, Message)>,
    /// Messages in transit to a candidate.
    going: Vec<(u64, usize, Message)>,
    /// Candidates of which the member is a child.
    parents: BTreeSet<usize>,
    /// When another parent was followed, and which.
    turns: Vec<(u64, usize)>,
    probes: Vec<u64>,
    lose_heartbeat_at: Option<u64>,
}

impl Play {
    fn new(are: &[Is]) -> Play {
        let control =
            Peer { node: NodeId::of("control-0"), address: SocketAddr::from(([10, 0, 0, 1], 7000)) };
        let config = NodeConfig {
            identity: identity("me"),
            control_id: None,
            control: vec![control],
            seeds: Vec::new(),
            purge_window: ms(8700),
            bytes_per_second: 6000,
            heartbeat_interval: ms(HEARTBEAT_INTERVAL),
        };
        let mut node = Node::new(config, None, 1, Duration::ZERO);
        node.start(Duration::ZERO);
        let parents =
            (0..are.len()).map(|index| Peer { node: candidate(index).node, address: address(index) });
        let listing_hash = Message::Placement {
            directory_version: 1,
            listing_hash: 7,
            region: 0,
            slot: 1,
            slots: 2,
            parents: parents.collect(),
        };
        let outputs = node.on_message(Duration::ZERO, identity("control-0"), control.address, listing_hash);
        let mut play = Play {
            node,
            now: 0,
            are: are.to_vec(),
            fault_at: 10_000,
            coming: Vec::new(),
            going: Vec::new(),
            parents: BTreeSet::new(),
            turns: Vec::new(),
            probes: Vec::new(),
            lose_heartbeat_at: None,
        };
        play.take(outputs);
        play
    }

    fn take(&mut self, outputs: Vec<Output>) {
        for out in outputs {
            let Output::Send { to, message } = out else { continue };
            let Some(index) = (0..self.are.len()).find(|index| address(*index) == to) else { continue };
            if matches!(message, Message::Probe) {
                self.probes.push(self.now);
            }
            self.going.push((self.now + TRANSIT_MS, index, message));
        }
        let parent = self.node.status(ms(self.now)).parent.map(|parent| parent.address);
        let parent = (0..self.are.len()).find(|index| Some(address(*index)) == parent);
        if let Some(index) = parent.filter(|index| self.turns.last().map(|(_, last)| last) != Some(index)) {
            self.turns.push((self.now, index));
        }
    }

    fn is(&self, index: usize) -> Is {
        if self.now >= self.fault_at {
            self.are[index]
        } else {
            Is::Fresh
        }
    }

    fn staleness_ms(&self, index: usize) -> u32 {
        match self.is(index) {
            Is::Stale => (self.now - self.fault_at) as u32,
            _ => 10,
        }
    }

    fn heartbeat_of(&self, index: usize) -> Message {
        Message::Heartbeat {
            staleness_ms: self.staleness_ms(index),
            directory_version: 1,
            listing_hash: 7,
            tips: Vec::new(),
            settings_digest: None,
        }
    }

    /// A candidate receives a message.
    fn heard(&mut self, index: usize, message: Message) {
        let is = self.is(index);
        let answer = match message {
            _ if is == Is::Gone => return,
            Message::Acknowledgement { .. } => {
                if is == Is::Full {
                    Message::Full
                } else if self.parents.insert(index) {
                    self.heartbeat_of(index)
                } else {
                    return;
                }
            }
            Message::Leave => {
                self.parents.remove(&index);
                return;
            }
            Message::Probe if is != Is::Full => {
                Message::ProbeReply { staleness_ms: self.staleness_ms(index) }
            }
            _ => return,
        };
        self.coming.push((self.now + TRANSIT_MS, index, answer));
    }

    fn run(&mut self, until: u64) {
        while self.now < until {
            self.now += 1;
            let now = self.now;
            if now.is_multiple_of(HEARTBEAT_INTERVAL) && self.lose_heartbeat_at != Some(now) {
                let pulsing =
                    self.parents.iter().filter(|index| !matches!(self.is(**index), Is::Gone | Is::Full));
                let pulses: Vec<_> =
                    pulsing.map(|index| (now + TRANSIT_MS, *index, self.heartbeat_of(*index))).collect();
                self.coming.extend(pulses);
            }
            let due = |frames: &mut Vec<(u64, usize, Message)>| {
                let (due, rest) = std::mem::take(frames).into_iter().partition(|(at, ..)| *at <= now);
                *frames = rest;
                due
            };
            let going: Vec<_> = due(&mut self.going);
            going.into_iter().for_each(|(_, index, message)| self.heard(index, message));
            let coming: Vec<_> = due(&mut self.coming);
            for (_, index, message) in coming {
                let outputs = self.node.on_message(ms(now), candidate(index), address(index), message);
                self.take(outputs);
            }
            if self.node.next_due() <= ms(now) {
                let outputs = self.node.tick(ms(now));
                self.take(outputs);
            }
        }
    }

    /// How long after the fault a fresh candidate was followed for good.
    fn found_after(&mut self, index: usize) -> u64 {
        self.run(self.fault_at + 60_000);
        let (at, last) = *self.turns.last().expect("one is followed");
        assert_eq!(last, index, "{:?}", self.turns);
        at - self.fault_at
    }
}

use Is::{Fresh, Full, Gone, Stale};

/// However many candidates have failed, only the parent's timeout is waited for.
#[test_case(&[Gone, Fresh], 1)]
#[test_case(&[Gone, Gone, Gone, Gone, Fresh], 4)]
#[test_case(&[Gone, Gone, Gone, Gone, Gone, Gone, Fresh, Gone], 6)]
#[test_case(&[Gone, Full, Full, Gone, Full, Fresh], 5)]
#[test_case(&[Gone, Stale, Gone, Full, Fresh, Gone, Gone], 1; "one that is stale since just now is as good as the member itself")]
fn leaves_silent_parent_after_one_timeout(are: &[Is], to: usize) {
    let mut play = Play::new(are);
    play.run(play.fault_at);
    assert_eq!(play.turns.len(), 1);
    play.run(play.fault_at + 3 * HEARTBEAT_INTERVAL + 2 * TRANSIT_MS);
    assert_eq!(play.turns.last().map(|(_, index)| *index), Some(to), "{:?}", play.turns);
    assert_eq!(play.turns.len(), 2, "{:?}", play.turns);
}

#[test_case(&[Stale, Fresh], 1)]
#[test_case(&[Stale, Stale, Stale, Stale, Stale, Fresh], 5)]
#[test_case(&[Stale, Stale, Gone, Stale, Full, Gone, Gone, Fresh], 7)]
fn leaves_stale_parent_after_one_timeout(are: &[Is], to: usize) {
    let mut play = Play::new(are);
    let found = play.found_after(to);
    assert!(found <= 6 * HEARTBEAT_INTERVAL + 2 * TRANSIT_MS, "{found} ms");
    assert_eq!(play.turns.len(), 2, "{:?}", play.turns);
}

/// A silent parent, then a stale candidate, then the rest: at most two timeouts.
#[test_case(&[Gone, Stale, Stale, Gone, Stale, Fresh], 5)]
fn leaves_stale_candidate_as_soon_as_it_is_found_stale(are: &[Is], to: usize) {
    let mut play = Play::new(are);
    let found = play.found_after(to);
    assert!(found <= 6 * HEARTBEAT_INTERVAL + 4 * TRANSIT_MS, "{found} ms");
    assert!(play.turns.len() <= 3, "{:?}", play.turns);
}

#[test]
fn probes_nobody_without_a_fault() {
    let mut play = Play::new(&[Fresh; 8]);
    play.lose_heartbeat_at = Some(30_000);
    play.run(120_000);
    assert_eq!((play.probes.len(), play.turns.len()), (0, 1));
}

#[test]
fn probes_are_bounded_without_replies() {
    let mut play = Play::new(&[Gone; 8]);
    play.run(play.fault_at + 600_000);
    let minute =
        play.probes.iter().filter(|at| **at > play.fault_at + 60_000 && **at <= play.fault_at + 120_000);
    let minute = minute.count();
    assert!(minute > 0 && minute <= 7 * 31, "{minute} probes in a minute");
}

/// A returning candidate is found by the next probe, however long all were gone.
#[test]
fn finds_returning_candidate_after_long_backoff() {
    let mut play = Play::new(&[Gone; 8]);
    play.run(play.fault_at + 300_000);
    play.are[6] = Fresh;
    let back = play.now;
    play.run(back + 60_000);
    let first = play.turns.iter().find(|(at, _)| *at > back).expect("it is followed");
    assert_eq!(first.1, 6);
    assert!(first.0 - back <= 5 * HEARTBEAT_INTERVAL, "{} ms", first.0 - back);
}

#[test]
fn full_or_stale_node_does_not_reply_to_probe() {
    let mut play = Play::new(&[Fresh]);
    let probe = |play: &mut Play, name: &str, port: u16| {
        let at = SocketAddr::from(([10, 0, 2, 1], port));
        let outputs = play.node.on_message(ms(play.now), identity(name), at, Message::Probe);
        outputs
            .into_iter()
            .any(|out| matches!(out, Output::Send { to, message: Message::ProbeReply { .. } } if to == at))
    };
    assert!(!probe(&mut play, "asks", 1), "it knows of no control");
    play.run(2000);
    assert!(probe(&mut play, "asks", 1));
    for child in 0..MAX_CHILDREN as u16 {
        let at = SocketAddr::from(([10, 0, 2, 1], 100 + child));
        let ack = Message::Acknowledgement { received: Vec::new(), reports: Vec::new() };
        play.node.on_message(ms(play.now), identity(&format!("child-{child}")), at, ack);
    }
    assert!(!probe(&mut play, "asks", 1), "it is full");
    assert!(probe(&mut play, "child-3", 103), "a child of its own has its place");
}
