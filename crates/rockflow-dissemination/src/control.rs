//! What only a control node does: it numbers and publishes, places members, and knows what is in force everywhere.

use crate::config::NodeConfig;
use crate::convergence::split_into_frames;
use crate::convergence::ConvergenceTracker;
use crate::directory::Directory;
use crate::encoded_size;
use crate::entry::{SequenceNumber, StreamId, StreamKind};
use crate::identity::{ControlId, Identity, Incarnation, NodeId, Peer};
use crate::message::Message;
use crate::node::Node;
use crate::output::Output;
use crate::setting::HybridTimestamp;
use crate::settings::MAX_TRUSTED_CLOCK_UNIX_MS;
use crate::subtree_report;
use crate::subtree_report::{RegionReport, SubtreeReport};
use crate::token_bucket::TokenBucket;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Publications leave by one part of a member's bytes a second in so many, as each member passes them on.
const PUBLISH_RATE_DIVISOR: u32 = 6;
/// Of that, changes have one part in so many to themselves. The rest carries the target's purges.
const SETTINGS_RATE_DIVISOR: u32 = 6;
/// What was not used of it is kept for so long.
const PUBLISH_BURST: Duration = Duration::from_secs(30);
/// A control node that is silent for so many pulses is not counted on.
const CONTROL_TIMEOUT_HEARTBEATS: u32 = 6;
/// Reports count for so many pulses.
const REPORT_TTL_HEARTBEATS: u32 = 10;
/// Entries told one by one as in force everywhere; of more at once, the last of them.
const MAX_REPLICATED_OUTPUTS: u64 = 128;

pub(crate) struct Control {
    pub id: ControlId,
    pub incarnation: Incarnation,
    /// When it began that life above one that was known of it elsewhere.
    pub reincarnated_at: Option<Duration>,
    peers: Vec<Peer>,
    heartbeat_interval: Duration,
    /// Unix milliseconds at the start of this process, by its own clock, and the moment of it.
    began: (u64, Duration),
    clock: u64,
    pub directory: Option<Directory>,
    pub convergence: ConvergenceTracker,
    pub last_sent: BTreeMap<StreamKind, SequenceNumber>,
    /// The last of its own purges that a tip told of.
    pub last_advertised_purge: SequenceNumber,
    pub publish_budget: TokenBucket,
    pub settings_budget: TokenBucket,
    last_received: Vec<Duration>,
    pub heartbeat_due: Duration,
}

impl Control {
    pub fn new(id: ControlId, directory: Option<Directory>, config: &NodeConfig, now: Duration) -> Control {
        let rate = u64::from(config.bytes_per_second / PUBLISH_RATE_DIVISOR);
        Control {
            id,
            incarnation: Incarnation(config.identity.incarnation.0.min(MAX_TRUSTED_CLOCK_UNIX_MS)),
            reincarnated_at: None,
            peers: config.control.clone(),
            heartbeat_interval: config.heartbeat_interval,
            began: (config.identity.incarnation.0.min(MAX_TRUSTED_CLOCK_UNIX_MS), now),
            clock: 0,
            directory,
            convergence: ConvergenceTracker::default(),
            last_sent: BTreeMap::new(),
            last_advertised_purge: SequenceNumber::default(),
            publish_budget: TokenBucket::new(rate, PUBLISH_BURST, now),
            settings_budget: TokenBucket::new(rate / u64::from(SETTINGS_RATE_DIVISOR), PUBLISH_BURST, now),
            last_received: vec![now; config.control.len()],
            heartbeat_due: now,
        }
    }

    pub fn stream(&self, kind: StreamKind) -> StreamId {
        StreamId { control: self.id, kind, incarnation: self.incarnation }
    }

    pub fn is_own(&self, id: StreamId) -> bool {
        id.control == self.id && id.incarnation == self.incarnation
    }

    pub fn directory_version(&self) -> u64 {
        self.directory.as_ref().map_or(0, |directory| directory.version)
    }

    /// The listing by which a member's slots are counted.
    pub fn listing_hash_for(&self, node: NodeId) -> u32 {
        let Some(directory) = &self.directory else { return 0 };
        let region =
            directory.slot(node).and_then(|(region, _)| directory.regions().get(usize::from(region)));
        region.map_or(0, |region| region.listing_hash)
    }

    pub fn observe_clock(&mut self, at: u64) {
        if at <= MAX_TRUSTED_CLOCK_UNIX_MS {
            self.clock = self.clock.max(at);
        }
    }

    /// Above all that was published here, and above the version that it replaces.
    pub fn next_timestamp(&mut self, now: Duration, replaced: HybridTimestamp) -> HybridTimestamp {
        let gone = u64::try_from(now.saturating_sub(self.began.1).as_millis()).unwrap_or(u64::MAX);
        self.clock = self.began.0.saturating_add(gone).max(self.clock.saturating_add(1));
        HybridTimestamp { unix_ms: self.clock.max(replaced.unix_ms.saturating_add(1)), control: self.id.0 }
    }

    pub fn shift_timers(&mut self, span: Duration) {
        for last_received in &mut self.last_received {
            *last_received = last_received.saturating_add(span);
        }
        self.convergence.clear_reports();
    }

    fn is_alive(&self, now: Duration, place: usize) -> bool {
        let last_received = self.last_received.get(place).copied();
        last_received.is_some_and(|last_received| {
            now.saturating_sub(last_received) <= self.heartbeat_interval * CONTROL_TIMEOUT_HEARTBEATS
        })
    }

    /// Its publisher, who showed that there is more, and the others in turn.
    pub fn repair_target(
        &self,
        id: StreamId,
        advertised_by: Option<SocketAddr>,
        switch_to: usize,
    ) -> Option<SocketAddr> {
        let me = usize::from(self.id.0);
        let place = usize::from(id.control.0);
        let publisher = self.peers.get(place).filter(|_| place != me).map(|peer| peer.address);
        let others = || self.peers.iter().enumerate().filter(|(place, _)| *place != me);
        let count = others().count().max(1);
        let other = others().nth((switch_to / 3) % count).map(|(_, peer)| peer.address);
        match switch_to % 3 {
            0 => advertised_by.or(publisher),
            1 => publisher.or(advertised_by),
            _ => other.or(advertised_by),
        }
    }
}

impl Node {
    /// Place of a control node in the told list.
    pub(crate) fn control_index(&self, node: NodeId) -> Option<usize> {
        self.config.control.iter().position(|peer| peer.node == node)
    }

    pub(crate) fn other_control_addresses(&self) -> Vec<SocketAddr> {
        if self.control.is_none() {
            return Vec::new();
        }
        let others = self.config.control.iter().filter(|peer| peer.node != self.config.identity.node);
        others.map(|peer| peer.address).collect()
    }

    /// A frame of a control node: it is alive; and where a later life of it is known here, it is told.
    pub(crate) fn on_control_message(&mut self, now: Duration, from: Identity, at: SocketAddr) {
        let Some(place) = self.control_index(from.node) else { return };
        if let Some(last_received) =
            self.control.as_mut().and_then(|control| control.last_received.get_mut(place))
        {
            *last_received = (*last_received).max(now);
        }
        let id = ControlId(place as u8);
        let later = self.streams.latest_incarnation(id).filter(|incarnation| *incarnation > from.incarnation);
        if let Some(incarnation) = later {
            self.send(at, Message::SupersededIncarnation { control: id, incarnation });
        }
    }

    /// Whether it is this control node's to publish what the board says: the first by place that is alive.
    pub fn is_publishing(&self, now: Duration) -> bool {
        let Some(control) = &self.control else { return false };
        (0..usize::from(control.id.0)).all(|place| !control.is_alive(now, place))
    }

    pub(crate) fn control_tick(&mut self, now: Duration) {
        let heartbeat_interval = self.config.heartbeat_interval;
        match &mut self.control {
            Some(control) if now >= control.heartbeat_due => control.heartbeat_due = now + heartbeat_interval,
            _ => return,
        }
        self.send_publications(now);
        self.send_heartbeats(now);
        self.send_region_reports(now);
        self.update_convergence(now);
    }

    /// What the children here say, joined by region and listing, each with the age of the oldest of it.
    pub(crate) fn direct_reports(&self, now: Duration) -> Vec<(SubtreeReport, u32)> {
        let lag = |id, number| self.lag(id, number);
        let (joined, _) = subtree_report::join(self.children.reports(), &lag, usize::MAX);
        let mut oldest: BTreeMap<(u16, u32), Duration> = BTreeMap::new();
        for child in self.children.iter() {
            for report in &child.reports {
                let age = oldest.entry((report.region, report.listing_hash)).or_default();
                *age = (*age).max(now.saturating_sub(child.last_received));
            }
        }
        let age = |report: &SubtreeReport| {
            oldest.get(&(report.region, report.listing_hash)).copied().unwrap_or_default()
        };
        let age_ms = |report: &SubtreeReport| u32::try_from(age(report).as_millis()).unwrap_or(u32::MAX);
        let aged = joined.into_iter().map(|report| {
            let age = age_ms(&report);
            (report, age)
        });
        aged.collect()
    }

    fn send_region_reports(&mut self, now: Duration) {
        let others = self.other_control_addresses();
        let Some(control) = &self.control else { return };
        let clock = HybridTimestamp { unix_ms: control.clock, control: control.id.0 };
        let directory = control.directory_version();
        let listed = |report: &SubtreeReport| {
            let regions = control.directory.as_ref().map_or(&[][..], |directory| directory.regions());
            regions
                .get(usize::from(report.region))
                .is_some_and(|region| region.listing_hash == report.listing_hash)
        };
        let rows = self.direct_reports(now).into_iter().filter(|(report, _)| listed(report));
        let rows: Vec<RegionReport> = rows.map(|(report, age_ms)| RegionReport { report, age_ms }).collect();
        let mut frames = split_into_frames(rows);
        if frames.is_empty() {
            // The clock goes on, whatever is heard of members.
            frames.push(Vec::new());
        }
        for to in others {
            for rows in &frames {
                self.send(
                    to,
                    Message::RegionReports { directory_version: directory, clock, reports: rows.clone() },
                );
            }
        }
    }

    pub(crate) fn on_region_reports(
        &mut self,
        now: Duration,
        from: Identity,
        _directory: u64,
        clock: HybridTimestamp,
        rows: Vec<RegionReport>,
    ) {
        let place = self.control_index(from.node);
        let timing_unreliable = now < self.timing_unreliable_until;
        let (Some(control), Some(place)) = (&mut self.control, place) else {
            self.counters.unexpected_messages += 1;
            return;
        };
        control.observe_clock(clock.unix_ms);
        let Some(directory) = control.directory.as_ref().filter(|_| !timing_unreliable) else { return };
        for report in rows.into_iter().take(crate::message::MAX_REGION_REPORTS) {
            control.convergence.insert(now, ControlId(place as u8), report, directory, &mut self.counters);
        }
    }

    fn update_convergence(&mut self, now: Duration) {
        let direct_reports: Vec<SubtreeReport> =
            self.direct_reports(now).into_iter().map(|(report, _)| report).collect();
        let Some(mut control) = self.control.take() else { return };
        control.convergence.expire(now, self.config.heartbeat_interval * REPORT_TTL_HEARTBEATS);
        if let Some(directory) = &control.directory {
            let lag = |id, number| self.lag(id, number);
            let advanced = control.convergence.advance(directory, &direct_reports, &lag);
            for (id, before, to) in advanced {
                self.emit_replicated(now, id, before, to);
            }
        }
        control.convergence.retain_streams(|id| self.streams.get(id).is_some());
        self.control = Some(control);
    }

    fn emit_replicated(&mut self, now: Duration, id: StreamId, before: SequenceNumber, to: SequenceNumber) {
        let Some(stream) = self.streams.get(id) else { return };
        let from = before.next().max(SequenceNumber(to.0.saturating_sub(MAX_REPLICATED_OUTPUTS - 1)));
        for number in (from.0..=to.0).map(SequenceNumber) {
            if let Some(held) = stream.get(number) {
                let after = held.timestamp.age(now);
                self.outputs.push(Output::ReplicatedToAll { stream: id, number, after });
            }
        }
        // The log has let it go: of all that it let go the newest tells how long it took at the least.
        if let Some(before) = stream.newest_dropped.filter(|_| stream.get(to).is_none()) {
            self.outputs.push(Output::ReplicatedToAll { stream: id, number: to, after: before.age(now) });
        }
    }

    /// Takes another directory. Places go by it at once; members hear of it by the pulses.
    pub fn set_directory(&mut self, now: Duration, directory: Directory) -> Vec<Output> {
        let now = self.advance_clock(now);
        if let Some(control) = &mut self.control {
            control.convergence.clear_reports();
            control.directory = Some(directory);
        }
        self.flush(now, None)
    }

    pub(crate) fn on_join(&mut self, now: Duration, at: SocketAddr, node: NodeId) {
        let Some(directory) = self.control.as_ref().and_then(|control| control.directory.as_ref()) else {
            self.counters.unexpected_messages += 1;
            return;
        };
        if !self.repair_budget.has_credit(now) {
            self.counters.repair_requests_throttled += 1;
            return;
        }
        let version = directory.version;
        let answer = match directory.place(node, &self.config.control) {
            Some(place) => Message::Placement {
                directory_version: version,
                listing_hash: place.listing_hash,
                region: place.region,
                slot: place.slot,
                slots: place.slots,
                parents: place.parents,
            },
            None => Message::NotListed { directory_version: version },
        };
        self.repair_budget.consume(encoded_size::message(&answer));
        self.send(at, answer);
    }
}
