//! What the caller was given to put in effect, and has not confirmed yet.

use crate::outs::{EntryId, Ticket};
use crate::words::{Number, StreamId};
use std::collections::{BTreeMap, BTreeSet};

/// Tickets that wait to be confirmed, of one kind. When full, all are given up for one that covers them: a floor of now
/// for purges, the whole table again for settings.
pub const MAX_TICKETS: usize = 4096;

#[derive(Clone, Debug, Default)]
struct Mark {
    done: bool,
    /// Settings to be judged: a ticket all of whose settings are refused is done.
    judged: BTreeSet<EntryId>,
    /// How far its streams go once it and all before it are confirmed.
    reaches: BTreeMap<StreamId, Number>,
}

/// Tickets in the order they were given; streams are in force as far as the confirmed ones in a row say.
#[derive(Clone, Debug, Default)]
pub struct Tickets {
    open: BTreeMap<Ticket, Mark>,
}

impl Tickets {
    pub fn len(&self) -> usize {
        self.open.len()
    }

    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    pub fn is_full(&self) -> bool {
        self.open.len() >= MAX_TICKETS
    }

    pub fn clear(&mut self) {
        self.open.clear();
    }

    pub fn give(&mut self, ticket: Ticket, judged: BTreeSet<EntryId>) {
        self.open.insert(ticket, Mark { done: false, judged, reaches: BTreeMap::new() });
    }

    /// The stream goes so far once all that is out by now is confirmed; false: nothing is out.
    pub fn reach(&mut self, stream: StreamId, to: Number) -> bool {
        match self.open.last_entry() {
            Some(mut newest) => {
                newest.get_mut().reaches.insert(stream, to);
                true
            }
            None => false,
        }
    }

    pub fn confirm(&mut self, ticket: Ticket) {
        if let Some(mark) = self.open.get_mut(&ticket) {
            mark.done = true;
        }
    }

    /// As each holds all that those before it hold. False: it is none of these.
    pub fn confirm_up_to(&mut self, ticket: Ticket) -> bool {
        if !self.open.contains_key(&ticket) {
            return false;
        }
        for (_, mark) in self.open.range_mut(..=ticket) {
            mark.done = true;
        }
        true
    }

    pub fn refused(&mut self, id: EntryId) {
        for mark in self.open.values_mut() {
            if mark.judged.remove(&id) && mark.judged.is_empty() {
                mark.done = true;
            }
        }
    }

    /// What has come in force since.
    pub fn settle(&mut self) -> Vec<(StreamId, Number)> {
        let mut news = Vec::new();
        while let Some(first) = self.open.first_entry() {
            if !first.get().done {
                break;
            }
            news.extend(first.remove().reaches);
        }
        news
    }
}
