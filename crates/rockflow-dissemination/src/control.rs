//! State that only a control node has: its own streams, its clock, the directory, and which entries all members have
//! applied.

use crate::config::NodeConfig;
use crate::convergence::ConvergenceTracker;
use crate::directory::Directory;
use crate::entry::{SequenceNumber, StreamId, StreamKind};
use crate::identity::{ControlId, Incarnation, NodeId, Peer};
use crate::setting::{HybridTimestamp, MAX_TRUSTED_CLOCK_UNIX_MS};
use crate::subtree_report::SubtreeReport;
use crate::token_bucket::TokenBucket;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Publications are sent at the configured bytes per second divided by this number, as each member has to forward them
/// to its children.
const PUBLISH_RATE_DIVISOR: u32 = 6;
/// Settings have a share of their own: the rate of publications divided by this number.
const SETTINGS_RATE_DIVISOR: u32 = 6;
/// Unused credit for publications accumulates for at most this long.
const PUBLISH_BURST: Duration = Duration::from_secs(30);
/// A control node counts as failed if nothing was received from it for more than this many heartbeat intervals.
const CONTROL_TIMEOUT_HEARTBEATS: u32 = 6;

/// The state that a control node has in addition to that of a member.
pub(crate) struct Control {
    pub id: ControlId,
    pub publications: Publications,
    pub directory: Option<Directory>,
    pub convergence: ConvergenceTracker,
    /// When the next heartbeat and region reports are due.
    pub heartbeat_due: Duration,
    /// All control nodes, this one included, by index.
    peers: Vec<Peer>,
    heartbeat_interval: Duration,
    clock: HybridClock,
    /// When the last message of each control node was received, by index.
    last_received: Vec<Duration>,
}

impl Control {
    /// The state of a control node that has just started.
    pub fn new(id: ControlId, directory: Option<Directory>, config: &NodeConfig, now: Duration) -> Control {
        let started_unix_ms = config.identity.incarnation.0.min(MAX_TRUSTED_CLOCK_UNIX_MS);
        Control {
            id,
            publications: Publications::new(Incarnation(started_unix_ms), config, now),
            directory,
            convergence: ConvergenceTracker::default(),
            heartbeat_due: now,
            peers: config.control.clone(),
            heartbeat_interval: config.heartbeat_interval,
            clock: HybridClock { started_unix_ms, started_at: now, latest_unix_ms: 0 },
            last_received: vec![now; config.control.len()],
        }
    }

    /// This control node's stream of a kind, in its current incarnation.
    pub fn stream(&self, kind: StreamKind) -> StreamId {
        StreamId { control: self.id, kind, incarnation: self.publications.incarnation }
    }

    /// Whether this node publishes the stream, in its current incarnation.
    pub fn is_own(&self, id: StreamId) -> bool {
        id.control == self.id && id.incarnation == self.publications.incarnation
    }

    /// Version of the directory; 0 if there is none.
    pub fn directory_version(&self) -> u64 {
        self.directory.as_ref().map_or(0, |directory| directory.version)
    }

    /// Hash of the listing of a member's region; 0 if the directory doesn't list the member.
    pub fn listing_hash_for(&self, node: NodeId) -> u32 {
        let region = self.directory.as_ref().and_then(|directory| directory.region_of(node));
        region.map_or(0, |region| region.listing_hash)
    }

    /// Whether a report uses the current listing of its region.
    pub fn is_current_listing(&self, report: &SubtreeReport) -> bool {
        let regions = self.directory.as_ref().map_or(&[][..], |directory| directory.regions());
        let region = regions.get(usize::from(report.region));
        region.is_some_and(|region| region.listing_hash == report.listing_hash)
    }

    /// The latest value of the hybrid clock, as announced to the other control nodes.
    pub fn clock(&self) -> HybridTimestamp {
        HybridTimestamp { unix_ms: self.clock.latest_unix_ms, control: self.id.0 }
    }

    /// Raises the hybrid clock to that of another node, in Unix milliseconds, if the other is ahead.
    pub fn observe_clock(&mut self, unix_ms: u64) {
        self.clock.observe(unix_ms);
    }

    /// Makes a timestamp that is greater than all timestamps made here before, and than `replaced`, the timestamp of
    /// the setting that is replaced.
    pub fn next_timestamp(&mut self, now: Duration, replaced: HybridTimestamp) -> HybridTimestamp {
        let unix_ms = self.clock.advance(now).max(replaced.unix_ms.saturating_add(1));
        HybridTimestamp { unix_ms, control: self.id.0 }
    }

    /// Adjusts to a pause of this process: the silence of other control nodes meanwhile does not make them count as
    /// failed, and their reports are dropped as outdated.
    pub fn shift_timers(&mut self, pause: Duration) {
        for last_received in &mut self.last_received {
            *last_received = last_received.saturating_add(pause);
        }
        self.convergence.clear_reports();
    }

    /// Records that a message of the control node with this index was received.
    pub fn on_message_from(&mut self, index: usize, now: Duration) {
        if let Some(last_received) = self.last_received.get_mut(index) {
            *last_received = (*last_received).max(now);
        }
    }

    /// Whether this control node publishes purges: none with a lower index is alive.
    pub fn is_publishing(&self, now: Duration) -> bool {
        (0..usize::from(self.id.0)).all(|index| !self.is_alive(now, index))
    }

    /// Chooses the node to ask for missing entries, in rotation over the attempts: the node that advertised them, their
    /// publisher, and the other control nodes in turn.
    pub fn repair_target(
        &self,
        id: StreamId,
        advertised_by: Option<SocketAddr>,
        attempt: usize,
    ) -> Option<SocketAddr> {
        let own_index = usize::from(self.id.0);
        let publisher_index = usize::from(id.control.0);
        let publisher = self.peers.get(publisher_index).filter(|_| publisher_index != own_index);
        let publisher = publisher.map(|peer| peer.address);
        let others: Vec<&Peer> = self
            .peers
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != own_index)
            .map(|(_, peer)| peer)
            .collect();
        let other = others.get((attempt / 3) % others.len().max(1)).map(|peer| peer.address);
        match attempt % 3 {
            0 => advertised_by.or(publisher),
            1 => publisher.or(advertised_by),
            _ => other.or(advertised_by),
        }
    }

    fn is_alive(&self, now: Duration, index: usize) -> bool {
        let timeout = self.heartbeat_interval * CONTROL_TIMEOUT_HEARTBEATS;
        let last_received = self.last_received.get(index);
        last_received.is_some_and(|last_received| now.saturating_sub(*last_received) <= timeout)
    }
}

/// The state of a control node's own streams.
pub(crate) struct Publications {
    /// Incarnation of the streams that are published now. It is raised above any later incarnation of this control node
    /// that other nodes report.
    pub incarnation: Incarnation,
    /// The last number that was sent, by kind of stream.
    last_sent: BTreeMap<StreamKind, SequenceNumber>,
    /// The last purge of this control node's stream that a tip has advertised.
    pub last_advertised_purge: SequenceNumber,
    /// Limits the bytes of all publications.
    pub budget: TokenBucket,
    /// Limits the bytes of settings that are sent even if purges have used up `budget`.
    pub settings_budget: TokenBucket,
    /// When a greater incarnation was last chosen.
    reincarnated_at: Option<Duration>,
    heartbeat_interval: Duration,
}

impl Publications {
    fn new(incarnation: Incarnation, config: &NodeConfig, now: Duration) -> Publications {
        let rate = u64::from(config.bytes_per_second / PUBLISH_RATE_DIVISOR);
        Publications {
            incarnation,
            last_sent: BTreeMap::new(),
            last_advertised_purge: SequenceNumber::default(),
            budget: TokenBucket::new(rate, PUBLISH_BURST, now),
            settings_budget: TokenBucket::new(rate / u64::from(SETTINGS_RATE_DIVISOR), PUBLISH_BURST, now),
            reincarnated_at: None,
            heartbeat_interval: config.heartbeat_interval,
        }
    }

    /// The last number of the stream of this kind that was sent; 0 if none was.
    pub fn last_sent(&self, kind: StreamKind) -> SequenceNumber {
        self.last_sent.get(&kind).copied().unwrap_or_default()
    }

    /// Records the last number of the stream of this kind that was sent.
    pub fn set_last_sent(&mut self, kind: StreamKind, number: SequenceNumber) {
        self.last_sent.insert(kind, number);
    }

    /// Switches to a greater incarnation, at most once per heartbeat interval. Returns whether it has.
    pub fn reincarnate(&mut self, now: Duration, incarnation: Incarnation) -> bool {
        if self.reincarnated_at.is_some_and(|at| now < at + self.heartbeat_interval) {
            return false;
        }
        self.reincarnated_at = Some(now);
        self.incarnation = incarnation;
        self.last_sent.clear();
        self.last_advertised_purge = SequenceNumber::default();
        true
    }
}

/// A hybrid logical clock: it follows the Unix time in milliseconds, and never falls behind a value that it has made or
/// observed.
struct HybridClock {
    /// Unix milliseconds at the start of this process, by its own clock.
    started_unix_ms: u64,
    /// The same moment, as a duration since the origin of the node's time.
    started_at: Duration,
    /// The greatest value made or observed.
    latest_unix_ms: u64,
}

impl HybridClock {
    /// Raises the clock to that of another node, unless that is later than any plausible time.
    fn observe(&mut self, unix_ms: u64) {
        if unix_ms <= MAX_TRUSTED_CLOCK_UNIX_MS {
            self.latest_unix_ms = self.latest_unix_ms.max(unix_ms);
        }
    }

    /// Makes the next value: the current time, or one above the greatest value so far if that is later.
    fn advance(&mut self, now: Duration) -> u64 {
        let elapsed = u64::try_from(now.saturating_sub(self.started_at).as_millis()).unwrap_or(u64::MAX);
        let time = self.started_unix_ms.saturating_add(elapsed);
        self.latest_unix_ms = time.max(self.latest_unix_ms.saturating_add(1));
        self.latest_unix_ms
    }
}
