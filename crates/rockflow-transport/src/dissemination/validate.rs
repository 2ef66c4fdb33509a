//! Validation of received messages: a node only gets messages in which each list length, number, name and address is
//! within its limits.

use crate::datagram::DatagramError;
use crate::dissemination::frame::{AddressScope, MAX_INCARNATION, MAX_NUMBER, MAX_TABLE_PARTS};
use rockflow_dissemination::{
    AgedEntry, ControlId, Entry, HostSetting, HybridTimestamp, Incarnation, Message, SequenceNumber,
    SettingVersion, StreamId, StreamKind, StreamTip, SubtreeReport, MAX_BATCH_ENTRIES, MAX_CLOCK_UNIX_MS,
    MAX_LAGGING, MAX_NAME_BYTES, MAX_PARENTS, MAX_RANGES, MAX_REGION_REPORTS, MAX_REJECTED, MAX_REPORTS,
    MAX_SETTINGS_PER_PART, MAX_SLOTS, MAX_STREAMS, MAX_TIPS,
};
use std::net::SocketAddr;

type Check = Result<(), DatagramError>;

/// The limits that depend on the configuration, for checks of received messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Limits {
    pub control_count: usize,
    pub addresses: AddressScope,
}

impl Limits {
    /// Checks all lists and values of a message.
    pub fn check(&self, message: &Message) -> Check {
        match message {
            Message::Join { .. } | Message::NotListed { .. } | Message::Leave | Message::Full => Ok(()),
            Message::Probe | Message::ProbeReply { .. } => Ok(()),
            Message::Placement { slot, slots, parents, .. } => {
                ensure((1..=MAX_SLOTS as u16).contains(slots), DatagramError::OutOfRange)?;
                ensure(slot < slots, DatagramError::OutOfRange)?;
                each(parents, MAX_PARENTS, |peer| self.address(peer.address))
            }
            Message::Acknowledgement { received, reports } => {
                each(received, MAX_STREAMS, |(stream, number)| self.position(stream, *number))?;
                each(reports, MAX_REPORTS, |report| self.report(report))
            }
            Message::Heartbeat { tips, .. } => each(tips, MAX_TIPS, |tip| self.tip(tip)),
            Message::Batch { stream, first, entries } => self.batch(stream, *first, entries),
            Message::RepairRequest { stream, ranges } => {
                self.stream(stream)?;
                each(ranges, MAX_RANGES, |(first, last)| range(*first, *last))
            }
            Message::Snapshot { stream, next, .. } => {
                self.stream(stream)?;
                entry_number(*next)
            }
            Message::SettingsRequest { part } => ensure(*part < MAX_TABLE_PARTS, DatagramError::OutOfRange),
            Message::SettingsPart { part, parts, settings, .. } => {
                ensure((1..=MAX_TABLE_PARTS).contains(parts), DatagramError::OutOfRange)?;
                ensure(part < parts, DatagramError::OutOfRange)?;
                each(settings, MAX_SETTINGS_PER_PART, |version| self.version(version))
            }
            Message::RegionReports { clock, reports, .. } => {
                self.timestamp(*clock)?;
                each(reports, MAX_REGION_REPORTS, |region| self.report(&region.report))
            }
            Message::SupersededIncarnation { control, incarnation: superseding } => {
                self.control(*control)?;
                incarnation(*superseding)
            }
        }
    }

    fn batch(&self, stream: &StreamId, first: SequenceNumber, entries: &[AgedEntry]) -> Check {
        self.stream(stream)?;
        entry_number(first)?;
        ensure(!entries.is_empty(), DatagramError::WrongCount)?;
        each(entries, MAX_BATCH_ENTRIES, |aged| match (&aged.entry, stream.kind) {
            (Entry::Purge(_), StreamKind::Purges) => Ok(()),
            (Entry::Setting(setting), StreamKind::Configuration) => self.setting(setting),
            _ => Err(DatagramError::WrongKind),
        })
    }

    fn control(&self, control: ControlId) -> Check {
        ensure(usize::from(control.0) < self.control_count, DatagramError::OutOfRange)
    }

    fn stream(&self, stream: &StreamId) -> Check {
        self.control(stream.control)?;
        incarnation(stream.incarnation)
    }

    /// Checks the range of numbers in a sender's log. An empty log has a first number one above the last.
    fn tip(&self, tip: &StreamTip) -> Check {
        self.stream(&tip.stream)?;
        entry_number(tip.first)?;
        ensure(tip.last.0 <= MAX_NUMBER && tip.first <= tip.last.next(), DatagramError::OutOfRange)
    }

    /// Checks the last number that is received or applied of a stream. 0 means that none is.
    fn position(&self, stream: &StreamId, number: SequenceNumber) -> Check {
        self.stream(stream)?;
        ensure(number.0 <= MAX_NUMBER, DatagramError::OutOfRange)
    }

    fn report(&self, report: &SubtreeReport) -> Check {
        ensure(report.slots.0.len() <= MAX_SLOTS / 8, DatagramError::WrongCount)?;
        each(&report.applied, MAX_STREAMS, |(stream, number)| self.position(stream, *number))?;
        each(&report.lagging, MAX_LAGGING, |(slot, stream, number)| {
            ensure(usize::from(*slot) < MAX_SLOTS, DatagramError::OutOfRange)?;
            self.position(stream, *number)
        })?;
        each(&report.rejected, MAX_REJECTED, |(stream, number, _, members)| {
            ensure(stream.kind == StreamKind::Configuration, DatagramError::WrongKind)?;
            ensure(usize::from(*members) <= MAX_SLOTS, DatagramError::OutOfRange)?;
            self.stream(stream)?;
            entry_number(*number)
        })
    }

    fn version(&self, version: &SettingVersion) -> Check {
        ensure(version.stream.kind == StreamKind::Configuration, DatagramError::WrongKind)?;
        self.stream(&version.stream)?;
        entry_number(version.number)?;
        self.setting(&version.setting)
    }

    fn setting(&self, setting: &HostSetting) -> Check {
        ensure((1..=MAX_NAME_BYTES).contains(&setting.host.len()), DatagramError::InvalidName)?;
        self.timestamp(setting.timestamp)?;
        self.timestamp(setting.replaced)?;
        ensure(setting.timestamp > setting.replaced, DatagramError::OutOfRange)
    }

    fn timestamp(&self, timestamp: HybridTimestamp) -> Check {
        ensure(timestamp.unix_ms <= MAX_CLOCK_UNIX_MS, DatagramError::OutOfRange)?;
        self.control(ControlId(timestamp.control))
    }

    /// Checks that the address can be one of a node: unicast, with a port, and in the allowed scope.
    fn address(&self, address: SocketAddr) -> Check {
        let ip = address.ip();
        let is_reachable = address.port() > 0 && !ip.is_unspecified() && !ip.is_multicast();
        let is_in_scope = self.addresses == AddressScope::Any || ip.is_loopback();
        ensure(is_reachable && is_in_scope, DatagramError::InvalidAddress)
    }
}

/// Checks that an incarnation is at least 1 and at most [`MAX_INCARNATION`].
pub(super) fn incarnation(incarnation: Incarnation) -> Check {
    ensure((1..=MAX_INCARNATION).contains(&incarnation.0), DatagramError::OutOfRange)
}

/// Checks the number of an entry. Numbers start at 1.
fn entry_number(number: SequenceNumber) -> Check {
    ensure((1..=MAX_NUMBER).contains(&number.0), DatagramError::OutOfRange)
}

fn range(first: SequenceNumber, last: SequenceNumber) -> Check {
    entry_number(first)?;
    entry_number(last)?;
    ensure(first <= last, DatagramError::OutOfRange)
}

fn ensure(holds: bool, error: DatagramError) -> Check {
    holds.then_some(()).ok_or(error)
}

/// Checks that there are at most `max` items, and each of them with `check`.
fn each<T>(items: &[T], max: usize, check: impl Fn(&T) -> Check) -> Check {
    ensure(items.len() <= max, DatagramError::WrongCount)?;
    items.iter().try_for_each(check)
}
