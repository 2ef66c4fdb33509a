//! What the caller was given to put in effect, and has not confirmed yet.

use crate::entry::{EntryId, SequenceNumber, StreamId};
use std::collections::{BTreeMap, BTreeSet};

/// Names what the caller is to confirm once its decisions go by it. Later ones are greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ApplyToken(pub u64);

/// Tickets that wait to be confirmed, of one kind. When full, all are given up for one that covers them: a floor of now
/// for purges, the whole table again for settings.
pub const MAX_PENDING_TOKENS: usize = 4096;

#[derive(Clone, Debug, Default)]
struct PendingToken {
    confirmed: bool,
    /// Settings to be judged: a ticket all of whose settings are refused is done.
    unjudged: BTreeSet<EntryId>,
    /// How far its streams go once it and all before it are confirmed.
    covers: BTreeMap<StreamId, SequenceNumber>,
}

/// Tickets in the order they were given; streams are in force as far as the confirmed ones in a row say.
#[derive(Clone, Debug, Default)]
pub struct PendingTokens {
    open: BTreeMap<ApplyToken, PendingToken>,
}

impl PendingTokens {
    pub fn len(&self) -> usize {
        self.open.len()
    }

    pub fn is_full(&self) -> bool {
        self.open.len() >= MAX_PENDING_TOKENS
    }

    pub fn clear(&mut self) {
        self.open.clear();
    }

    pub fn issue(&mut self, token: ApplyToken, unjudged: BTreeSet<EntryId>) {
        self.open.insert(token, PendingToken { confirmed: false, unjudged, covers: BTreeMap::new() });
    }

    /// The stream goes so far once all that is out by now is confirmed; false: nothing is out.
    pub fn extend(&mut self, stream: StreamId, to: SequenceNumber) -> bool {
        match self.open.last_entry() {
            Some(mut newest) => {
                newest.get_mut().covers.insert(stream, to);
                true
            }
            None => false,
        }
    }

    pub fn confirm(&mut self, token: ApplyToken) {
        if let Some(pending) = self.open.get_mut(&token) {
            pending.confirmed = true;
        }
    }

    /// As each holds all that those before it hold. False: it is none of these.
    pub fn confirm_up_to(&mut self, token: ApplyToken) -> bool {
        if !self.open.contains_key(&token) {
            return false;
        }
        for (_, pending) in self.open.range_mut(..=token) {
            pending.confirmed = true;
        }
        true
    }

    pub fn on_rejected(&mut self, id: EntryId) {
        for pending in self.open.values_mut() {
            if pending.unjudged.remove(&id) && pending.unjudged.is_empty() {
                pending.confirmed = true;
            }
        }
    }

    /// What has come in force since.
    pub fn take_confirmed(&mut self) -> Vec<(StreamId, SequenceNumber)> {
        let mut advanced = Vec::new();
        while let Some(first) = self.open.first_entry() {
            if !first.get().confirmed {
                break;
            }
            advanced.extend(first.remove().covers);
        }
        advanced
    }
}
