//! Sends random and malformed messages to a node: it must not panic, and no table may exceed its limit.

use rockflow_dissemination::MAX_PENDING_TOKENS;
use rockflow_dissemination::*;
use rockflow_dissemination::{MAX_CHILDREN, MAX_CONTROL_CHILDREN};
use rockflow_dissemination::{MAX_CLOCK_UNIX_MS, MAX_HOSTS, MAX_QUARANTINED, MAX_TRUSTED_CLOCK_UNIX_MS};
use rockflow_dissemination::{MAX_CONFIGURATION_LOG_ENTRIES, MAX_PURGE_LOG_ENTRIES};
use std::net::SocketAddr;
use std::time::Duration;
use test_case::test_case;

const MESSAGE_COUNT: usize = 100_000;
const INCARNATION: u64 = 1_800_000_000_000;

/// Generates random messages, with impossible values in part of them.
struct MessageGenerator {
    rng: oorandom::Rand64,
    /// Number of different hosts that valid settings name.
    host_count: u64,
}

impl MessageGenerator {
    fn below(&mut self, bound: u64) -> u64 {
        self.rng.rand_range(0..bound.max(1))
    }

    /// Returns true with a probability of one in `count`.
    fn one_in(&mut self, count: u64) -> bool {
        self.below(count) == 0
    }

    /// Makes up to `max_len` values; at least a quarter of the lists have the full length.
    fn list<T>(&mut self, max_len: u64, mut make: impl FnMut(&mut MessageGenerator) -> T) -> Vec<T> {
        let count = if self.one_in(4) { max_len } else { self.below(max_len + 1) };
        (0..count).map(|_| make(self)).collect()
    }

    fn number(&mut self) -> SequenceNumber {
        SequenceNumber(match self.below(12) {
            0 => 0,
            1 => 1,
            2 => u64::MAX,
            3 => u64::MAX - 1,
            4 => self.rng.rand_u64(),
            5 => self.below(100_000),
            _ => self.below(3000),
        })
    }

    fn incarnation(&mut self) -> Incarnation {
        Incarnation(match self.below(12) {
            0 => 0,
            1 => u64::MAX,
            2 => u64::MAX - 1,
            3 => self.rng.rand_u64(),
            4 => INCARNATION + self.below(100),
            5 => MAX_CLOCK_UNIX_MS - 1 + self.below(3),
            _ => INCARNATION + self.below(3),
        })
    }

    fn stream(&mut self) -> StreamId {
        let control = ControlId(if self.one_in(10) { self.below(256) as u8 } else { self.below(3) as u8 });
        let kind = if self.one_in(3) { StreamKind::Configuration } else { StreamKind::Purges };
        StreamId { control, kind, incarnation: self.incarnation() }
    }

    fn age(&mut self) -> u32 {
        match self.below(6) {
            0 => 0,
            1 => u32::MAX,
            2 => self.rng.rand_u64() as u32,
            _ => self.below(20_000) as u32,
        }
    }

    fn timestamp(&mut self) -> HybridTimestamp {
        let unix_ms = match self.below(8) {
            0 => u64::MAX,
            1 => 0,
            2 => self.rng.rand_u64(),
            3 => [MAX_TRUSTED_CLOCK_UNIX_MS, MAX_CLOCK_UNIX_MS - 1][self.below(2) as usize] + self.below(3),
            _ => INCARNATION + self.below(10_000),
        };
        HybridTimestamp { unix_ms, control: self.below(4) as u8 }
    }

    fn setting(&mut self) -> HostSetting {
        let host = match self.below(20) {
            0 => String::new(),
            1 => "h".repeat(200),
            _ => format!("host-{}", self.below(self.host_count)),
        };
        let desired =
            [DesiredState::Listed, DesiredState::Draining, DesiredState::Gone][self.below(3) as usize];
        HostSetting { host, desired, timestamp: self.timestamp(), replaced: self.timestamp() }
    }

    fn entry(&mut self) -> Entry {
        match self.below(4) {
            0 => Entry::Setting(self.setting()),
            1 => Entry::Purge(Purge::Everything),
            2 => Entry::Purge(Purge::Group(self.below(100))),
            _ => Entry::Purge(Purge::object(self.below(1000))),
        }
    }

    fn entries(&mut self, stream: StreamId) -> Vec<AgedEntry> {
        let has_stream_kind = !self.one_in(10);
        self.list(MAX_BATCH_ENTRIES as u64, |generator| {
            let entry = match (has_stream_kind, stream.kind) {
                (true, StreamKind::Purges) => Entry::Purge(Purge::object(generator.below(1000))),
                (true, StreamKind::Configuration) => Entry::Setting(generator.setting()),
                _ => generator.entry(),
            };
            AgedEntry { age_ms: generator.age(), entry }
        })
    }

    fn address(&mut self) -> SocketAddr {
        SocketAddr::from(([10, 0, self.below(3) as u8, self.below(256) as u8], 7000))
    }

    fn node(&mut self) -> NodeId {
        match self.below(4) {
            0 => NodeId::of(&format!("control-{}", self.below(3))),
            1 => NodeId::of(&format!("m-{}", self.below(20))),
            _ => NodeId(self.below(600)),
        }
    }

    fn report(&mut self) -> SubtreeReport {
        SubtreeReport {
            region: if self.one_in(4) { self.rng.rand_u64() as u16 } else { self.below(2) as u16 },
            listing_hash: self.rng.rand_u64() as u32,
            slots: SlotSet(self.list(200, |generator| generator.rng.rand_u64() as u8)),
            applied: self.list(40, |generator| (generator.stream(), generator.number())),
            lagging: self.list(8, |generator| {
                (generator.rng.rand_u64() as u16, generator.stream(), generator.number())
            }),
            rejected: self.list(8, |generator| {
                (generator.stream(), generator.number(), RejectionReason::Full, u16::MAX)
            }),
        }
    }

    fn message(&mut self) -> Message {
        let stream = self.stream();
        match self.below(17) {
            0 => Message::Join { directory_version: self.rng.rand_u64() },
            1 => Message::Placement {
                directory_version: self.below(9),
                listing_hash: self.below(3) as u32,
                region: self.below(3) as u16,
                slot: if self.one_in(3) { self.rng.rand_u64() as u16 } else { self.below(1100) as u16 },
                slots: if self.one_in(3) { self.rng.rand_u64() as u16 } else { 1024 },
                parents: self
                    .list(20, |generator| Peer { node: generator.node(), address: generator.address() }),
            },
            2 => Message::NotListed { directory_version: self.below(9) },
            3 => Message::Acknowledgement {
                received: self.list(40, |generator| (generator.stream(), generator.number())),
                reports: self.list(8, |generator| generator.report()),
            },
            4 => Message::Leave,
            5 => Message::Full,
            6 => Message::Heartbeat {
                staleness_ms: self.age(),
                directory_version: self.number().0,
                listing_hash: self.below(3) as u32,
                tips: self.list(40, |generator| {
                    let stream = generator.stream();
                    StreamTip { stream, first: generator.number(), last: generator.number() }
                }),
                settings_digest: self.one_in(2).then_some(7),
            },
            7..=10 => Message::Batch { stream, first: self.number(), entries: self.entries(stream) },
            11 => Message::RepairRequest {
                stream,
                ranges: self.list(20, |generator| (generator.number(), generator.number())),
            },
            12 => {
                let min_accepted_age_ms = self.one_in(2).then(|| self.age());
                Message::Snapshot { stream, next: self.number(), min_accepted_age_ms }
            }
            13 => Message::SettingsRequest { part: self.rng.rand_u64() as u16 },
            14 => Message::SettingsPart {
                digest: self.below(3) as u32,
                part: if self.one_in(5) { u16::MAX } else { self.below(5) as u16 },
                parts: if self.one_in(5) { u16::MAX } else { self.below(5) as u16 },
                settings: self.list(40, |generator| SettingVersion {
                    stream: generator.stream(),
                    number: generator.number(),
                    setting: generator.setting(),
                }),
            },
            15 => Message::RegionReports {
                directory_version: self.below(3),
                clock: self.timestamp(),
                reports: self.list(10, |generator| RegionReport {
                    report: generator.report(),
                    age_ms: generator.age(),
                }),
            },
            _ => Message::SupersededIncarnation { control: stream.control, incarnation: stream.incarnation },
        }
    }
}

fn config(control_id: Option<ControlId>) -> NodeConfig {
    let name = if control_id.is_some() { "control-1" } else { "m-1" };
    let address = |index: u8| SocketAddr::from(([10, 0, 0, index], 7000));
    let control = |index: u8| Peer { node: NodeId::of(&format!("control-{index}")), address: address(index) };
    NodeConfig {
        identity: Identity { node: NodeId::of(name), incarnation: Incarnation(INCARNATION) },
        control_id,
        control: (0..3).map(control).collect(),
        seeds: Vec::new(),
        purge_window: Duration::from_millis(8700),
        bytes_per_second: 6000,
        heartbeat_interval: Duration::from_millis(500),
    }
}

fn directory() -> Directory {
    let line = |index: u32| format!("m-{index},r{},s{},z,10.0.1.{index}:7000\n", index % 2, index % 5);
    let text: String = (0..20).map(line).collect();
    Directory::parse(&format!("version,1\n{text}")).expect("a directory")
}

fn assert_within_limits(node: &Node, is_control: bool) {
    let usage = node.resource_usage();
    let max_children = if is_control { MAX_CONTROL_CHILDREN } else { MAX_CHILDREN };
    let limits = [
        ("streams", usage.streams, MAX_STREAMS),
        ("purge log entries", usage.purge_log_entries, MAX_PURGE_LOG_ENTRIES),
        ("configuration log entries", usage.configuration_log_entries, MAX_CONFIGURATION_LOG_ENTRIES),
        ("children", usage.children, max_children),
        ("reports", usage.reports, max_children * MAX_REPORTS),
        ("region reports", usage.region_reports, 3 * 2),
        ("hosts", usage.hosts, MAX_HOSTS),
        ("quarantined settings", usage.quarantined, MAX_QUARANTINED),
        ("pending purge tokens", usage.pending_purges, MAX_PENDING_TOKENS),
        ("pending setting tokens", usage.pending_settings, MAX_PENDING_TOKENS),
        ("candidates", usage.candidates, MAX_PARENTS),
    ];
    for (table, size, limit) in limits {
        assert!(size <= limit, "{table}: {size}, limit {limit}");
    }
}

/// Checks a sent message against the limits above which a decoder rejects it.
fn assert_message_within_limits(message: &Message) {
    match message {
        Message::Acknowledgement { received, reports } => {
            assert!(received.len() <= MAX_STREAMS && reports.len() <= MAX_REPORTS);
            for report in reports {
                assert!(report.slots.0.len() <= MAX_SLOTS / 8 && report.applied.len() <= MAX_STREAMS);
                assert!(report.lagging.len() <= MAX_LAGGING && report.rejected.len() <= MAX_REJECTED);
            }
        }
        Message::Heartbeat { tips, .. } => assert!(tips.len() <= MAX_TIPS),
        Message::Batch { entries, .. } => assert!((1..=MAX_BATCH_ENTRIES).contains(&entries.len())),
        Message::RepairRequest { ranges, .. } => {
            assert!(ranges.len() <= MAX_RANGES && ranges.iter().all(|(first, last)| first <= last));
        }
        Message::SettingsPart { settings, part, parts, .. } => {
            assert!(settings.len() <= MAX_SETTINGS_PER_PART && part < parts);
        }
        Message::RegionReports { reports, .. } => assert!(reports.len() <= MAX_REGION_REPORTS),
        Message::Placement { parents, .. } => assert!(parents.len() <= MAX_PARENTS),
        _ => {}
    }
}

#[test_case(None, 1, true; "a member whose caller confirms tokens")]
#[test_case(None, 2, false; "a member whose caller never confirms tokens")]
#[test_case(Some(ControlId(1)), 3, true; "a control node")]
#[test_case(Some(ControlId(200)), 4, true; "a control node that isn't in the list of control nodes")]
fn random_messages_stay_within_limits(control_id: Option<ControlId>, seed: u64, confirms: bool) {
    run_random_messages(control_id, seed, confirms, MESSAGE_COUNT, 300);
}

/// Settings name more hosts than the table holds. The run is shorter, as the caller gets the whole table at each
/// change.
#[test]
fn random_messages_with_too_many_hosts_stay_within_limits() {
    let usage = run_random_messages(None, 5, true, MESSAGE_COUNT / 10, 9000);
    assert!(usage.hosts > MAX_HOSTS / 2, "{usage:?}");
}

fn run_random_messages(
    control_id: Option<ControlId>,
    seed: u64,
    confirms: bool,
    message_count: usize,
    host_count: u64,
) -> ResourceUsage {
    let mut generator = MessageGenerator { rng: oorandom::Rand64::new(u128::from(seed)), host_count };
    let mut now = Duration::from_secs(1);
    let mut node = Node::new(config(control_id), control_id.map(|_| directory()), seed, now);
    let mut outputs = node.start(now);
    for index in 0..message_count {
        for out in std::mem::take(&mut outputs) {
            match out {
                Output::Send { message, .. } => assert_message_within_limits(&message),
                Output::Purge { token, .. } if confirms => drop(node.confirm_applied(now, token)),
                Output::Configure { changed, token, .. } if confirms => {
                    if let Some((id, _)) = changed.first().filter(|_| index % 3 == 0) {
                        node.reject(now, *id, RejectionReason::LastOne);
                    }
                    node.confirm_applied(now, token);
                }
                _ => {}
            }
        }
        now += Duration::from_millis(generator.below(20));
        if generator.one_in(5000) {
            now += Duration::from_secs(generator.below(120));
        }
        if now >= node.next_due() {
            outputs.extend(node.tick(now));
        }
        let from = Identity { node: generator.node(), incarnation: generator.incarnation() };
        let (address, message) = (generator.address(), generator.message());
        outputs.extend(node.on_message(now, from, address, message));
        if generator.one_in(500) {
            let publications = generator.list(3, |generator| match generator.below(2) {
                0 => Publication::Purge {
                    purge: Purge::Group(1),
                    age: Duration::from_secs(generator.below(99)),
                },
                _ => Publication::Setting { host: generator.setting().host, desired: DesiredState::Gone },
            });
            outputs.extend(node.publish(now, publications).1);
        }
        if index % 1000 == 0 {
            assert_within_limits(&node, control_id.is_some());
            node.status(now);
        }
    }
    assert_within_limits(&node, control_id.is_some());
    let counters = node.counters();
    assert!(
        counters.accepted > 0 && counters.entries_rejected > 0 && counters.process_pauses > 0,
        "{counters:?}"
    );
    node.resource_usage()
}
