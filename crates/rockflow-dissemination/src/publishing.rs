//! A control node's own streams: numbered, sent at the pulses, and begun again above a life that is known elsewhere.

use crate::made::Made;
use crate::messages::Message;
use crate::node::Node;
use crate::outs::{EntryId, Out, Publication};
use crate::settings::MAX_CLOCK;
use crate::sizes;
use crate::stream::Held;
use crate::words::*;
use std::net::SocketAddr;
use std::time::Duration;

/// Publications that wait to leave. When full, a purge of everything stands for those that come, until there is room.
/// Settings that wait are held as long as their log holds them; after that the whole table stands for them.
pub const MAX_UNSENT: u64 = 16_383;
/// Frames of entries that leave at one pulse, of one kind.
const MAX_FRAMES: usize = 16;

/// By what publications may leave. All of them count against the pace.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Allowed {
    Pace,
    /// Where much of the pace is unused.
    Ample,
    /// Also where purges have used it up.
    ChangesShare,
}

impl Node {
    /// Numbers what is to be published, each in its stream, in the order given. It leaves with the next pulse. A
    /// member publishes nothing.
    pub fn publish(&mut self, now: Duration, what: Vec<Publication>) -> (Vec<EntryId>, Vec<Out>) {
        let now = self.enter(now);
        let mut ids = Vec::new();
        if self.control.is_some() && !self.stopped {
            for publication in what {
                ids.extend(self.publish_one(now, publication));
            }
        }
        (ids, self.finish(now, None))
    }

    fn publish_one(&mut self, now: Duration, publication: Publication) -> Option<EntryId> {
        match publication {
            Publication::Purge { purge, age } => self.publish_purge(now, purge, age),
            Publication::Setting { host, wanted } => {
                let seen = self.hosts.seen(&host);
                if let Some(control) = &mut self.control {
                    control.heard_clock(seen.at);
                }
                let stamp = self.control.as_mut()?.stamp(now, seen);
                let setting = Setting { host, wanted, stamp, seen };
                self.publish_setting(now, setting)
            }
        }
    }

    fn publish_setting(&mut self, now: Duration, setting: Setting) -> Option<EntryId> {
        // An entry that nobody takes would be a gap in the stream.
        if setting.host.is_empty() || setting.host.len() > MAX_NAME || setting.stamp.at > MAX_CLOCK {
            self.counts.not_taken += 1;
            return None;
        }
        let made = Made::ago(now, Duration::ZERO);
        let id = self.append(now, Kind::Configuration, made, Entry::Setting(setting.clone()))?;
        self.judge(Version { stream: id.0, number: id.1, setting });
        Some(id)
    }

    fn publish_purge(&mut self, now: Duration, purge: Purge, age: Duration) -> Option<EntryId> {
        let id = self.control.as_ref()?.stream(Kind::Purges);
        let sent = self.sent(Kind::Purges);
        let last = self.streams.get(id).map(|stream| stream.to()).unwrap_or_default();
        if last.0.saturating_sub(sent.0) < MAX_UNSENT {
            return self.append(now, Kind::Purges, Made::ago(now, age), Entry::Purge(purge));
        }
        self.counts.folded += 1;
        let stream = self.streams.get_mut(id)?;
        let everything = stream.get(last).is_some_and(|held| held.entry == Entry::Purge(Purge::Everything));
        // Who was told of its number may have asked for it and have it; that one would not take it again.
        let folds = everything && last > self.control.as_ref()?.purges_told;
        if folds {
            stream.renew(now, last);
            return Some((id, last));
        }
        self.append(now, Kind::Purges, Made::ago(now, Duration::ZERO), Entry::Purge(Purge::Everything))
    }

    /// The tips of a pulse tell of all that was published, also of what waits.
    pub(crate) fn tips_told(&mut self) {
        let Some(control) = &mut self.control else { return };
        if let Some(stream) = self.streams.get(control.stream(Kind::Purges)) {
            control.purges_told = stream.to();
        }
    }

    fn sent(&self, kind: Kind) -> Number {
        let control = self.control.as_ref();
        control.and_then(|control| control.sent.get(&kind).copied()).unwrap_or_default()
    }

    fn append(&mut self, now: Duration, kind: Kind, made: Made, entry: Entry) -> Option<EntryId> {
        let id = self.control.as_ref()?.stream(kind);
        if !self.meet(now, id) {
            self.counts.not_taken += 1;
            return None;
        }
        let number = self.streams.get_mut(id)?.append(now, Held { made, entry });
        self.touched.insert(id);
        Some((id, number))
    }

    /// Sends what was published, as far as the pace lets it: changes by their own share first, so that they don't wait
    /// behind a burst of purges; then purges; then more changes, as far as purges still find half of what may leave at
    /// once.
    pub(crate) fn gather(&mut self, now: Duration) {
        self.gather_kind(now, Kind::Configuration, Allowed::ChangesShare);
        self.gather_kind(now, Kind::Purges, Allowed::Pace);
        self.gather_kind(now, Kind::Configuration, Allowed::Ample);
    }

    fn gather_kind(&mut self, now: Duration, kind: Kind, allowed: Allowed) {
        let from = self.sent(kind).next();
        let Some(control) = &mut self.control else { return };
        let Some(stream) = self.streams.get(control.stream(kind)) else { return };
        let from = from.max(stream.first());
        if from > stream.to() {
            return;
        }
        let mut sent = from;
        let mut frames = Vec::new();
        for frame in stream.batches(now, from, stream.to(), MAX_FRAMES) {
            let bytes = sizes::message(&frame);
            let open = match allowed {
                Allowed::Pace => control.pace.open(now),
                Allowed::Ample => control.pace.ample(now),
                Allowed::ChangesShare => control.changes_pace.open(now),
            };
            if !open {
                break;
            }
            control.pace.take(bytes);
            if allowed == Allowed::ChangesShare {
                control.changes_pace.take(bytes);
            }
            if let Message::Batch { first, entries, .. } = &frame {
                sent = Number(first.0.saturating_add(entries.len() as u64));
            }
            frames.push(frame);
        }
        control.sent.insert(kind, Number(sent.0 - 1));
        let children: Vec<SocketAddr> = self.children.iter().map(|child| child.at).collect();
        for to in children.into_iter().chain(self.other_control()) {
            for frame in &frames {
                self.send(to, frame.clone());
            }
        }
    }

    /// A later life of this control node was heard of.
    pub(crate) fn outlived(&mut self, now: Duration, id: ControlId, life: Incarnation) {
        let own = self.control.as_ref().filter(|control| control.me == id);
        if own.is_some_and(|control| life > control.life) && life.0 < MAX_CLOCK {
            self.begin_again(now, Incarnation(life.0 + 1));
        }
    }

    /// This node's own streams go on under a later life, with what the one before published within the window.
    fn begin_again(&mut self, now: Duration, life: Incarnation) {
        let pulse = self.told.pulse;
        let Some(control) = &mut self.control else { return };
        // Once a pulse, whatever is heard; what is not answered comes again.
        if control.begun_again.is_some_and(|at| now < at + pulse) {
            return;
        }
        control.begun_again = Some(now);
        let before = [Kind::Purges, Kind::Configuration].map(|kind| control.stream(kind));
        control.life = life;
        control.sent.clear();
        control.purges_told = Number::default();
        self.told.me.incarnation = life;
        self.outs.push(Out::Outlived { incarnation: life });
        for id in before {
            let within = self.told.purge_window;
            let held = self.streams.get(id).map(|stream| stream.made_within(now, within)).unwrap_or_default();
            for Held { made, entry } in held {
                self.append(now, id.kind, made, entry);
            }
        }
    }

    /// Own streams heard of by others: of a later life, or further than this one has gone.
    pub(crate) fn heard_of_own(&mut self, now: Duration, id: StreamId, last: Number) {
        let Some(control) = self.control.as_ref().filter(|control| control.me == id.control) else { return };
        let life = control.life;
        let known = self.streams.get(id).map(|stream| stream.to()).unwrap_or_default();
        let further = id.incarnation == life && last > known && last.0 != u64::MAX;
        if (id.incarnation > life || further) && id.incarnation.0 < MAX_CLOCK {
            self.begin_again(now, Incarnation(id.incarnation.0 + 1));
        }
    }
}
