//! Which candidate a member follows when its parent fails, and how long it takes to follow a fresh one. The tests
//! simulate candidates that are fresh, gone, stale or full, all with the same transit time.

use rockflow_dissemination::MAX_CHILDREN;
use rockflow_dissemination::*;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use test_case::test_case;
use CandidateState::{Fresh, Full, Gone, Stale};

const INCARNATION: u64 = 1_800_000_000_000;
const HEARTBEAT_INTERVAL_MS: u64 = 500;
/// Transit time between any two nodes.
const TRANSIT_MS: u64 = 50;

/// How a candidate behaves from the fault on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CandidateState {
    /// Forwards fresh heartbeats and accepts the member as a child.
    Fresh,
    /// Receives nothing and sends nothing.
    Gone,
    /// Its heartbeats are based on one from before the fault.
    Stale,
    /// Answers every acknowledgement with [`Message::Full`].
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

/// A message on its way between the member and a candidate.
struct InTransit {
    arrives_at: u64,
    candidate: usize,
    message: Message,
}

/// A member and its candidates in virtual time. All times are in milliseconds.
struct Simulation {
    member: Node,
    now: u64,
    states: Vec<CandidateState>,
    /// When the fault begins; before, all candidates are fresh.
    fault_at: u64,
    to_member: Vec<InTransit>,
    to_candidates: Vec<InTransit>,
    /// Candidates that have accepted the member as a child.
    parents: BTreeSet<usize>,
    /// When the member started to follow a candidate, and the candidate's index.
    switches: Vec<(u64, usize)>,
    /// When the member sent a probe, once for each candidate.
    probes: Vec<u64>,
    /// A time at which all heartbeats are lost.
    lose_heartbeat_at: Option<u64>,
}

impl Simulation {
    fn new(states: &[CandidateState]) -> Simulation {
        let control =
            Peer { node: NodeId::of("control-0"), address: SocketAddr::from(([10, 0, 0, 1], 7000)) };
        let config = NodeConfig {
            identity: identity("me"),
            control_id: None,
            control: vec![control],
            seeds: Vec::new(),
            purge_window: ms(8700),
            bytes_per_second: 6000,
            heartbeat_interval: ms(HEARTBEAT_INTERVAL_MS),
        };
        let mut member = Node::new(config, None, 1, Duration::ZERO);
        member.start(Duration::ZERO);
        let parents =
            (0..states.len()).map(|index| Peer { node: candidate(index).node, address: address(index) });
        let placement = Message::Placement {
            directory_version: 1,
            listing_hash: 7,
            region: 0,
            slot: 1,
            slots: 2,
            parents: parents.collect(),
        };
        let outputs = member.on_message(Duration::ZERO, identity("control-0"), control.address, placement);
        let mut simulation = Simulation {
            member,
            now: 0,
            states: states.to_vec(),
            fault_at: 10_000,
            to_member: Vec::new(),
            to_candidates: Vec::new(),
            parents: BTreeSet::new(),
            switches: Vec::new(),
            probes: Vec::new(),
            lose_heartbeat_at: None,
        };
        simulation.handle_outputs(outputs);
        simulation
    }

    /// Sends the member's messages on their way, and records probes and a change of the parent.
    fn handle_outputs(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            let Output::Send { to, message } = output else { continue };
            let Some(candidate) = (0..self.states.len()).find(|index| address(*index) == to) else {
                continue;
            };
            if matches!(message, Message::Probe) {
                self.probes.push(self.now);
            }
            self.to_candidates.push(InTransit { arrives_at: self.now + TRANSIT_MS, candidate, message });
        }
        let parent_address = self.member.status(ms(self.now)).parent.map(|parent| parent.address);
        let parent = (0..self.states.len()).find(|index| Some(address(*index)) == parent_address);
        let previous = self.switches.last().map(|(_, candidate)| *candidate);
        if let Some(candidate) = parent.filter(|_| parent != previous) {
            self.switches.push((self.now, candidate));
        }
    }

    fn state(&self, index: usize) -> CandidateState {
        if self.now >= self.fault_at {
            self.states[index]
        } else {
            Fresh
        }
    }

    fn staleness_ms(&self, index: usize) -> u32 {
        match self.state(index) {
            Stale => (self.now - self.fault_at) as u32,
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

    /// A candidate receives a message from the member, and may answer it.
    fn on_candidate_message(&mut self, candidate: usize, message: Message) {
        let state = self.state(candidate);
        let answer = match message {
            _ if state == Gone => return,
            Message::Acknowledgement { .. } => {
                if state == Full {
                    Message::Full
                } else if self.parents.insert(candidate) {
                    self.heartbeat_of(candidate)
                } else {
                    return;
                }
            }
            Message::Leave => {
                self.parents.remove(&candidate);
                return;
            }
            Message::Probe if state != Full => {
                Message::ProbeReply { staleness_ms: self.staleness_ms(candidate) }
            }
            _ => return,
        };
        self.to_member.push(InTransit { arrives_at: self.now + TRANSIT_MS, candidate, message: answer });
    }

    /// Advances the time in steps of one millisecond.
    fn run(&mut self, until: u64) {
        while self.now < until {
            self.now += 1;
            let now = self.now;
            if now.is_multiple_of(HEARTBEAT_INTERVAL_MS) && self.lose_heartbeat_at != Some(now) {
                self.send_heartbeats();
            }
            for InTransit { candidate, message, .. } in take_arrived(&mut self.to_candidates, now) {
                self.on_candidate_message(candidate, message);
            }
            for InTransit { candidate: index, message, .. } in take_arrived(&mut self.to_member, now) {
                let outputs = self.member.on_message(ms(now), candidate(index), address(index), message);
                self.handle_outputs(outputs);
            }
            if self.member.next_due() <= ms(now) {
                let outputs = self.member.tick(ms(now));
                self.handle_outputs(outputs);
            }
        }
    }

    /// Sends a heartbeat from each parent that is fresh or stale.
    fn send_heartbeats(&mut self) {
        let senders = self.parents.iter().filter(|index| !matches!(self.state(**index), Gone | Full));
        let heartbeats: Vec<InTransit> = senders
            .map(|index| InTransit {
                arrives_at: self.now + TRANSIT_MS,
                candidate: *index,
                message: self.heartbeat_of(*index),
            })
            .collect();
        self.to_member.extend(heartbeats);
    }

    /// Runs a minute past the fault, and returns how many milliseconds after the fault the member started to follow the
    /// candidate that it still follows at the end. Fails if that is not `expected`.
    fn switch_delay(&mut self, expected: usize) -> u64 {
        self.run(self.fault_at + 60_000);
        let (switched_at, last) = *self.switches.last().expect("the member follows a candidate");
        assert_eq!(last, expected, "{:?}", self.switches);
        switched_at - self.fault_at
    }
}

/// Removes and returns the messages that have arrived by `now`.
fn take_arrived(messages: &mut Vec<InTransit>, now: u64) -> Vec<InTransit> {
    let (arrived, rest) = std::mem::take(messages).into_iter().partition(|message| message.arrives_at <= now);
    *messages = rest;
    arrived
}

/// However many candidates have failed, the member waits for no timeout but the parent's, as it probes all of them.
#[test_case(&[Gone, Fresh], 1)]
#[test_case(&[Gone, Gone, Gone, Gone, Fresh], 4)]
#[test_case(&[Gone, Gone, Gone, Gone, Gone, Gone, Fresh, Gone], 6)]
#[test_case(&[Gone, Full, Full, Gone, Full, Fresh], 5)]
#[test_case(&[Gone, Stale, Gone, Full, Fresh, Gone, Gone], 1; "accepts a candidate that became stale when the parent failed")]
fn leaves_silent_parent_after_one_timeout(states: &[CandidateState], to: usize) {
    let mut simulation = Simulation::new(states);
    simulation.run(simulation.fault_at);
    assert_eq!(simulation.switches.len(), 1);
    simulation.run(simulation.fault_at + 3 * HEARTBEAT_INTERVAL_MS + 2 * TRANSIT_MS);
    let followed = simulation.switches.last().map(|(_, candidate)| *candidate);
    assert_eq!(followed, Some(to), "{:?}", simulation.switches);
    assert_eq!(simulation.switches.len(), 2, "{:?}", simulation.switches);
}

#[test_case(&[Stale, Fresh], 1)]
#[test_case(&[Stale, Stale, Stale, Stale, Stale, Fresh], 5)]
#[test_case(&[Stale, Stale, Gone, Stale, Full, Gone, Gone, Fresh], 7)]
fn leaves_stale_parent_after_one_timeout(states: &[CandidateState], to: usize) {
    let mut simulation = Simulation::new(states);
    let delay = simulation.switch_delay(to);
    assert!(delay <= 6 * HEARTBEAT_INTERVAL_MS + 2 * TRANSIT_MS, "{delay} ms");
    assert_eq!(simulation.switches.len(), 2, "{:?}", simulation.switches);
}

/// The parent is silent and the next candidate is stale: the member waits for at most these two timeouts.
#[test_case(&[Gone, Stale, Stale, Gone, Stale, Fresh], 5)]
fn leaves_stale_candidate_as_soon_as_it_is_found_stale(states: &[CandidateState], to: usize) {
    let mut simulation = Simulation::new(states);
    let delay = simulation.switch_delay(to);
    assert!(delay <= 6 * HEARTBEAT_INTERVAL_MS + 4 * TRANSIT_MS, "{delay} ms");
    assert!(simulation.switches.len() <= 3, "{:?}", simulation.switches);
}

#[test]
fn sends_no_probes_when_one_heartbeat_is_lost() {
    let mut simulation = Simulation::new(&[Fresh; 8]);
    simulation.lose_heartbeat_at = Some(30_000);
    simulation.run(120_000);
    assert_eq!((simulation.probes.len(), simulation.switches.len()), (0, 1));
}

#[test]
fn probes_are_bounded_without_replies() {
    let mut simulation = Simulation::new(&[Gone; 8]);
    simulation.run(simulation.fault_at + 600_000);
    let second_minute = simulation.fault_at + 60_001..=simulation.fault_at + 120_000;
    let probes = simulation.probes.iter().filter(|at| second_minute.contains(at)).count();
    assert!(probes > 0 && probes <= 7 * 31, "{probes} probes in a minute");
}

/// A candidate that returns is found by the next probe, even if all candidates were gone for so long that the backoff
/// is much longer.
#[test]
fn finds_returning_candidate_after_long_backoff() {
    let mut simulation = Simulation::new(&[Gone; 8]);
    simulation.run(simulation.fault_at + 300_000);
    simulation.states[6] = Fresh;
    let returned_at = simulation.now;
    simulation.run(returned_at + 60_000);
    let mut switches = simulation.switches.iter();
    let (switched_at, candidate) = switches.find(|(at, _)| *at > returned_at).expect("a switch");
    assert_eq!(*candidate, 6);
    let delay = switched_at - returned_at;
    assert!(delay <= 5 * HEARTBEAT_INTERVAL_MS, "{delay} ms");
}

#[test]
fn node_without_heartbeat_or_room_does_not_reply_to_probe() {
    let mut simulation = Simulation::new(&[Fresh]);
    let replies_to_probe = |simulation: &mut Simulation, name: &str, port: u16| {
        let sender = SocketAddr::from(([10, 0, 2, 1], port));
        let now = ms(simulation.now);
        let outputs = simulation.member.on_message(now, identity(name), sender, Message::Probe);
        outputs.into_iter().any(
            |output| matches!(output, Output::Send { to, message: Message::ProbeReply { .. } } if to == sender),
        )
    };
    assert!(!replies_to_probe(&mut simulation, "sender", 1), "it has received no heartbeat");
    simulation.run(2000);
    assert!(replies_to_probe(&mut simulation, "sender", 1));
    for child in 0..MAX_CHILDREN as u16 {
        let child_address = SocketAddr::from(([10, 0, 2, 1], 100 + child));
        let ack = Message::Acknowledgement { received: Vec::new(), reports: Vec::new() };
        let now = ms(simulation.now);
        simulation.member.on_message(now, identity(&format!("child-{child}")), child_address, ack);
    }
    assert!(!replies_to_probe(&mut simulation, "sender", 1), "it is full");
    assert!(replies_to_probe(&mut simulation, "child-3", 103), "a child does not need more room");
}
