//! Purges and settings share one budget for what is published: neither kind may wait for a flood of the other.

mod support;

use rockflow_dissemination::*;
use std::collections::BTreeMap;
use std::time::Duration;
use support::*;
use test_case::test_case;

/// Every member has to apply a setting within this time.
const SETTING_DEADLINE: Duration = Duration::from_secs(4);
const BYTES_PER_SECOND: u64 = 6000;
/// Publications are sent at the bytes per second divided by this number.
const PUBLISH_RATE_DIVISOR: u64 = 6;
/// Unused credit accumulates for at most this many seconds.
const BURST_SECONDS: u64 = 30;

/// A single control node. A second one is configured, to which it sends, but does not run.
struct SinglePublisher {
    now: Duration,
    node: Node,
    /// Number of objects and hosts named so far, each of them once.
    name_count: u64,
    /// When each entry was published.
    published: BTreeMap<EntryId, Duration>,
    /// How long each entry waited to be sent.
    send_delays: BTreeMap<EntryId, Duration>,
    /// Bytes of all batches sent.
    bytes: u64,
    /// The last purge that the heartbeats have advertised.
    advertised: SequenceNumber,
}

impl SinglePublisher {
    fn new() -> SinglePublisher {
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
        SinglePublisher {
            now: s(0),
            node,
            name_count: 0,
            published: BTreeMap::new(),
            send_delays: BTreeMap::new(),
            bytes: 0,
            advertised: SequenceNumber(0),
        }
    }

    fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while self.node.next_due() <= until {
            self.now = self.now.max(self.node.next_due());
            let outputs = self.node.tick(self.now);
            self.record_sent(outputs);
        }
        self.now = until;
    }

    /// Records the batches and the advertised purges among the outputs.
    fn record_sent(&mut self, outputs: Vec<Output>) {
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
                let send_delay = self.now - self.published[&id];
                assert!(self.send_delays.insert(id, send_delay).is_none(), "{id:?} was sent twice");
            }
        }
    }

    fn publish(&mut self, publications: Vec<Publication>) -> Vec<EntryId> {
        let (ids, outputs) = self.node.publish(self.now, publications);
        self.record_sent(outputs);
        self.published.extend(ids.iter().map(|id| (*id, self.now)));
        ids
    }

    /// Publishes purges of this many further objects.
    fn publish_purges(&mut self, count: u64) -> Vec<EntryId> {
        let first = self.name_count;
        self.name_count += count;
        let purge = |object| Publication::Purge { purge: Purge::object(object), age: s(0) };
        self.publish((first..self.name_count).map(purge).collect())
    }

    /// Publishes settings of this many further hosts.
    fn publish_settings(&mut self, count: u64) -> Vec<EntryId> {
        let first = self.name_count;
        self.name_count += count;
        let setting =
            |host| Publication::Setting { host: format!("cache-{host:05}"), desired: DesiredState::Draining };
        self.publish((first..self.name_count).map(setting).collect())
    }

    /// The longest time that one of these entries waited to be sent; the maximum if one was not sent.
    fn longest_send_delay(&self, ids: &[EntryId]) -> Duration {
        let delays = ids.iter().map(|id| self.send_delays.get(id).copied().unwrap_or(Duration::MAX));
        delays.max().unwrap_or_default()
    }
}

#[test_case(4000, 0, 0; "4000 at once")]
#[test_case(16_000, 0, 0; "almost as many at once as may wait")]
#[test_case(0, 245, 60; "490 a second for 30 s")]
fn setting_does_not_wait_for_a_burst_of_purges(at_once: u64, per_heartbeat: u64, heartbeats: u32) {
    let mut publisher = SinglePublisher::new();
    publisher.run(s(60));
    publisher.publish_purges(at_once);
    for _ in 0..heartbeats {
        publisher.publish_purges(per_heartbeat);
        publisher.run(HEARTBEAT_INTERVAL);
    }
    for _ in 0..5 {
        publisher.run(s(1));
        let setting = publisher.publish_settings(1);
        publisher.run(SETTING_DEADLINE);
        let delay = publisher.longest_send_delay(&setting);
        assert!(delay <= HEARTBEAT_INTERVAL, "the setting waited {delay:?}");
    }
}

/// 48 purges a second, along with more settings than can be sent.
#[test_case(4096, 0; "all hosts at once")]
#[test_case(1000, 50; "more hosts at each heartbeat")]
fn purges_do_not_wait_for_a_flood_of_settings(at_once: u64, per_heartbeat: u64) {
    let mut publisher = SinglePublisher::new();
    publisher.run(s(60));
    publisher.publish_settings(at_once);
    let mut purges = Vec::new();
    for _ in 0..240 {
        publisher.publish_settings(per_heartbeat);
        purges.extend(publisher.publish_purges(24));
        publisher.run(HEARTBEAT_INTERVAL);
    }
    publisher.run(PURGE_WINDOW);
    let delay = publisher.longest_send_delay(&purges);
    assert!(delay <= HEARTBEAT_INTERVAL * 4, "a purge waited {delay:?}");
}

/// During a long flood of both kinds, the bytes sent stay within the budget, and both streams advance.
#[test]
fn flood_of_both_stays_within_the_budget() {
    let mut publisher = SinglePublisher::new();
    publisher.run(s(60));
    let mut heartbeats = 0;
    for _ in 0..240 {
        publisher.publish_purges(245);
        publisher.publish_settings(50);
        publisher.run(HEARTBEAT_INTERVAL);
        heartbeats += 1;
        let max_bytes =
            BYTES_PER_SECOND / PUBLISH_RATE_DIVISOR * (BURST_SECONDS * 7 / 6 + heartbeats / 2 + 1) + 2 * 1400;
        assert!(
            publisher.bytes <= max_bytes,
            "{} bytes of {max_bytes} after {heartbeats} heartbeats",
            publisher.bytes
        );
    }
    let sent = |kind| publisher.send_delays.keys().filter(|(stream, _)| stream.kind == kind).count();
    let (purges, settings) = (sent(StreamKind::Purges), sent(StreamKind::Configuration));
    assert!(purges > 3000 && settings > 500, "{purges} purges, {settings} settings");
}

/// A node to which a number was advertised may have requested and applied that entry. No later purge may be folded into
/// it, as the node would not apply it again.
#[test]
fn purge_is_not_folded_into_an_advertised_entry() {
    let mut publisher = SinglePublisher::new();
    publisher.run(s(60));
    publisher.publish_purges(MAX_UNSENT_PUBLICATIONS);
    let mut folded = 0;
    for _ in 0..40 {
        let ids = publisher.publish_purges(400);
        folded += ids.iter().filter(|id| id.1 == ids[399].1).count();
        assert!(
            ids.iter().all(|id| id.1 > publisher.advertised),
            "advertised up to {:?}, {:?}",
            publisher.advertised,
            ids[399]
        );
        publisher.run(HEARTBEAT_INTERVAL / 2);
    }
    assert!(folded > 4000, "{folded}");
}

/// In a small fleet, each member applies a setting in time after a burst of purges.
#[test_case(4000, 0, 0; "4000 at once")]
#[test_case(0, 245, 60; "490 a second for 30 s")]
fn setting_is_applied_in_time_after_a_burst_of_purges(at_once: u64, per_heartbeat: u64, heartbeats: u32) {
    let mut fleet = Fleet::new(3, &[&[5, 3], &[4]], 41);
    fleet.run(s(60));
    let mut object_count = 0;
    let mut publish_purges = |fleet: &mut Fleet, count: u64| {
        let purge = |object| Publication::Purge { purge: Purge::object(object), age: s(0) };
        fleet.publish(0, (object_count..object_count + count).map(purge).collect());
        object_count += count;
    };
    publish_purges(&mut fleet, at_once);
    for _ in 0..heartbeats {
        publish_purges(&mut fleet, per_heartbeat);
        fleet.run(HEARTBEAT_INTERVAL);
    }
    for host in ["a", "b", "c"] {
        fleet.run(s(1));
        fleet.set_desired_state(0, host, DesiredState::Draining);
        fleet.run(SETTING_DEADLINE);
        for index in fleet.members() {
            let desired = fleet.nodes[index].caller.settings.get(host);
            assert_eq!(desired, Some(&DesiredState::Draining), "{host} at {}", fleet.nodes[index].name);
        }
    }
}
