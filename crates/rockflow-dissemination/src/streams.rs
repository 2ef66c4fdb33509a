//! All streams: how many, and which of them go.

use crate::settings::MAX_CLOCK;
use crate::stream::Stream;
use crate::words::{ControlId, Incarnation, Kind, StreamId};
use std::collections::BTreeMap;
use std::time::Duration;

pub use crate::messages::MAX_STREAMS;

/// Control nodes of a fleet. Streams of another are not taken.
pub const MAX_CONTROL: usize = 16;

/// Streams by their names. At most `MAX_STREAMS`; when full, the earliest life that a later one of the same control
/// node has followed goes, and for purges a floor of now stands for it.
#[derive(Clone, Debug, Default)]
pub struct Streams {
    map: BTreeMap<StreamId, Stream>,
    /// The latest life that was dropped; it and earlier ones are not taken again.
    dropped: BTreeMap<(ControlId, Kind), Incarnation>,
    control: usize,
}

/// A control node can't begin a life above it; whoever names it, lives before it go on.
fn is_last(life: Incarnation) -> bool {
    life.0 >= MAX_CLOCK
}

/// What became of a stream that something was heard of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Met {
    Held,
    New,
    /// Not taken: unknown control node, or a life that is over.
    No,
    /// Not taken for lack of room: a floor of now stands for it.
    NoRoom,
}

impl Streams {
    pub fn new(control: usize) -> Streams {
        Streams { control: control.min(MAX_CONTROL), ..Streams::default() }
    }

    pub fn get(&self, id: StreamId) -> Option<&Stream> {
        self.map.get(&id)
    }

    pub fn get_mut(&mut self, id: StreamId) -> Option<&mut Stream> {
        self.map.get_mut(&id)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Stream> {
        self.map.values()
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Stream> {
        self.map.values_mut()
    }

    pub fn len(&self) -> usize {
        self.map.len()
    }

    pub fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    /// The latest life known of a control node, but for the last that there is.
    pub fn latest_life(&self, control: ControlId) -> Option<Incarnation> {
        let held = self.map.keys().filter(|id| id.control == control && !is_last(id.incarnation));
        let held = held.map(|id| id.incarnation).max();
        let gone = [Kind::Purges, Kind::Configuration];
        let gone = gone.iter().filter_map(|kind| self.dropped.get(&(control, *kind)).copied()).max();
        held.max(gone)
    }

    /// Since when a later life of the same control node is known here.
    fn followed_since(&self, id: StreamId) -> Option<Duration> {
        let later = |other: &&Stream| {
            let other = other.id;
            let same = other.control == id.control && other.kind == id.kind;
            same && other.incarnation > id.incarnation && !is_last(other.incarnation)
        };
        self.map.values().filter(later).map(|stream| stream.met).min()
    }

    /// Makes room for a stream that isn't held, where it may be. Also says which streams had to go.
    pub fn meet(&mut self, now: Duration, id: StreamId) -> (Met, Option<Stream>) {
        if self.map.contains_key(&id) {
            return (Met::Held, None);
        }
        let over = self.dropped.get(&(id.control, id.kind)).is_some_and(|life| id.incarnation <= *life);
        let none = id.incarnation.0 > MAX_CLOCK;
        if usize::from(id.control.0) >= self.control || over || none {
            return (Met::No, None);
        }
        self.map.insert(id, Stream::new(id, now));
        if self.map.len() <= MAX_STREAMS {
            return (Met::New, None);
        }
        let followed = self.map.keys().copied().filter(|id| self.followed_since(*id).is_some());
        match followed.min_by_key(|id| (id.incarnation, *id)) {
            Some(gone) if gone != id => (Met::New, self.drop(gone)),
            _ => {
                self.drop(id);
                (Met::NoRoom, None)
            }
        }
    }

    fn drop(&mut self, id: StreamId) -> Option<Stream> {
        if !is_last(id.incarnation) {
            let life = self.dropped.entry((id.control, id.kind)).or_insert(id.incarnation);
            *life = (*life).max(id.incarnation);
        }
        self.map.remove(&id)
    }

    /// Streams of lives that are over, and that nothing was heard of for so long, go: for so long since the later life is
    /// known here too, as that may be the moment at which this node hears again of what the life before had published.
    pub fn retire(&mut self, now: Duration, purges: Duration, configuration: Duration) -> Vec<Stream> {
        let quiet = |stream: &&Stream| {
            let wait = match stream.id.kind {
                Kind::Purges => purges,
                Kind::Configuration => configuration,
            };
            let since = self.followed_since(stream.id).map(|since| since.max(stream.moved));
            since.is_some_and(|since| now.saturating_sub(since) > wait)
        };
        let over: Vec<StreamId> = self.map.values().filter(quiet).map(|stream| stream.id).collect();
        over.into_iter().filter_map(|id| self.drop(id)).collect()
    }
}
