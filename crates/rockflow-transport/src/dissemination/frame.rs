//! What a datagram of dissemination holds: who sends it, and messages in the order of their sending. What comes from
//! others is judged here, strictly and once.

use crate::datagram::{Fault, Head, MAX_MESSAGES};
use rockflow_dissemination::MAX_CLOCK_UNIX_MS;
use rockflow_dissemination::*;
use serde::Serialize;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

pub const VERSION: u8 = 2;
const MAGIC: [u8; 2] = [0x72, 0x64];
/// Guards against a peer's life or number from which nobody could go on: Unix milliseconds till the year 2248, and more
/// numbers than any life gives out.
pub const MAX_INCARNATION: u64 = 1 << 43;
pub const MAX_NUMBER: u64 = 1 << 53;
/// Parts of a table of settings.
pub const MAX_TABLE_PARTS: u16 = 4096;

/// What is known beforehand of all that may come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The fleet's name, hashed.
    pub fleet: u32,
    /// How many control nodes were told.
    pub controls: usize,
    /// Whether only addresses of the loopback may be named.
    pub loopback: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    pub from: Identity,
    pub messages: Vec<Message>,
}

impl Bounds {
    pub fn new(fleet: &str, controls: usize, loopback: bool) -> Bounds {
        Bounds { fleet: crc32fast::hash(fleet.as_bytes()), controls, loopback }
    }

    fn head(&self) -> Head {
        Head { mark: MAGIC, version: VERSION, fleet: self.fleet }
    }

    /// Packs messages to one peer into datagrams, in order. What does not fit even alone is left out, and counted.
    pub fn encode(&self, from: Identity, messages: &[Message]) -> (Vec<Vec<u8>>, usize) {
        self.head().pack(&written(&from), messages)
    }

    pub fn decode(&self, bytes: &[u8]) -> Result<Frame, Fault> {
        let inner = self.head().open(bytes)?;
        let (from, rest) = taken::<Identity>(inner)?;
        incarnation(from.incarnation)?;
        let (count, mut rest) = taken::<usize>(rest)?;
        at_most(count, MAX_MESSAGES)?;
        let mut messages = Vec::with_capacity(count);
        for _ in 0..count {
            let (message, behind) = taken::<Message>(rest)?;
            self.message(&message)?;
            messages.push(message);
            rest = behind;
        }
        ensure(rest.is_empty(), Fault::Unreadable)?;
        Ok(Frame { from, messages })
    }

    fn message(&self, message: &Message) -> Result<(), Fault> {
        match message {
            Message::Join { .. } | Message::NotListed { .. } | Message::Leave | Message::Full => Ok(()),
            Message::Probe | Message::ProbeReply { .. } => Ok(()),
            Message::Placement { slot, slots, parents, .. } => {
                range(*slots, 1..=MAX_SLOTS as u16)?;
                ensure(slot < slots, Fault::OutOfRange)?;
                all(parents, MAX_PARENTS, |peer| self.address(peer.address))
            }
            Message::Acknowledgement { received, reports } => {
                all(received, MAX_STREAMS, |held| self.held(held))?;
                all(reports, MAX_REPORTS, |report| self.report(report))
            }
            Message::Heartbeat { tips, .. } => all(tips, MAX_TIPS, |tip| self.tip(tip)),
            Message::Batch { stream, first, entries } => self.batch(stream, *first, entries),
            Message::RepairRequest { stream, ranges } => {
                self.stream(stream)?;
                all(ranges, MAX_RANGES, |(first, last)| span(*first, *last))
            }
            Message::Snapshot { stream, next, .. } => {
                self.stream(stream)?;
                numbered(*next)
            }
            Message::SettingsRequest { part } => ensure(*part < MAX_TABLE_PARTS, Fault::OutOfRange),
            Message::SettingsPart { part, parts, settings, .. } => {
                range(*parts, 1..=MAX_TABLE_PARTS)?;
                ensure(part < parts, Fault::OutOfRange)?;
                all(settings, MAX_SETTINGS_PER_PART, |version| self.version(version))
            }
            Message::RegionReports { clock, reports: rows, .. } => {
                self.stamp(*clock)?;
                all(rows, MAX_REGION_REPORTS, |row| self.report(&row.report))
            }
            Message::SupersededIncarnation { control, incarnation: life } => {
                self.control(*control)?;
                incarnation(*life)
            }
        }
    }

    fn batch(&self, stream: &StreamId, first: SequenceNumber, entries: &[AgedEntry]) -> Result<(), Fault> {
        self.stream(stream)?;
        numbered(first)?;
        some(entries, MAX_BATCH_ENTRIES, |aged| match (&aged.entry, stream.kind) {
            (Entry::Purge(_), StreamKind::Purges) => Ok(()),
            (Entry::Setting(setting), StreamKind::Configuration) => self.setting(setting),
            _ => Err(Fault::Kind),
        })
    }

    fn control(&self, control: ControlId) -> Result<(), Fault> {
        ensure(usize::from(control.0) < self.controls, Fault::OutOfRange)
    }

    fn stream(&self, stream: &StreamId) -> Result<(), Fault> {
        self.control(stream.control)?;
        incarnation(stream.incarnation)
    }

    /// The first may be the one behind the last: nothing is held.
    fn tip(&self, tip: &StreamTip) -> Result<(), Fault> {
        self.stream(&tip.stream)?;
        numbered(tip.first)?;
        ensure(tip.last.0 <= MAX_NUMBER && tip.first <= tip.last.next(), Fault::OutOfRange)
    }

    fn held(&self, (stream, number): &(StreamId, SequenceNumber)) -> Result<(), Fault> {
        self.stream(stream)?;
        ensure(number.0 <= MAX_NUMBER, Fault::OutOfRange)
    }

    fn report(&self, report: &SubtreeReport) -> Result<(), Fault> {
        at_most(report.slots.0.len(), MAX_SLOTS / 8)?;
        all(&report.applied, MAX_STREAMS, |held| self.held(held))?;
        all(&report.lagging, MAX_LAGGING, |(slot, stream, number)| {
            ensure(usize::from(*slot) < MAX_SLOTS, Fault::OutOfRange)?;
            self.held(&(*stream, *number))
        })?;
        all(&report.rejected, MAX_REJECTED, |(stream, number, _, members)| {
            ensure(stream.kind == StreamKind::Configuration, Fault::Kind)?;
            ensure(usize::from(*members) <= MAX_SLOTS, Fault::OutOfRange)?;
            self.stream(stream)?;
            numbered(*number)
        })
    }

    fn version(&self, version: &SettingVersion) -> Result<(), Fault> {
        ensure(version.stream.kind == StreamKind::Configuration, Fault::Kind)?;
        self.stream(&version.stream)?;
        numbered(version.number)?;
        self.setting(&version.setting)
    }

    fn setting(&self, setting: &HostSetting) -> Result<(), Fault> {
        ensure((1..=MAX_NAME_BYTES).contains(&setting.host.len()), Fault::Name)?;
        self.stamp(setting.timestamp)?;
        self.stamp(setting.replaced)?;
        ensure(setting.timestamp > setting.replaced, Fault::OutOfRange)
    }

    fn stamp(&self, stamp: HybridTimestamp) -> Result<(), Fault> {
        ensure(stamp.unix_ms <= MAX_CLOCK_UNIX_MS, Fault::OutOfRange)?;
        self.control(ControlId(stamp.control))
    }

    fn address(&self, at: SocketAddr) -> Result<(), Fault> {
        let reached = at.port() > 0 && !at.ip().is_unspecified() && !at.ip().is_multicast();
        ensure(reached && (!self.loopback || at.ip().is_loopback()), Fault::Address)
    }
}

fn written(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).expect("an identity is always written")
}

fn taken<'a, T: serde::Deserialize<'a>>(bytes: &'a [u8]) -> Result<(T, &'a [u8]), Fault> {
    postcard::take_from_bytes(bytes).map_err(|_| Fault::Unreadable)
}

fn ensure(holds: bool, fault: Fault) -> Result<(), Fault> {
    holds.then_some(()).ok_or(fault)
}

fn at_most(count: usize, most: usize) -> Result<(), Fault> {
    ensure(count <= most, Fault::Amount)
}

fn all<T>(items: &[T], most: usize, each: impl Fn(&T) -> Result<(), Fault>) -> Result<(), Fault> {
    at_most(items.len(), most)?;
    items.iter().try_for_each(each)
}

/// The same where none would say nothing.
fn some<T>(items: &[T], most: usize, each: impl Fn(&T) -> Result<(), Fault>) -> Result<(), Fault> {
    ensure(!items.is_empty(), Fault::Amount)?;
    all(items, most, each)
}

fn range(value: u16, allowed: RangeInclusive<u16>) -> Result<(), Fault> {
    ensure(allowed.contains(&value), Fault::OutOfRange)
}

fn numbered(number: SequenceNumber) -> Result<(), Fault> {
    ensure((1..=MAX_NUMBER).contains(&number.0), Fault::OutOfRange)
}

fn span(first: SequenceNumber, last: SequenceNumber) -> Result<(), Fault> {
    numbered(first)?;
    numbered(last)?;
    ensure(first <= last, Fault::OutOfRange)
}

fn incarnation(life: Incarnation) -> Result<(), Fault> {
    ensure((1..=MAX_INCARNATION).contains(&life.0), Fault::OutOfRange)
}
