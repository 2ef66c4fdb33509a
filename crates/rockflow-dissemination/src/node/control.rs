//! Tasks of a control node: it assigns members their places in the tree, exchanges region reports with the other
//! control nodes, and determines which entries all members have applied.

use super::{Node, Sender};
use crate::convergence::{split_into_messages, ReplicatedEntries};
use crate::directory::Directory;
use crate::encoded_size;
use crate::entry::SequenceNumber;
use crate::identity::{ControlId, Identity, NodeId};
use crate::message::{Message, MAX_REGION_REPORTS};
use crate::output::Output;
use crate::publisher::PublisherRole;
use crate::setting::HybridTimestamp;
use crate::subtree_report::{self, RegionReport, SubtreeReport};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A region report from another control node expires after this many heartbeat intervals.
const REPORT_TTL_HEARTBEATS: u32 = 10;
/// Most entries of a stream that are reported as replicated at a time. If there are more, only the last ones are.
const MAX_REPLICATED_OUTPUTS: u64 = 128;

impl Node {
    /// Active if this is the control node with the lowest index of those that are alive; standby otherwise, and at a
    /// member.
    pub fn publisher_role(&self, now: Duration) -> PublisherRole {
        match &self.control {
            Some(control) if control.is_publishing(now) => PublisherRole::Active,
            _ => PublisherRole::Standby,
        }
    }

    /// Replaces the directory of a control node. It applies to all placements from now on; members learn of the change
    /// from the heartbeats.
    pub fn set_directory(&mut self, now: Duration, directory: Directory) -> Vec<Output> {
        let now = self.advance_clock(now);
        if let Some(control) = &mut self.control {
            control.convergence.clear_reports();
            control.directory = Some(directory);
        }
        self.flush(now, None)
    }

    /// Index of a node in the configured list of control nodes; `None` if it is a member.
    pub(super) fn control_index(&self, node: NodeId) -> Option<usize> {
        self.config.control.iter().position(|peer| peer.node == node)
    }

    /// Addresses of the other control nodes; empty at a member.
    pub(super) fn other_control_addresses(&self) -> Vec<SocketAddr> {
        if self.control.is_none() {
            return Vec::new();
        }
        let others = self.config.control.iter().filter(|peer| peer.node != self.config.identity.node);
        others.map(|peer| peer.address).collect()
    }

    /// If the sender is a control node, records that it is alive, and notifies it if a later incarnation of it is known
    /// here.
    pub(super) fn on_control_message(&mut self, now: Duration, sender: Sender) {
        let Some(index) = self.control_index(sender.identity.node) else { return };
        if let Some(control) = &mut self.control {
            control.on_message_from(index, now);
        }
        let id = ControlId(index as u8);
        let latest = self.streams.latest_incarnation(id);
        if let Some(incarnation) = latest.filter(|latest| *latest > sender.identity.incarnation) {
            self.send(sender.address, Message::SupersededIncarnation { control: id, incarnation });
        }
    }

    /// Does a control node's periodic work, once per heartbeat interval.
    pub(super) fn control_tick(&mut self, now: Duration) {
        match &mut self.control {
            Some(control) if now >= control.heartbeat_due => {
                control.heartbeat_due = now + self.config.heartbeat_interval;
            }
            _ => return,
        }
        self.send_publications(now);
        self.send_heartbeats(now);
        self.send_region_reports(now);
        self.update_convergence(now);
    }

    /// Answers a node that asks for its place in the tree.
    pub(super) fn on_join(&mut self, now: Duration, sender: Sender) {
        let Some(directory) = self.control.as_ref().and_then(|control| control.directory.as_ref()) else {
            self.counters.unexpected_messages += 1;
            return;
        };
        if !self.rate_limits.repairs.has_credit(now) {
            self.counters.repair_requests_throttled += 1;
            return;
        }
        let directory_version = directory.version;
        let answer = match directory.place(sender.identity.node, &self.config.control) {
            Some(place) => Message::Placement {
                directory_version,
                listing_hash: place.listing_hash,
                region: place.region,
                slot: place.slot,
                slots: place.slots,
                parents: place.parents,
            },
            None => Message::NotListed { directory_version },
        };
        self.rate_limits.repairs.consume(encoded_size::message(&answer));
        self.send(sender.address, answer);
    }

    /// Stores the reports of regions whose members report to another control node, and observes its clock.
    pub(super) fn on_region_reports(
        &mut self,
        now: Duration,
        from: Identity,
        clock: HybridTimestamp,
        reports: Vec<RegionReport>,
    ) {
        let index = self.control_index(from.node);
        let (Some(control), Some(index)) = (&mut self.control, index) else {
            self.counters.unexpected_messages += 1;
            return;
        };
        control.observe_clock(clock.unix_ms);
        if self.clock.is_unreliable(now) {
            return;
        }
        let Some(directory) = &control.directory else { return };
        for report in reports.into_iter().take(MAX_REGION_REPORTS) {
            control.convergence.insert(now, ControlId(index as u8), report, directory, &mut self.counters);
        }
    }

    /// Reports of this node's children, merged by region and listing.
    pub(super) fn direct_reports(&self) -> Vec<SubtreeReport> {
        let lag = |id, number| self.lag(id, number);
        subtree_report::merge(self.children.reports(), &lag, usize::MAX).0
    }

    /// [`Node::direct_reports`], each with the age of the oldest report that was merged into it.
    fn aged_direct_reports(&self, now: Duration) -> Vec<RegionReport> {
        let mut oldest: BTreeMap<(u16, u32), Duration> = BTreeMap::new();
        for child in self.children.iter() {
            let age = now.saturating_sub(child.last_received);
            for report in &child.reports {
                let oldest = oldest.entry((report.region, report.listing_hash)).or_default();
                *oldest = (*oldest).max(age);
            }
        }
        let with_age = |report: SubtreeReport| {
            let age = oldest.get(&(report.region, report.listing_hash)).copied().unwrap_or_default();
            let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
            RegionReport { report, age_ms }
        };
        self.direct_reports().into_iter().map(with_age).collect()
    }

    /// Sends the reports of the children to the other control nodes.
    fn send_region_reports(&mut self, now: Duration) {
        let Some(control) = &self.control else { return };
        let (clock, directory_version) = (control.clock(), control.directory_version());
        let mut reports = self.aged_direct_reports(now);
        reports.retain(|region| control.is_current_listing(&region.report));
        let mut messages = split_into_messages(reports);
        if messages.is_empty() {
            // The clock is announced even if no member has reported.
            messages.push(Vec::new());
        }
        for to in self.other_control_addresses() {
            for reports in &messages {
                let reports = reports.clone();
                self.send(to, Message::RegionReports { directory_version, clock, reports });
            }
        }
    }

    /// Reports the entries that all members have applied since the previous update.
    fn update_convergence(&mut self, now: Duration) {
        let direct_reports = self.direct_reports();
        let Some(mut control) = self.control.take() else { return };
        control.convergence.expire(now, self.config.heartbeat_interval * REPORT_TTL_HEARTBEATS);
        if let Some(directory) = &control.directory {
            let lag = |id, number| self.lag(id, number);
            for entries in control.convergence.advance(directory, &direct_reports, &lag) {
                self.emit_replicated(now, entries);
            }
        }
        control.convergence.retain_streams(|id| self.streams.get(id).is_some());
        self.control = Some(control);
    }

    fn emit_replicated(&mut self, now: Duration, entries: ReplicatedEntries) {
        let ReplicatedEntries { stream: id, previous_last, last } = entries;
        let Some(stream) = self.streams.get(id) else { return };
        let first =
            previous_last.next().max(SequenceNumber(last.0.saturating_sub(MAX_REPLICATED_OUTPUTS - 1)));
        for number in (first.0..=last.0).map(SequenceNumber) {
            if let Some(entry) = stream.get(number) {
                let after = entry.timestamp.age(now);
                self.outputs.push(Output::ReplicatedToAll { stream: id, number, after });
            }
        }
        // The log no longer holds the last of these entries. The age of the newest entry that was dropped is a lower
        // bound for the time that its replication took.
        if let Some(dropped) = stream.newest_dropped().filter(|_| stream.get(last).is_none()) {
            self.outputs.push(Output::ReplicatedToAll { stream: id, number: last, after: dropped.age(now) });
        }
    }
}
