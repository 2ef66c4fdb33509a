//! Validation of received messages: a node only gets messages in which each list length, number, name and address is
//! within its limits.

use crate::datagram::DatagramError;
use crate::dissemination::frame::{AddressScope, MAX_INCARNATION, MAX_SEQUENCE_NUMBER, MAX_SETTINGS_PARTS};
use rockflow_dissemination::{
    AgedEntry, ControlId, Entry, HostSetting, HybridTimestamp, Incarnation, Message, SequenceNumber,
    SettingVersion, StreamId, StreamKind, StreamTip, SubtreeReport, MAX_BATCH_ENTRIES, MAX_CLOCK_UNIX_MS,
    MAX_LAGGING, MAX_NAME_BYTES, MAX_PARENTS, MAX_RANGES, MAX_REGION_REPORTS, MAX_REJECTED, MAX_REPORTS,
    MAX_SETTINGS_PER_PART, MAX_SLOTS, MAX_STREAMS, MAX_TIPS,
};
use std::net::SocketAddr;

type CheckResult = Result<(), DatagramError>;

/// The limits that depend on the configuration, for checks of received messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Limits {
    pub control_count: usize,
    pub addresses: AddressScope,
}

impl Limits {
    /// Checks all lists and values of a message.
    pub fn check(&self, message: &Message) -> CheckResult {
        match message {
            Message::Join { .. } | Message::NotListed { .. } | Message::Leave | Message::Full => Ok(()),
            Message::Probe | Message::ProbeReply { .. } => Ok(()),
            Message::Placement { slot, slots, parents, .. } => {
                ensure((1..=MAX_SLOTS as u16).contains(slots), DatagramError::OutOfRange)?;
                ensure(slot < slots, DatagramError::OutOfRange)?;
                check_each(parents, MAX_PARENTS, |peer| self.check_address(peer.address))
            }
            Message::Acknowledgement { received, reports } => {
                check_each(received, MAX_STREAMS, |(stream, number)| self.check_position(stream, *number))?;
                check_each(reports, MAX_REPORTS, |report| self.check_report(report))
            }
            Message::Heartbeat { tips, .. } => check_each(tips, MAX_TIPS, |tip| self.check_tip(tip)),
            Message::Batch { stream, first, entries } => self.check_batch(stream, *first, entries),
            Message::RepairRequest { stream, ranges } => {
                self.check_stream(stream)?;
                check_each(ranges, MAX_RANGES, |(first, last)| check_entry_range(*first, *last))
            }
            Message::Snapshot { stream, next, .. } => {
                self.check_stream(stream)?;
                check_entry_number(*next)
            }
            Message::SettingsRequest { part } => {
                ensure(*part < MAX_SETTINGS_PARTS, DatagramError::OutOfRange)
            }
            Message::SettingsPart { part, parts, settings, .. } => {
                ensure((1..=MAX_SETTINGS_PARTS).contains(parts), DatagramError::OutOfRange)?;
                ensure(part < parts, DatagramError::OutOfRange)?;
                check_each(settings, MAX_SETTINGS_PER_PART, |version| self.check_version(version))
            }
            Message::RegionReports { clock, reports, .. } => {
                self.check_timestamp(*clock)?;
                check_each(reports, MAX_REGION_REPORTS, |region| self.check_report(&region.report))
            }
            Message::SupersededIncarnation { control, incarnation } => {
                self.check_control(*control)?;
                check_incarnation(*incarnation)
            }
        }
    }

    fn check_batch(&self, stream: &StreamId, first: SequenceNumber, entries: &[AgedEntry]) -> CheckResult {
        self.check_stream(stream)?;
        check_entry_number(first)?;
        ensure(!entries.is_empty(), DatagramError::WrongCount)?;
        check_each(entries, MAX_BATCH_ENTRIES, |aged| match (&aged.entry, stream.kind) {
            (Entry::Purge(_), StreamKind::Purges) => Ok(()),
            (Entry::Setting(setting), StreamKind::Configuration) => self.check_setting(setting),
            _ => Err(DatagramError::WrongKind),
        })
    }

    fn check_control(&self, control: ControlId) -> CheckResult {
        ensure(usize::from(control.0) < self.control_count, DatagramError::OutOfRange)
    }

    fn check_stream(&self, stream: &StreamId) -> CheckResult {
        self.check_control(stream.control)?;
        check_incarnation(stream.incarnation)
    }

    /// Checks the range of numbers in a sender's log. An empty log has a first number one above the last.
    fn check_tip(&self, tip: &StreamTip) -> CheckResult {
        self.check_stream(&tip.stream)?;
        check_entry_number(tip.first)?;
        ensure(tip.last.0 <= MAX_SEQUENCE_NUMBER && tip.first <= tip.last.next(), DatagramError::OutOfRange)
    }

    /// Checks the last number that is received or applied of a stream. 0 means that none is.
    fn check_position(&self, stream: &StreamId, number: SequenceNumber) -> CheckResult {
        self.check_stream(stream)?;
        ensure(number.0 <= MAX_SEQUENCE_NUMBER, DatagramError::OutOfRange)
    }

    fn check_report(&self, report: &SubtreeReport) -> CheckResult {
        ensure(report.slots.0.len() <= MAX_SLOTS / 8, DatagramError::WrongCount)?;
        check_each(&report.applied, MAX_STREAMS, |(stream, number)| self.check_position(stream, *number))?;
        check_each(&report.lagging, MAX_LAGGING, |(slot, stream, number)| {
            ensure(usize::from(*slot) < MAX_SLOTS, DatagramError::OutOfRange)?;
            self.check_position(stream, *number)
        })?;
        check_each(&report.rejected, MAX_REJECTED, |(stream, number, _, members)| {
            ensure(stream.kind == StreamKind::Configuration, DatagramError::WrongKind)?;
            ensure(usize::from(*members) <= MAX_SLOTS, DatagramError::OutOfRange)?;
            self.check_stream(stream)?;
            check_entry_number(*number)
        })
    }

    fn check_version(&self, version: &SettingVersion) -> CheckResult {
        ensure(version.stream.kind == StreamKind::Configuration, DatagramError::WrongKind)?;
        self.check_stream(&version.stream)?;
        check_entry_number(version.number)?;
        self.check_setting(&version.setting)
    }

    fn check_setting(&self, setting: &HostSetting) -> CheckResult {
        ensure((1..=MAX_NAME_BYTES).contains(&setting.host.len()), DatagramError::InvalidName)?;
        self.check_timestamp(setting.timestamp)?;
        self.check_timestamp(setting.replaced)?;
        ensure(setting.timestamp > setting.replaced, DatagramError::OutOfRange)
    }

    fn check_timestamp(&self, timestamp: HybridTimestamp) -> CheckResult {
        ensure(timestamp.unix_ms <= MAX_CLOCK_UNIX_MS, DatagramError::OutOfRange)?;
        self.check_control(ControlId(timestamp.control))
    }

    /// Checks that the address can be one of a node: unicast, with a port, and in the allowed scope.
    fn check_address(&self, address: SocketAddr) -> CheckResult {
        let ip = address.ip();
        let is_reachable = address.port() > 0 && !ip.is_unspecified() && !ip.is_multicast();
        let is_in_scope = self.addresses == AddressScope::Any || ip.is_loopback();
        ensure(is_reachable && is_in_scope, DatagramError::InvalidAddress)
    }
}

/// Checks that an incarnation is at least 1 and at most [`MAX_INCARNATION`].
pub(super) fn check_incarnation(incarnation: Incarnation) -> CheckResult {
    ensure((1..=MAX_INCARNATION).contains(&incarnation.0), DatagramError::OutOfRange)
}

/// Checks the number of an entry. Numbers start at 1.
fn check_entry_number(number: SequenceNumber) -> CheckResult {
    ensure((1..=MAX_SEQUENCE_NUMBER).contains(&number.0), DatagramError::OutOfRange)
}

fn check_entry_range(first: SequenceNumber, last: SequenceNumber) -> CheckResult {
    check_entry_number(first)?;
    check_entry_number(last)?;
    ensure(first <= last, DatagramError::OutOfRange)
}

fn ensure(condition: bool, error: DatagramError) -> CheckResult {
    condition.then_some(()).ok_or(error)
}

/// Checks that there are at most `max` items, and each of them with `check`.
fn check_each<T>(items: &[T], max: usize, check: impl Fn(&T) -> CheckResult) -> CheckResult {
    ensure(items.len() <= max, DatagramError::WrongCount)?;
    items.iter().try_for_each(check)
}
