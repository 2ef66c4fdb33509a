//! All streams: how many, and which of them go.

use crate::entry::{StreamId, StreamKind};
use crate::identity::{ControlId, Incarnation};
use crate::message::MAX_STREAMS;
use crate::settings::MAX_CLOCK_UNIX_MS;
use crate::stream::Stream;
use std::collections::BTreeMap;
use std::time::Duration;

/// Control nodes of a fleet. Streams of another are not taken.
pub const MAX_CONTROL: usize = 16;

/// Streams by their names. At most `MAX_STREAMS`; when full, the earliest life that a later one of the same control
/// node has followed goes, and for purges a floor of now stands for it.
#[derive(Clone, Debug, Default)]
pub struct Streams {
    streams: BTreeMap<StreamId, Stream>,
    /// The latest life that was dropped; it and earlier ones are not taken again.
    dropped: BTreeMap<(ControlId, StreamKind), Incarnation>,
    control_count: usize,
}

/// A control node can't begin a life above it; whoever names it, lives before it go on.
fn is_last_possible(incarnation: Incarnation) -> bool {
    incarnation.0 >= MAX_CLOCK_UNIX_MS
}

/// What became of a stream that something was heard of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamAdmission {
    Held,
    New,
    /// Not taken: unknown control node, or a life that is over.
    Rejected,
    /// Not taken for lack of room: a floor of now stands for it.
    NoCapacity,
}

impl Streams {
    pub fn new(control_count: usize) -> Streams {
        Streams { control_count: control_count.min(MAX_CONTROL), ..Streams::default() }
    }

    pub fn get(&self, id: StreamId) -> Option<&Stream> {
        self.streams.get(&id)
    }

    pub fn get_mut(&mut self, id: StreamId) -> Option<&mut Stream> {
        self.streams.get_mut(&id)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Stream> {
        self.streams.values()
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Stream> {
        self.streams.values_mut()
    }

    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// The latest life known of a control node, but for the last that there is.
    pub fn latest_incarnation(&self, control: ControlId) -> Option<Incarnation> {
        let held =
            self.streams.keys().filter(|id| id.control == control && !is_last_possible(id.incarnation));
        let held = held.map(|id| id.incarnation).max();
        let gone = [StreamKind::Purges, StreamKind::Configuration];
        let gone = gone.iter().filter_map(|kind| self.dropped.get(&(control, *kind)).copied()).max();
        held.max(gone)
    }

    /// Since when a later life of the same control node is known here.
    fn superseded_since(&self, id: StreamId) -> Option<Duration> {
        let later = |other: &&Stream| {
            let other = other.id;
            let same = other.control == id.control && other.kind == id.kind;
            same && other.incarnation > id.incarnation && !is_last_possible(other.incarnation)
        };
        self.streams.values().filter(later).map(|stream| stream.first_seen).min()
    }

    /// Makes room for a stream that isn't held, where it may be. Also says which streams had to go.
    pub fn admit(&mut self, now: Duration, id: StreamId) -> (StreamAdmission, Option<Stream>) {
        if self.streams.contains_key(&id) {
            return (StreamAdmission::Held, None);
        }
        let superseded = self
            .dropped
            .get(&(id.control, id.kind))
            .is_some_and(|incarnation| id.incarnation <= *incarnation);
        let beyond_clock = id.incarnation.0 > MAX_CLOCK_UNIX_MS;
        if usize::from(id.control.0) >= self.control_count || superseded || beyond_clock {
            return (StreamAdmission::Rejected, None);
        }
        self.streams.insert(id, Stream::new(id, now));
        if self.streams.len() <= MAX_STREAMS {
            return (StreamAdmission::New, None);
        }
        let followed = self.streams.keys().copied().filter(|id| self.superseded_since(*id).is_some());
        match followed.min_by_key(|id| (id.incarnation, *id)) {
            Some(gone) if gone != id => (StreamAdmission::New, self.drop(gone)),
            _ => {
                self.drop(id);
                (StreamAdmission::NoCapacity, None)
            }
        }
    }

    fn drop(&mut self, id: StreamId) -> Option<Stream> {
        if !is_last_possible(id.incarnation) {
            let incarnation = self.dropped.entry((id.control, id.kind)).or_insert(id.incarnation);
            *incarnation = (*incarnation).max(id.incarnation);
        }
        self.streams.remove(&id)
    }

    /// Streams of lives that are over, and that nothing was heard of for so long, go: for so long since the later life is
    /// known here too, as that may be the moment at which this node hears again of what the life before had published.
    pub fn retire_superseded(
        &mut self,
        now: Duration,
        purges: Duration,
        configuration: Duration,
    ) -> Vec<Stream> {
        let quiet = |stream: &&Stream| {
            let wait = match stream.id.kind {
                StreamKind::Purges => purges,
                StreamKind::Configuration => configuration,
            };
            let since = self.superseded_since(stream.id).map(|since| since.max(stream.last_advanced));
            since.is_some_and(|since| now.saturating_sub(since) > wait)
        };
        let over: Vec<StreamId> = self.streams.values().filter(quiet).map(|stream| stream.id).collect();
        over.into_iter().filter_map(|id| self.drop(id)).collect()
    }
}
