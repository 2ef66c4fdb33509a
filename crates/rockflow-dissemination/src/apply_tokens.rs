//! What the caller was given to apply and has not confirmed yet.

use crate::entry::{EntryId, SequenceNumber, StreamId};
use std::collections::{BTreeMap, BTreeSet};

/// Unconfirmed tokens of one kind. When full, all are replaced by one that covers them: a purge of everything, or the
/// whole table of settings.
pub const MAX_PENDING_TOKENS: usize = 4096;

/// Names what the caller is to confirm once its decisions have applied it. Later tokens are greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ApplyToken(pub u64);

#[derive(Clone, Debug, Default)]
struct PendingToken {
    is_confirmed: bool,
    /// Settings to be judged. A token all of whose settings are rejected counts as confirmed.
    awaiting_result: BTreeSet<EntryId>,
    /// How far streams are applied once this token and all before it are confirmed.
    covers: BTreeMap<StreamId, SequenceNumber>,
}

/// The unconfirmed tokens in the order of their issue. Streams are applied as far as the confirmed ones before the first
/// unconfirmed one cover.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingTokens {
    pending: BTreeMap<ApplyToken, PendingToken>,
}

impl PendingTokens {
    /// Tokens that are not confirmed yet.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether no further token may be issued.
    pub fn is_full(&self) -> bool {
        self.pending.len() >= MAX_PENDING_TOKENS
    }

    /// Forgets every token.
    pub fn clear(&mut self) {
        self.pending.clear();
    }

    /// Adds a token, with the settings that are to be judged under it.
    pub fn issue(&mut self, token: ApplyToken, awaiting_result: BTreeSet<EntryId>) {
        let pending = PendingToken { is_confirmed: false, awaiting_result, covers: BTreeMap::new() };
        self.pending.insert(token, pending);
    }

    /// The newest token covers a stream up to this number. Returns false where no token is pending.
    pub fn extend(&mut self, stream: StreamId, to: SequenceNumber) -> bool {
        let Some(mut newest) = self.pending.last_entry() else { return false };
        newest.get_mut().covers.insert(stream, to);
        true
    }

    /// The caller has applied what it was given under this token.
    pub fn confirm(&mut self, token: ApplyToken) {
        if let Some(pending) = self.pending.get_mut(&token) {
            pending.is_confirmed = true;
        }
    }

    /// Confirms a token and all before it, where each includes what those before it did. Returns whether it was pending.
    pub fn confirm_up_to(&mut self, token: ApplyToken) -> bool {
        if !self.pending.contains_key(&token) {
            return false;
        }
        for (_, pending) in self.pending.range_mut(..=token) {
            pending.is_confirmed = true;
        }
        true
    }

    /// The caller has rejected a setting.
    pub fn on_rejected(&mut self, id: EntryId) {
        for pending in self.pending.values_mut() {
            if pending.awaiting_result.remove(&id) && pending.awaiting_result.is_empty() {
                pending.is_confirmed = true;
            }
        }
    }

    /// Removes the confirmed tokens before the first unconfirmed one. Returns what they cover, in order.
    pub fn take_confirmed(&mut self) -> Vec<(StreamId, SequenceNumber)> {
        let mut covered = Vec::new();
        while let Some(first) = self.pending.first_entry() {
            if !first.get().is_confirmed {
                break;
            }
            covered.extend(first.remove().covers);
        }
        covered
    }
}
