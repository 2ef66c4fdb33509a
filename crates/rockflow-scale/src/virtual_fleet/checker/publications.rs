//! Published entries: their numbers, publishers and the settings that are expected of each host.

use super::{Checker, Published, Violation, What};
use rockflow_dissemination::{DesiredState, Entry, Purge, SequenceNumber, StreamId};
use std::time::Duration;

impl Checker {
    /// Something is said by the board or an operator. Gives its index, under which a purge may name its object.
    pub fn record_publication(
        &mut self,
        now: Duration,
        what: What,
        side: Option<u8>,
        moment: usize,
    ) -> usize {
        let at = self.entries.len();
        match &what {
            What::Purge(purge) => {
                self.purges.insert(*purge, at);
                if *purge == Purge::Everything {
                    self.everything.push(at);
                }
            }
            What::Setting { host, wanted } => {
                self.expected.insert(host.clone(), (now, *wanted));
                self.settings.push(at);
                self.settings_of.entry(host.clone()).or_default().push(at);
            }
        }
        self.entries.push(Published {
            what,
            at: now,
            side,
            moment,
            numbers: 0,
            ever: 0,
            worst: Duration::ZERO,
            known: None,
            held_until: Duration::ZERO,
            lost: false,
            overstated_age: Duration::ZERO,
            unknowable: false,
        });
        at
    }

    /// Of two settings of a host that did not know of each other, this one is to hold.
    pub fn expect(&mut self, host: &str, wanted: DesiredState) {
        let at = self.expected.get(host).map_or(Duration::ZERO, |(at, _)| *at);
        self.expected.insert(host.to_string(), (at, wanted));
    }

    /// Whether the entry is a setting.
    pub fn is_setting(&self, entry: usize) -> bool {
        matches!(self.entries[entry].what, What::Setting { .. })
    }

    /// The life that published it ended.
    pub fn publisher_ended(&mut self, entry: usize) {
        let entry = &mut self.entries[entry];
        entry.unknowable |= entry.known.is_none();
    }

    /// Its publisher is stopped until then, and nobody has it yet.
    pub fn held_up(&mut self, entry: usize, until: Duration) {
        if self.entries[entry].ever == 0 {
            self.entries[entry].held_until = until;
        }
    }

    /// It was on its way when its publisher was parted from the other side.
    pub fn sided(&mut self, entry: usize, side: Option<u8>) {
        let listed = self.listed.iter().filter(|listed| **listed).count();
        if self.entries[entry].ever < listed {
            self.entries[entry].side = side;
        }
    }

    /// Its publisher ended at once: somebody may still have heard it, or nobody.
    pub fn doubt(&mut self, entry: usize) {
        if self.entries[entry].ever > 0 {
            return;
        }
        self.entries[entry].lost = true;
        self.expect_last(entry);
    }

    /// A member was given it: one that was in doubt is owed to all from now on.
    pub(super) fn found(&mut self, entry: usize) {
        if std::mem::replace(&mut self.entries[entry].lost, false) {
            self.expect_last(entry);
        }
    }

    /// Of the host that a setting is about, the last that is not in doubt is to hold.
    pub(super) fn expect_last(&mut self, entry: usize) {
        let What::Setting { host, .. } = &self.entries[entry].what else { return };
        let host = host.clone();
        let of = self.settings_of.get(&host).into_iter().flatten().rev();
        let last = of.map(|at| &self.entries[*at]).find(|held| !held.lost);
        match last.map(|held| (held.at, &held.what)) {
            Some((at, What::Setting { wanted, .. })) => self.expected.insert(host, (at, *wanted)),
            _ => self.expected.remove(&host),
        };
    }

    /// A control node takes the board's word of it for older than it is.
    pub fn overstated_age(&mut self, entry: usize, by: Duration) {
        let older = &mut self.entries[entry].overstated_age;
        *older = by.max(*older);
    }

    /// It went out under this number.
    pub fn numbered(&mut self, entry: usize, stream: StreamId, number: SequenceNumber) {
        if self.by_number.insert((stream, number), entry).is_none() {
            self.entries[entry].numbers += 1;
        }
    }

    /// A control node's life that goes on above an outlived one sends, under its own numbers, what that one had published.
    pub fn sent_anew(&mut self, stream: StreamId, number: SequenceNumber, entry: &Entry) {
        if self.by_number.contains_key(&(stream, number)) {
            return;
        }
        let same = match entry {
            Entry::Purge(purge) => self.entry_of(purge),
            Entry::Setting(setting) => self.last_setting(&setting.host, setting.desired),
        };
        match same {
            Some(same) => self.numbered(same, stream, number),
            None => self
                .record_violation(Violation::Unknown, || format!("{entry:?} sent as {stream:?} {number:?}")),
        }
    }

    /// The last that said so of a host.
    pub(super) fn last_setting(&self, host: &str, wanted: DesiredState) -> Option<usize> {
        let of = self.settings_of.get(host)?.iter().rev().copied();
        let same = |at: &usize| matches!(&self.entries[*at].what, What::Setting { wanted: held, .. } if *held == wanted);
        of.into_iter().find(same)
    }

    /// Index of a published purge.
    pub fn entry_of(&self, purge: &Purge) -> Option<usize> {
        self.purges.get(purge).copied()
    }
}
