//! Publication of purges and of configuration changes.

use super::{FleetEvent, World, BOARD_DELAY};
use crate::virtual_fleet::checker::What;
use rockflow_dissemination::{
    DesiredState, Publication, Purge, SequenceNumber, StreamId, BACKLOG_AGE_UNCERTAINTY,
};
use std::time::Duration;

impl World {
    /// The board says a purge, to all control nodes of a side.
    pub fn purge(&mut self, purge: Purge, side: Option<u8>) -> usize {
        let (now, moment) = (self.now, self.moment);
        let entry = self.checker.record_publication(now, What::Purge(purge), side, moment);
        for place in 0..self.layout.shape.control {
            let at = self.layout.control(place);
            if side.is_none() || self.sides[at] == side {
                let after = self.within(BOARD_DELAY);
                self.schedule(now + after, FleetEvent::Board { at, purge, said: now });
            }
        }
        entry
    }

    /// A purge of an object that no other names.
    pub fn purge_next(&mut self, side: Option<u8>) -> usize {
        let name = self.checker.entries.len() as u64 + 1;
        let purge = if name.is_multiple_of(16) { Purge::Group(name) } else { Purge::object(name) };
        self.purge(purge, side)
    }

    /// An operator says at a control node what is wanted of a host. Gives its entry; none: that node is not there.
    pub fn change(&mut self, control: usize, host: &str, wanted: DesiredState) -> Option<usize> {
        let at = self.layout.control(control);
        if !self.alive(at) || self.processes[at].stopped {
            return None;
        }
        let now = self.now;
        let what = What::Setting { host: host.to_string(), wanted };
        let (side, moment) = (self.sides[at].filter(|_| self.parted()), self.moment);
        let entry = self.checker.record_publication(now, what, side, moment);
        let publication = Publication::Setting { host: host.to_string(), desired: wanted };
        let ids = self.publish(at, vec![publication]);
        ids.into_iter().for_each(|(stream, number)| self.checker.numbered(entry, stream, number));
        self.published_by.push((at, entry));
        Some(entry)
    }

    pub(super) fn publish(&mut self, at: usize, what: Vec<Publication>) -> Vec<(StreamId, SequenceNumber)> {
        let now = self.now;
        let mut ids = Vec::new();
        self.does(at, |node| {
            let (given, outputs) = node.publish(now, what);
            ids = given;
            outputs
        });
        ids
    }

    /// A host in turn, so that the same one does not come again soon.
    pub(super) fn next_change(&mut self) {
        let controls: Vec<_> = (0..self.layout.shape.control)
            .filter(|place| {
                let at = self.layout.control(*place);
                self.alive(at) && !self.processes[at].stopped
            })
            .collect();
        if controls.is_empty() {
            return;
        }
        let control = controls[self.below(controls.len())];
        self.next_host += 1;
        // Two sides of a cut change different hosts; what becomes of the same one is for the hard cases.
        if self.parted() {
            let side = usize::from(self.sides[self.layout.control(control)].unwrap_or_default());
            self.next_host += (self.next_host % 2 + side) % 2;
        }
        let host = format!("cache-{:04}", self.next_host % self.play.hosts);
        let wanted = [DesiredState::Draining, DesiredState::Gone, DesiredState::Listed][self.below(3)];
        self.change(control, &host, wanted);
    }

    pub(super) fn board(&mut self, at: usize, purge: Purge, said: Duration) {
        let (now, ago) = (self.now, self.now.saturating_sub(said));
        let process = &mut self.processes[at];
        let wrong = Duration::from_millis(process.board_clock_lag_ms.unsigned_abs());
        let seems = if process.board_clock_lag_ms < 0 { ago.saturating_sub(wrong) } else { ago + wrong };
        let age = seems.min(BACKLOG_AGE_UNCERTAINTY).min(self.play.window);
        if let (Some(publisher), Some(entry)) = (&mut process.publisher, self.checker.entry_of(&purge)) {
            publisher.on_purge_notice(now, purge, age);
            self.checker.overstated_age(entry, age.saturating_sub(ago));
            self.publish_waiting(at);
        }
    }

    /// What is this control node's to publish of the board's purges.
    pub(super) fn publish_waiting(&mut self, at: usize) {
        let now = self.now;
        let process = &mut self.processes[at];
        let (Some(node), Some(publisher)) = (&process.node, &mut process.publisher) else { return };
        let what = publisher.tick(now, node.publisher_role(now));
        if what.is_empty() {
            return;
        }
        let entries: Vec<_> = what
            .iter()
            .map(|publication| match publication {
                Publication::Purge { purge, .. } => self.checker.entry_of(purge),
                Publication::Setting { .. } => None,
            })
            .collect();
        let ids = self.publish(at, what);
        for (entry, (stream, number)) in entries.into_iter().zip(ids) {
            if let Some(entry) = entry {
                self.checker.numbered(entry, stream, number);
                self.published_by.push((at, entry));
            }
        }
    }
}
