//! The streams that a node holds, with the rules by which streams are admitted and dropped.

use crate::entry::{StreamId, StreamKind};
use crate::identity::{ControlId, Incarnation};
use crate::message::MAX_STREAMS;
use crate::setting::MAX_CLOCK_UNIX_MS;
use crate::stream::Stream;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of control nodes of a fleet. Streams of further ones are rejected.
pub(crate) const MAX_CONTROL: usize = 16;

/// The result of admitting a stream that a message names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamAdmission {
    /// The node holds the stream already.
    Held,
    /// The stream was added.
    New,
    /// The control node is unknown, or the incarnation is retired or impossibly great.
    Rejected,
    /// There is no room for the stream, so that its entries are lost.
    NoCapacity,
}

/// The streams of a node, at most [`MAX_STREAMS`]. When there are more, the stream of the earliest superseded
/// incarnation is dropped.
#[derive(Clone, Debug, Default)]
pub(crate) struct Streams {
    streams: BTreeMap<StreamId, Stream>,
    /// The latest incarnation whose stream was dropped; it and earlier ones are not admitted again.
    dropped: BTreeMap<(ControlId, StreamKind), Incarnation>,
    control_count: usize,
}

impl Streams {
    /// Creates an empty set for the streams of `control_count` control nodes.
    pub fn new(control_count: usize) -> Streams {
        Streams { control_count: control_count.min(MAX_CONTROL), ..Streams::default() }
    }

    /// The stream with this id, if it is held.
    pub fn get(&self, id: StreamId) -> Option<&Stream> {
        self.streams.get(&id)
    }

    /// The stream with this id, if it is held, for changing it.
    pub fn get_mut(&mut self, id: StreamId) -> Option<&mut Stream> {
        self.streams.get_mut(&id)
    }

    /// All streams.
    pub fn iter(&self) -> impl Iterator<Item = &Stream> {
        self.streams.values()
    }

    /// All streams, for changing them.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Stream> {
        self.streams.values_mut()
    }

    /// The ids of the streams of this kind.
    pub fn of_kind(&self, kind: StreamKind) -> impl Iterator<Item = StreamId> + '_ {
        self.streams.keys().copied().filter(move |id| id.kind == kind)
    }

    /// The number of streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// The latest known incarnation of a control node; `None` if none is known. Ignores incarnations that no later one
    /// can follow.
    pub fn latest_incarnation(&self, control: ControlId) -> Option<Incarnation> {
        let ids = self.streams.keys().filter(|id| id.control == control);
        let held = ids.map(|id| id.incarnation).filter(|incarnation| !is_last_possible(*incarnation)).max();
        let kinds = [StreamKind::Purges, StreamKind::Configuration];
        let dropped = kinds.iter().filter_map(|kind| self.dropped.get(&(control, *kind)).copied()).max();
        held.max(dropped)
    }

    /// Adds a stream that is not held yet, if it is admissible. Also returns the stream that was dropped to make room.
    pub fn admit(&mut self, now: Duration, id: StreamId) -> (StreamAdmission, Option<Stream>) {
        if self.streams.contains_key(&id) {
            return (StreamAdmission::Held, None);
        }
        let dropped = self.dropped.get(&(id.control, id.kind));
        let is_retired = dropped.is_some_and(|dropped| id.incarnation <= *dropped);
        let is_known_control = usize::from(id.control.0) < self.control_count;
        if !is_known_control || is_retired || id.incarnation.0 > MAX_CLOCK_UNIX_MS {
            return (StreamAdmission::Rejected, None);
        }
        self.streams.insert(id, Stream::new(id, now));
        if self.streams.len() <= MAX_STREAMS {
            return (StreamAdmission::New, None);
        }
        let superseded_ids = self.streams.keys().copied().filter(|id| self.superseded_since(*id).is_some());
        match superseded_ids.min_by_key(|id| (id.incarnation, *id)) {
            Some(earliest) if earliest != id => (StreamAdmission::New, self.drop(earliest)),
            _ => {
                self.drop(id);
                (StreamAdmission::NoCapacity, None)
            }
        }
    }

    /// Drops and returns the superseded streams that were quiet for the time given for their kind. That time counts
    /// from the stream's last advance, or from when a later incarnation became known here, whichever is later: a node
    /// that was cut off may learn of the later incarnation first and receive the last entries of the earlier one after
    /// that.
    pub fn retire_superseded(
        &mut self,
        now: Duration,
        purges_quiet: Duration,
        configuration_quiet: Duration,
    ) -> Vec<Stream> {
        let is_retired = |stream: &&Stream| {
            let quiet = match stream.id.kind {
                StreamKind::Purges => purges_quiet,
                StreamKind::Configuration => configuration_quiet,
            };
            let quiet_since = self.superseded_since(stream.id).map(|since| since.max(stream.last_advanced));
            quiet_since.is_some_and(|since| now.saturating_sub(since) > quiet)
        };
        let retired: Vec<StreamId> =
            self.streams.values().filter(is_retired).map(|stream| stream.id).collect();
        retired.into_iter().filter_map(|id| self.drop(id)).collect()
    }

    /// Time at which a later incarnation of the same control node became known here; `None` if none is known.
    fn superseded_since(&self, id: StreamId) -> Option<Duration> {
        let is_later = |other: &&Stream| {
            let other = other.id;
            let is_same_publisher = other.control == id.control && other.kind == id.kind;
            is_same_publisher && other.incarnation > id.incarnation && !is_last_possible(other.incarnation)
        };
        self.streams.values().filter(is_later).map(|stream| stream.first_seen).min()
    }

    fn drop(&mut self, id: StreamId) -> Option<Stream> {
        if !is_last_possible(id.incarnation) {
            let latest = self.dropped.entry((id.control, id.kind)).or_insert(id.incarnation);
            *latest = (*latest).max(id.incarnation);
        }
        self.streams.remove(&id)
    }
}

/// Whether no control node can have a greater incarnation. A message may name such an incarnation, but it does not
/// supersede others, as the control node could not continue above it.
fn is_last_possible(incarnation: Incarnation) -> bool {
    incarnation.0 >= MAX_CLOCK_UNIX_MS
}
