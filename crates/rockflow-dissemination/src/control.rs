//! What only a control node keeps: its own streams, its clock, the directory, and what is replicated to all.

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

/// Publications are sent at this part of a member's bytes per second, as each member passes them on.
const PUBLISH_RATE_DIVISOR: u32 = 6;
/// Settings have this part of the publications' rate to themselves.
const SETTINGS_RATE_DIVISOR: u32 = 6;
/// Unused credit of it is kept for this long.
const PUBLISH_BURST: Duration = Duration::from_secs(30);
/// A control node that is silent for this long is not counted on.
const CONTROL_TIMEOUT_HEARTBEATS: u32 = 6;

pub(crate) struct Control {
    pub id: ControlId,
    pub publications: Publications,
    pub directory: Option<Directory>,
    pub convergence: ConvergenceTracker,
    pub heartbeat_due: Duration,
    peers: Vec<Peer>,
    heartbeat_interval: Duration,
    clock: HybridClock,
    /// When each control node was last received from.
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

    /// The own stream of this kind, of the current incarnation.
    pub fn stream(&self, kind: StreamKind) -> StreamId {
        StreamId { control: self.id, kind, incarnation: self.publications.incarnation }
    }

    /// Whether this node publishes the stream.
    pub fn is_own(&self, id: StreamId) -> bool {
        id.control == self.id && id.incarnation == self.publications.incarnation
    }

    /// Version of the directory; 0: there is none.
    pub fn directory_version(&self) -> u64 {
        self.directory.as_ref().map_or(0, |directory| directory.version)
    }

    /// The hash of the listing by which a member's slots are counted; 0: it is not listed.
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

    /// The clock as it is announced to the other control nodes.
    pub fn clock(&self) -> HybridTimestamp {
        HybridTimestamp { unix_ms: self.clock.latest_unix_ms, control: self.id.0 }
    }

    /// Takes note of the Unix time in milliseconds of another clock.
    pub fn observe_clock(&mut self, unix_ms: u64) {
        self.clock.observe(unix_ms);
    }

    /// A timestamp above all that were made here, and above the version that it replaces.
    pub fn next_timestamp(&mut self, now: Duration, replaced: HybridTimestamp) -> HybridTimestamp {
        let unix_ms = self.clock.advance(now).max(replaced.unix_ms.saturating_add(1));
        HybridTimestamp { unix_ms, control: self.id.0 }
    }

    /// This process did not run for this long: the other control nodes' silence meanwhile says nothing.
    pub fn shift_timers(&mut self, pause: Duration) {
        for last_received in &mut self.last_received {
            *last_received = last_received.saturating_add(pause);
        }
        self.convergence.clear_reports();
    }

    /// A message of the control node with this index was received.
    pub fn on_message_from(&mut self, index: usize, now: Duration) {
        if let Some(last_received) = self.last_received.get_mut(index) {
            *last_received = (*last_received).max(now);
        }
    }

    /// Whether this control node publishes purges: it is the first by index that is alive.
    pub fn is_publishing(&self, now: Duration) -> bool {
        (0..usize::from(self.id.0)).all(|index| !self.is_alive(now, index))
    }

    /// In rotation: whoever advertised the entries, their publisher, and the other control nodes.
    pub fn repair_target(
        &self,
        id: StreamId,
        advertised_by: Option<SocketAddr>,
        attempt: usize,
    ) -> Option<SocketAddr> {
        let own = usize::from(self.id.0);
        let publisher_index = usize::from(id.control.0);
        let publisher = self.peers.get(publisher_index).filter(|_| publisher_index != own);
        let publisher = publisher.map(|peer| peer.address);
        let others: Vec<&Peer> =
            self.peers.iter().enumerate().filter(|(index, _)| *index != own).map(|(_, peer)| peer).collect();
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
    /// Above every incarnation of this control node that is known elsewhere.
    pub incarnation: Incarnation,
    /// The last number that was sent, by kind.
    last_sent: BTreeMap<StreamKind, SequenceNumber>,
    /// The last own purge that a stream tip has advertised.
    pub last_advertised_purge: SequenceNumber,
    /// For all publications.
    pub budget: TokenBucket,
    /// The share of settings.
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

    /// The last number of its stream of that kind that was sent.
    pub fn last_sent(&self, kind: StreamKind) -> SequenceNumber {
        self.last_sent.get(&kind).copied().unwrap_or_default()
    }

    /// Records the last number of its stream of that kind that was sent.
    pub fn set_last_sent(&mut self, kind: StreamKind, number: SequenceNumber) {
        self.last_sent.insert(kind, number);
    }

    /// Continues under a greater incarnation, at most once a heartbeat interval. Returns whether it does.
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

/// A hybrid logical clock.
struct HybridClock {
    /// Unix milliseconds at the start of this process, by its own clock.
    started_unix_ms: u64,
    /// The same moment as the node's callers count time.
    started_at: Duration,
    /// The greatest value made or observed.
    latest_unix_ms: u64,
}

impl HybridClock {
    /// Takes another node's clock, unless it is beyond what any clock shows.
    fn observe(&mut self, unix_ms: u64) {
        if unix_ms <= MAX_TRUSTED_CLOCK_UNIX_MS {
            self.latest_unix_ms = self.latest_unix_ms.max(unix_ms);
        }
    }

    /// The next value: the time, or one above the greatest before.
    fn advance(&mut self, now: Duration) -> u64 {
        let elapsed = u64::try_from(now.saturating_sub(self.started_at).as_millis()).unwrap_or(u64::MAX);
        let time = self.started_unix_ms.saturating_add(elapsed);
        self.latest_unix_ms = time.max(self.latest_unix_ms.saturating_add(1));
        self.latest_unix_ms
    }
}
