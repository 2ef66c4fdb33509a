//! Whatever is heard: no panic, and no table above its cap.

use rockflow_dissemination::children::{MAX_CHILDREN, MAX_CONTROL_CHILDREN};
use rockflow_dissemination::settings::{MAX_CLOCK, MAX_HEARD, MAX_HOSTS, MAX_KEPT_APART};
use rockflow_dissemination::stream::{MAX_PURGES, MAX_VERSIONS};
use rockflow_dissemination::tickets::MAX_TICKETS;
use rockflow_dissemination::*;
use std::net::SocketAddr;
use std::time::Duration;
use test_case::test_case;

const FRAMES: usize = 100_000;
const LIFE: u64 = 1_800_000_000_000;

struct Chance(oorandom::Rand64, u64);

impl Chance {
    fn below(&mut self, most: u64) -> u64 {
        self.0.rand_range(0..most.max(1))
    }

    fn one_in(&mut self, of: u64) -> bool {
        self.below(of) == 0
    }

    fn some<T>(&mut self, most: u64, mut make: impl FnMut(&mut Chance) -> T) -> Vec<T> {
        let count = if self.one_in(4) { most } else { self.below(most + 1) };
        (0..count).map(|_| make(self)).collect()
    }

    fn number(&mut self) -> Number {
        Number(match self.below(12) {
            0 => 0,
            1 => 1,
            2 => u64::MAX,
            3 => u64::MAX - 1,
            4 => self.0.rand_u64(),
            5 => self.below(100_000),
            _ => self.below(3000),
        })
    }

    fn incarnation(&mut self) -> Incarnation {
        Incarnation(match self.below(12) {
            0 => 0,
            1 => u64::MAX,
            2 => u64::MAX - 1,
            3 => self.0.rand_u64(),
            4 => LIFE + self.below(100),
            5 => MAX_CLOCK - 1 + self.below(3),
            _ => LIFE + self.below(3),
        })
    }

    fn stream(&mut self) -> StreamId {
        let control = ControlId(if self.one_in(10) { self.below(256) as u8 } else { self.below(3) as u8 });
        let kind = if self.one_in(3) { Kind::Configuration } else { Kind::Purges };
        StreamId { control, kind, incarnation: self.incarnation() }
    }

    fn age(&mut self) -> u32 {
        match self.below(6) {
            0 => 0,
            1 => u32::MAX,
            2 => self.0.rand_u64() as u32,
            _ => self.below(20_000) as u32,
        }
    }

    fn stamp(&mut self) -> Stamp {
        let at = match self.below(8) {
            0 => u64::MAX,
            1 => 0,
            2 => self.0.rand_u64(),
            3 => [MAX_HEARD, MAX_CLOCK - 1][self.below(2) as usize] + self.below(3),
            _ => LIFE + self.below(10_000),
        };
        Stamp { at, control: self.below(4) as u8 }
    }

    fn setting(&mut self) -> Setting {
        let host = match self.below(20) {
            0 => String::new(),
            1 => "h".repeat(200),
            _ => format!("host-{}", self.below(self.1)),
        };
        let wanted = [Wanted::Listed, Wanted::Draining, Wanted::Gone][self.below(3) as usize];
        Setting { host, wanted, stamp: self.stamp(), seen: self.stamp() }
    }

    fn entry(&mut self) -> Entry {
        match self.below(4) {
            0 => Entry::Setting(self.setting()),
            1 => Entry::Purge(Purge::Everything),
            2 => Entry::Purge(Purge::Group(self.below(100))),
            _ => Entry::Purge(Purge::object(self.below(1000))),
        }
    }

    fn entries(&mut self, stream: StreamId) -> Vec<Aged> {
        let fits = !self.one_in(10);
        self.some(MAX_ENTRIES as u64, |chance| {
            let entry = match (fits, stream.kind) {
                (true, Kind::Purges) => Entry::Purge(Purge::object(chance.below(1000))),
                (true, Kind::Configuration) => Entry::Setting(chance.setting()),
                _ => chance.entry(),
            };
            Aged { age_ms: chance.age(), entry }
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

    fn report(&mut self) -> Report {
        Report {
            region: if self.one_in(4) { self.0.rand_u64() as u16 } else { self.below(2) as u16 },
            near: self.0.rand_u64() as u32,
            slots: Slots(self.some(200, |chance| chance.0.rand_u64() as u8)),
            in_force: self.some(40, |chance| (chance.stream(), chance.number())),
            behind: self.some(8, |chance| (chance.0.rand_u64() as u16, chance.stream(), chance.number())),
            refused: self.some(8, |chance| (chance.stream(), chance.number(), Refusal::Full, u16::MAX)),
        }
    }

    fn message(&mut self) -> Message {
        let stream = self.stream();
        match self.below(17) {
            0 => Message::Join { directory: self.0.rand_u64() },
            1 => Message::Near {
                directory: self.below(9),
                near: self.below(3) as u32,
                region: self.below(3) as u16,
                slot: if self.one_in(3) { self.0.rand_u64() as u16 } else { self.below(1100) as u16 },
                slots: if self.one_in(3) { self.0.rand_u64() as u16 } else { 1024 },
                parents: self.some(20, |chance| Peer { node: chance.node(), address: chance.address() }),
            },
            2 => Message::Unknown { directory: self.below(9) },
            3 => Message::Ack {
                has: self.some(40, |chance| (chance.stream(), chance.number())),
                reports: self.some(8, |chance| chance.report()),
            },
            4 => Message::Leave,
            5 => Message::Full,
            6 => Message::Pulse {
                stale_ms: self.age(),
                directory: self.number().0,
                near: self.below(3) as u32,
                tips: self.some(40, |chance| {
                    let stream = chance.stream();
                    Tip { stream, first: chance.number(), last: chance.number() }
                }),
                settings: self.one_in(2).then_some(7),
            },
            7..=10 => Message::Batch { stream, first: self.number(), entries: self.entries(stream) },
            11 => Message::Ask { stream, ranges: self.some(20, |chance| (chance.number(), chance.number())) },
            12 => {
                let floor_age_ms = self.one_in(2).then(|| self.age());
                Message::Snapshot { stream, next: self.number(), floor_age_ms }
            }
            13 => Message::WantSettings { part: self.0.rand_u64() as u16 },
            14 => Message::Settings {
                digest: self.below(3) as u32,
                part: if self.one_in(5) { u16::MAX } else { self.below(5) as u16 },
                parts: if self.one_in(5) { u16::MAX } else { self.below(5) as u16 },
                settings: self.some(40, |chance| Version {
                    stream: chance.stream(),
                    number: chance.number(),
                    setting: chance.setting(),
                }),
            },
            15 => Message::Rows {
                directory: self.below(3),
                clock: self.stamp(),
                rows: self.some(10, |chance| Row { report: chance.report(), age_ms: chance.age() }),
            },
            _ => Message::Outlived { control: stream.control, incarnation: stream.incarnation },
        }
    }
}

fn told(control_id: Option<ControlId>) -> Told {
    let name = if control_id.is_some() { "control-1" } else { "m-1" };
    let address = |index: u8| SocketAddr::from(([10, 0, 0, index], 7000));
    let control = |index: u8| Peer { node: NodeId::of(&format!("control-{index}")), address: address(index) };
    Told {
        me: Identity { node: NodeId::of(name), incarnation: Incarnation(LIFE) },
        control_id,
        control: (0..3).map(control).collect(),
        seeds: Vec::new(),
        purge_window: Duration::from_millis(8700),
        bytes_per_second: 6000,
        pulse: Duration::from_millis(500),
    }
}

fn directory() -> Directory {
    let line = |index: u32| format!("m-{index},r{},s{},z,10.0.1.{index}:7000\n", index % 2, index % 5);
    let text: String = (0..20).map(line).collect();
    Directory::parse(&format!("version,1\n{text}")).expect("a directory")
}

fn within_caps(node: &Node, control: bool) {
    let held = node.held();
    let children = if control { MAX_CONTROL_CHILDREN } else { MAX_CHILDREN };
    let caps = [
        ("streams", held.streams, MAX_STREAMS),
        ("purges", held.purges, MAX_PURGES),
        ("versions", held.versions, MAX_VERSIONS),
        ("children", held.children, children),
        ("reports", held.reports, children * MAX_REPORTS),
        ("rows", held.rows, 3 * 2),
        ("hosts", held.hosts, MAX_HOSTS),
        ("kept apart", held.kept_apart, MAX_KEPT_APART),
        ("purge tickets", held.purge_tickets, MAX_TICKETS),
        ("setting tickets", held.setting_tickets, MAX_TICKETS),
        ("candidates", held.candidates, MAX_PARENTS),
    ];
    for (what, is, most) in caps {
        assert!(is <= most, "{what}: {is} of {most}");
    }
}

/// Frames that a decoder would let through are within these.
fn within_frames(message: &Message) {
    match message {
        Message::Ack { has, reports } => {
            assert!(has.len() <= MAX_STREAMS && reports.len() <= MAX_REPORTS);
            for report in reports {
                assert!(report.slots.0.len() <= MAX_SLOTS / 8 && report.in_force.len() <= MAX_STREAMS);
                assert!(report.behind.len() <= MAX_BEHIND && report.refused.len() <= MAX_REFUSED);
            }
        }
        Message::Pulse { tips, .. } => assert!(tips.len() <= MAX_TIPS),
        Message::Batch { entries, .. } => assert!((1..=MAX_ENTRIES).contains(&entries.len())),
        Message::Ask { ranges, .. } => {
            assert!(ranges.len() <= MAX_RANGES && ranges.iter().all(|(from, to)| from <= to));
        }
        Message::Settings { settings, part, parts, .. } => {
            assert!(settings.len() <= MAX_SETTINGS && part < parts);
        }
        Message::Rows { rows, .. } => assert!(rows.len() <= MAX_ROWS),
        Message::Near { parents, .. } => assert!(parents.len() <= MAX_PARENTS),
        _ => {}
    }
}

#[test_case(None, 1, true; "a member whose caller confirms")]
#[test_case(None, 2, false; "a member whose caller never does")]
#[test_case(Some(ControlId(1)), 3, true; "a control node")]
#[test_case(Some(ControlId(200)), 4, true; "a control node that isn't among the told")]
fn random_frames(control_id: Option<ControlId>, seed: u64, confirms: bool) {
    hears(control_id, seed, confirms, FRAMES, 300);
}

/// More hosts than the table holds; fewer frames, as the whole table goes to the caller at each change.
#[test]
fn random_frames_with_more_hosts_than_are_held() {
    let held = hears(None, 5, true, FRAMES / 10, 9000);
    assert!(held.hosts > MAX_HOSTS / 2, "{held:?}");
}

fn hears(control_id: Option<ControlId>, seed: u64, confirms: bool, frames: usize, hosts: u64) -> HeldNow {
    let mut chance = Chance(oorandom::Rand64::new(u128::from(seed)), hosts);
    let mut now = Duration::from_secs(1);
    let mut node = Node::new(told(control_id), control_id.map(|_| directory()), seed, now);
    let mut outs = node.start(now);
    for frame in 0..frames {
        for out in std::mem::take(&mut outs) {
            match out {
                Out::Send { message, .. } => within_frames(&message),
                Out::Purge { ticket, .. } if confirms => drop(node.in_effect(now, ticket)),
                Out::Configure { changed, ticket, .. } if confirms => {
                    if let Some((id, _)) = changed.first().filter(|_| frame % 3 == 0) {
                        node.refuse(now, *id, Refusal::LastOne);
                    }
                    node.in_effect(now, ticket);
                }
                _ => {}
            }
        }
        now += Duration::from_millis(chance.below(20));
        if chance.one_in(5000) {
            now += Duration::from_secs(chance.below(120));
        }
        if now >= node.next_due() {
            outs.extend(node.tick(now));
        }
        let from = Identity { node: chance.node(), incarnation: chance.incarnation() };
        let (at, message) = (chance.address(), chance.message());
        outs.extend(node.hear(now, from, at, message));
        if chance.one_in(500) {
            let publications = chance.some(3, |chance| match chance.below(2) {
                0 => {
                    Publication::Purge { purge: Purge::Group(1), age: Duration::from_secs(chance.below(99)) }
                }
                _ => Publication::Setting { host: chance.setting().host, wanted: Wanted::Gone },
            });
            outs.extend(node.publish(now, publications).1);
        }
        if frame % 1000 == 0 {
            within_caps(&node, control_id.is_some());
            node.survey(now);
        }
    }
    within_caps(&node, control_id.is_some());
    let counts = node.counts();
    assert!(counts.taken > 0 && counts.not_taken > 0 && counts.stood_still > 0, "{counts:?}");
    node.held()
}
