//! Publications of both kinds share one budget: neither waits for a flood of the other.

mod support;

use rockflow_dissemination::*;
use std::collections::BTreeMap;
use std::time::Duration;
use support::*;
use test_case::test_case;

/// Within this time a setting is to be applied everywhere.
const CHANGE: Duration = Duration::from_secs(4);
const BYTES_PER_SECOND: u64 = 6000;
/// Publications use this part of the bytes per second, up to 30 s of it at once.
const SHARE: u64 = 6;
const AT_ONCE: u64 = 30;

/// One control node, and another that only receives.
struct Alone {
    now: Duration,
    node: Node,
    names: u64,
    published: BTreeMap<EntryId, Duration>,
    /// How long each waited to be sent.
    waited: BTreeMap<EntryId, Duration>,
    bytes: u64,
    /// The last purge that its heartbeats have advertised.
    advertised: SequenceNumber,
}

impl Alone {
    fn new() -> Alone {
        let peer = |index| Peer { node: NodeId::of(&control_name(index)), address: address(index) };
        let config = NodeConfig {
            identity: Identity { node: peer(0).node, incarnation: Incarnation(INCARNATION) },
            control_id: Some(ControlId(0)),
            control: (0..2).map(peer).collect(),
            seeds: Vec::new(),
            purge_window: PURGE_WINDOW,
            bytes_per_second: BYTES_PER_SECOND as u32,
            heartbeat_interval: HEARTBEAT_INTERVAL,
        };
        let mut node = Node::new(config, None, 1, s(0));
        node.start(s(0));
        let (published, waited) = (BTreeMap::new(), BTreeMap::new());
        Alone { now: s(0), node, names: 0, published, waited, bytes: 0, advertised: SequenceNumber(0) }
    }

    fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while self.node.next_due() <= until {
            self.now = self.now.max(self.node.next_due());
            let outputs = self.node.tick(self.now);
            self.leave(outputs);
        }
        self.now = until;
    }

    fn leave(&mut self, outputs: Vec<Output>) {
        for out in outputs {
            let Output::Send { message, .. } = out else { continue };
            if let Message::Heartbeat { tips, .. } = &message {
                let purges = tips.iter().filter(|tip| tip.stream.kind == StreamKind::Purges);
                self.advertised = purges.map(|tip| tip.last).fold(self.advertised, SequenceNumber::max);
            }
            let bytes = postcard::to_stdvec(&message).expect("encodes").len() as u64;
            let Message::Batch { stream, first, entries } = message else { continue };
            self.bytes += bytes;
            for number in first.0..first.0 + entries.len() as u64 {
                let id = (stream, SequenceNumber(number));
                let waited = self.now - self.published[&id];
                assert!(self.waited.insert(id, waited).is_none(), "{id:?} left twice");
            }
        }
    }

    fn publish(&mut self, what: Vec<Publication>) -> Vec<EntryId> {
        let (ids, outputs) = self.node.publish(self.now, what);
        self.leave(outputs);
        self.published.extend(ids.iter().map(|id| (*id, self.now)));
        ids
    }

    fn purges(&mut self, count: u64) -> Vec<EntryId> {
        let first = self.names;
        self.names += count;
        let purge = |object| Publication::Purge { purge: Purge::object(object), age: s(0) };
        self.publish((first..self.names).map(purge).collect())
    }

    fn changes(&mut self, count: u64) -> Vec<EntryId> {
        let first = self.names;
        self.names += count;
        let setting =
            |host| Publication::Setting { host: format!("cache-{host:05}"), desired: DesiredState::Draining };
        self.publish((first..self.names).map(setting).collect())
    }

    fn waited(&self, ids: &[EntryId]) -> Duration {
        let none = Duration::MAX;
        ids.iter().map(|id| self.waited.get(id).copied().unwrap_or(none)).max().unwrap_or_default()
    }
}

#[test_case(4000, 0, 0; "four thousand at once")]
#[test_case(16_000, 0, 0; "as many at once as wait")]
#[test_case(0, 245, 60; "490 a second for 30 s")]
fn setting_does_not_wait_for_a_burst_of_purges(at_once: u64, each_pulse: u64, pulses: u32) {
    let mut alone = Alone::new();
    alone.run(s(60));
    alone.purges(at_once);
    for _ in 0..pulses {
        alone.purges(each_pulse);
        alone.run(HEARTBEAT_INTERVAL);
    }
    for _ in 0..5 {
        alone.run(s(1));
        let change = alone.changes(1);
        alone.run(CHANGE);
        let waited = alone.waited(&change);
        assert!(waited <= HEARTBEAT_INTERVAL, "the change waited {waited:?}");
    }
}

/// 49 purges a second, beside more settings than can be sent.
#[test_case(4096, 0; "all hosts at once")]
#[test_case(1000, 50; "hosts without end")]
fn purges_do_not_wait_for_a_flood_of_settings(at_once: u64, each_pulse: u64) {
    let mut alone = Alone::new();
    alone.run(s(60));
    alone.changes(at_once);
    let mut purges = Vec::new();
    for _ in 0..240 {
        alone.changes(each_pulse);
        purges.extend(alone.purges(24));
        alone.run(HEARTBEAT_INTERVAL);
    }
    alone.run(PURGE_WINDOW);
    let waited = alone.waited(&purges);
    assert!(waited <= HEARTBEAT_INTERVAL * 4, "a purge waited {waited:?}");
}

/// Both at once, for long: what is sent stays within the budget, and both advance.
#[test]
fn flood_of_both_stays_within_the_budget() {
    let mut alone = Alone::new();
    alone.run(s(60));
    let mut span = 0;
    for _ in 0..240 {
        alone.purges(245);
        alone.changes(50);
        alone.run(HEARTBEAT_INTERVAL);
        span += 1;
        let most = BYTES_PER_SECOND / SHARE * (AT_ONCE * 7 / 6 + span / 2 + 1) + 2 * 1400;
        assert!(alone.bytes <= most, "{} bytes of {most} after {span} pulses", alone.bytes);
    }
    let left = |kind| alone.waited.keys().filter(|(stream, _)| stream.kind == kind).count();
    let all = (left(StreamKind::Purges), left(StreamKind::Configuration));
    assert!(all.0 > 3000 && all.1 > 500, "{all:?}");
}

/// A node to which a number was advertised may have requested and applied it: no later purge may be folded into it.
#[test]
fn folding_purge_was_not_advertised_before() {
    let mut alone = Alone::new();
    alone.run(s(60));
    alone.purges(MAX_UNSENT_PUBLICATIONS);
    let mut folded = 0;
    for _ in 0..40 {
        let ids = alone.purges(400);
        folded += ids.iter().filter(|id| id.1 == ids[399].1).count();
        assert!(
            ids.iter().all(|id| id.1 > alone.advertised),
            "told up to {:?}, {:?}",
            alone.advertised,
            ids[399]
        );
        alone.run(HEARTBEAT_INTERVAL / 2);
    }
    assert!(folded > 4000, "{folded}");
}

/// In a small fleet, a setting is applied at each member in time after a burst of purges.
#[test_case(4000, 0, 0; "four thousand at once")]
#[test_case(0, 245, 60; "490 a second for 30 s")]
fn setting_is_applied_in_time_behind_a_burst_of_purges(at_once: u64, each_pulse: u64, pulses: u32) {
    let mut fleet = Fleet::new(3, &[&[5, 3], &[4]], 41);
    fleet.run(s(60));
    let mut names = 0;
    let mut burst = |fleet: &mut Fleet, count: u64| {
        let purge = |object| Publication::Purge { purge: Purge::object(object), age: s(0) };
        fleet.publish(0, (names..names + count).map(purge).collect());
        names += count;
    };
    burst(&mut fleet, at_once);
    for _ in 0..pulses {
        burst(&mut fleet, each_pulse);
        fleet.run(HEARTBEAT_INTERVAL);
    }
    for host in ["a", "b", "c"] {
        fleet.run(s(1));
        fleet.set_desired_state(0, host, DesiredState::Draining);
        fleet.run(CHANGE);
        for index in fleet.members() {
            let desired = fleet.nodes[index].caller.settings.get(host);
            assert_eq!(desired, Some(&DesiredState::Draining), "{host} at {}", fleet.nodes[index].name);
        }
    }
}
