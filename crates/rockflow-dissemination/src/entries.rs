//! Entries as a node takes them, asks for them, and gives them to who asks.

use crate::made::Made;
use crate::messages::{Tip, MAX_ENTRIES};
use crate::node::Node;
use crate::settings::Judged;
use crate::stream::{Held, Stream, Taken};
use crate::streams::Met;
use crate::words::*;
use std::net::SocketAddr;
use std::time::Duration;

impl Node {
    /// Whether a stream is this control node's own, of this life.
    pub(crate) fn is_own(&self, id: StreamId) -> bool {
        self.control.as_ref().is_some_and(|control| control.is_own(id))
    }

    /// Makes sure of a stream that something was heard of. False: nothing of it is taken.
    pub(crate) fn meet(&mut self, now: Duration, id: StreamId) -> bool {
        let (met, gone) = self.streams.meet(now, id);
        let is_purges = |id: StreamId| id.kind == Kind::Purges;
        if let Some(gone) = gone {
            // It had to go before it was over: there may be more of it, however far it was told to go.
            self.counts.retired += 1;
            if is_purges(gone.id) {
                self.floor(Made::ago(now, Duration::ZERO));
            }
        }
        if met == Met::NoRoom && is_purges(id) {
            self.floor(Made::ago(now, Duration::ZERO));
        }
        matches!(met, Met::Held | Met::New)
    }

    /// A stream is dropped. A floor of now stands for what is missing of it, or may be: where it was not heard how far
    /// it goes since this node is in touch.
    pub(crate) fn floor_for(&mut self, now: Duration, gone: &Stream) {
        let known = gone.shown >= self.in_touch.0;
        if gone.id.kind == Kind::Purges && (gone.gap() || !known) {
            self.floor(Made::ago(now, Duration::ZERO));
        }
    }

    /// Nothing older than this is to be served. At a control node, where nothing is served, it is only counted.
    pub(crate) fn floor(&mut self, made: Made) {
        self.counts.floors += 1;
        if self.control.is_none() {
            self.effects.push((Purge::Everything, made));
        }
    }

    pub(crate) fn batch(
        &mut self,
        now: Duration,
        at: SocketAddr,
        id: StreamId,
        first: Number,
        entries: Vec<Aged>,
    ) {
        if first.0 > 0 && !entries.is_empty() {
            let last = first.0.saturating_add(entries.len() as u64 - 1);
            self.heard_of_own(now, id, Number(last));
        }
        if self.is_own(id) || first.0 == 0 || !self.meet(now, id) {
            self.counts.not_taken += entries.len() as u64;
            return;
        }
        let mut number = first;
        let mut last = Number(0);
        for aged in entries.into_iter().take(MAX_ENTRIES) {
            let held = Held { made: Made::ms_ago(now, aged.age_ms), entry: aged.entry };
            if self.take(now, id, number, held) {
                last = number;
            }
            number = number.next();
        }
        let wait = self.told.pulse / 2;
        if let Some(stream) = self.streams.get_mut(id) {
            stream.note_last(now, last, Some(at));
            if first.0 == 1 && last.0 > 0 {
                stream.begin();
            }
            stream.advance();
            stream.watch_gap(now, wait);
        }
        self.touched.insert(id);
    }

    /// True: there is such an entry, taken or not.
    fn take(&mut self, now: Duration, id: StreamId, number: Number, held: Held) -> bool {
        let Some(stream) = self.streams.get_mut(id) else { return false };
        let (made, entry) = (held.made, held.entry.clone());
        let taken = stream.take(number, held);
        match taken {
            Taken::New => {
                self.counts.taken += 1;
                self.fresh.entry(id).or_default().insert(number);
                self.put(id, number, made, entry);
            }
            Taken::Known => self.counts.duplicates += 1,
            Taken::Fork => {
                self.counts.forks += 1;
                self.forked.push((id, number, made, entry.clone()));
                self.put(id, number, made, entry);
            }
            Taken::ForkUnkept => {
                self.counts.forks += 1;
                match entry {
                    Entry::Purge(_) => self.floor(Made::ago(now, Duration::ZERO)),
                    Entry::Setting(_) => self.put(id, number, made, entry),
                }
            }
            Taken::Old => {
                self.counts.duplicates += 1;
                self.counts.backwards += 1;
            }
            Taken::Far | Taken::No => self.counts.not_taken += 1,
        }
        taken != Taken::No
    }

    fn put(&mut self, stream: StreamId, number: Number, made: Made, entry: Entry) {
        match entry {
            Entry::Purge(purge) => self.effects.push((purge, made)),
            Entry::Setting(setting) => self.judge(Version { stream, number, setting }),
        }
    }

    /// One version of a setting, from wherever it came.
    pub(crate) fn judge(&mut self, version: Version) {
        let id = (version.stream, version.number);
        let (host, stamp) = (version.setting.host.clone(), version.setting.stamp);
        if let Some(control) = &mut self.control {
            control.heard_clock(stamp.at);
        }
        match self.hosts.take(version) {
            Judged::Changed { rival } => {
                self.counts.rivals += u64::from(rival);
                self.changed.push((id, host));
            }
            Judged::Fork => {
                self.counts.forks += 1;
                self.changed.push((id, host));
            }
            Judged::Refused => {
                self.counts.refused += 1;
                self.apart.refuse(id, host, Refusal::Full);
                self.ack_soon = true;
            }
            Judged::Known => {}
            Judged::Bad => self.counts.not_taken += 1,
        }
    }

    /// How far somebody's stream goes.
    /// `above`: of the parent or a control node, who would know.
    pub(crate) fn tip(&mut self, now: Duration, at: SocketAddr, tip: Tip, above: bool) {
        let id = tip.stream;
        self.heard_of_own(now, id, tip.last);
        if self.is_own(id) || tip.last.0 == 0 || tip.last.0 == u64::MAX || tip.first > tip.last.next() {
            return;
        }
        if !self.meet(now, id) {
            return;
        }
        let pulse = self.told.pulse;
        let Some(stream) = self.streams.get_mut(id) else { return };
        if !stream.begun && tip.first.0 <= 1 {
            stream.begin();
        }
        if above {
            stream.shown = now;
        }
        stream.note_last(now, tip.last, Some(at));
        let wait = if stream.begun { pulse / 2 } else { Duration::ZERO };
        stream.watch_gap(now, wait);
        self.touched.insert(id);
    }
}
