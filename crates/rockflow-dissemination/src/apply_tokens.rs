//! Tokens by which the caller confirms the purges and settings that it was handed.

use crate::entry::{EntryId, SequenceNumber, StreamId};
use std::collections::{BTreeMap, BTreeSet};

/// Limit of tokens held for purges, and likewise for settings. At the limit one new token replaces them all: it hands
/// over a purge of everything, or the whole table of settings.
pub const MAX_PENDING_TOKENS: usize = 4096;

/// Identifies purges or settings handed to the caller, which confirms the token once the decision logic has applied
/// them. Later tokens are greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ApplyToken(pub u64);

/// A token handed to the caller, held until it and all earlier ones are confirmed.
#[derive(Clone, Debug, Default)]
struct PendingToken {
    is_confirmed: bool,
    /// Settings handed over under this token and not rejected so far. Once the last is rejected, the token counts as
    /// confirmed.
    not_rejected: BTreeSet<EntryId>,
    /// The number up to which each stream is applied once this token and all earlier ones are confirmed.
    covers: BTreeMap<StreamId, SequenceNumber>,
}

/// Tokens of one kind in the order of issue. A stream counts as applied only as far as the tokens before the first
/// unconfirmed one cover it, so a confirmed token is held as long as an earlier one is unconfirmed.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingTokens {
    pending: BTreeMap<ApplyToken, PendingToken>,
}

impl PendingTokens {
    /// Number of tokens held, confirmed or not.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether no further token may be issued.
    pub fn is_full(&self) -> bool {
        self.pending.len() >= MAX_PENDING_TOKENS
    }

    /// Removes every token without counting it as confirmed.
    pub fn clear(&mut self) {
        self.pending.clear();
    }

    /// Adds a token under which these settings are handed over; none for a token of purges.
    pub fn issue(&mut self, token: ApplyToken, settings: BTreeSet<EntryId>) {
        let pending = PendingToken { is_confirmed: false, not_rejected: settings, covers: BTreeMap::new() };
        self.pending.insert(token, pending);
    }

    /// Makes the newest token cover a stream up to the number `last`. Returns false if no token is held.
    pub fn extend(&mut self, stream: StreamId, last: SequenceNumber) -> bool {
        let Some(mut newest) = self.pending.last_entry() else { return false };
        newest.get_mut().covers.insert(stream, last);
        true
    }

    /// Records that the caller has applied what it was handed under `token`.
    pub fn confirm(&mut self, token: ApplyToken) {
        if let Some(pending) = self.pending.get_mut(&token) {
            pending.is_confirmed = true;
        }
    }

    /// Confirms a token and all earlier ones, for a kind whose later tokens include what earlier ones handed over.
    /// Returns whether the token was held.
    pub fn confirm_up_to(&mut self, token: ApplyToken) -> bool {
        if !self.pending.contains_key(&token) {
            return false;
        }
        for (_, pending) in self.pending.range_mut(..=token) {
            pending.is_confirmed = true;
        }
        true
    }

    /// Records that the caller has rejected the setting of the entry `id`.
    pub fn on_rejected(&mut self, id: EntryId) {
        for pending in self.pending.values_mut() {
            if pending.not_rejected.remove(&id) && pending.not_rejected.is_empty() {
                pending.is_confirmed = true;
            }
        }
    }

    /// Removes the confirmed tokens before the first unconfirmed one. Returns how far they cover streams, in order of
    /// issue.
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
