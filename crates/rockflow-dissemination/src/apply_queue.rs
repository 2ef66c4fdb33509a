//! The queue of purges and settings for the node's caller: those that wait to be handed over, and the tokens of those
//! that were handed over and are not confirmed yet.

use crate::apply_tokens::{ApplyToken, PendingTokens};
use crate::counters::Counters;
use crate::entry::{EntryId, Purge, StreamId, StreamKind};
use crate::output::Output;
use crate::quarantine::QuarantinedSettings;
use crate::settings_table::SettingsTable;
use crate::streams::Streams;
use crate::timestamp::Timestamp;
use std::collections::BTreeSet;
use std::time::Duration;

/// Whether the caller applies what it is handed and confirms it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Confirmation {
    /// At a member: an entry counts as applied once the caller has confirmed it.
    Required,
    /// At a control node, which serves no objects: an entry counts as applied once it is received.
    NotNeeded,
}

/// Purges and settings for the caller, each in the order in which they were received.
#[derive(Clone, Debug)]
pub(crate) struct ApplyQueue {
    confirmation: Confirmation,
    /// Queued purges and when each was issued.
    purges: Vec<(Purge, Timestamp)>,
    /// Entries that changed a setting, and the host of each.
    settings: Vec<(EntryId, String)>,
    pending_purges: PendingTokens,
    pending_settings: PendingTokens,
    /// The token issued last, of either kind; 0 before the first.
    last_token: u64,
    /// Streams that may have advanced since the last flush.
    touched: BTreeSet<StreamId>,
}

impl ApplyQueue {
    /// An empty queue.
    pub fn new(confirmation: Confirmation) -> ApplyQueue {
        ApplyQueue {
            confirmation,
            purges: Vec::new(),
            settings: Vec::new(),
            pending_purges: PendingTokens::default(),
            pending_settings: PendingTokens::default(),
            last_token: 0,
            touched: BTreeSet::new(),
        }
    }

    /// Queues a purge that was issued at `timestamp`.
    pub fn push_purge(&mut self, purge: Purge, timestamp: Timestamp) {
        self.purges.push((purge, timestamp));
    }

    /// Queues a purge of everything older than `timestamp`, in place of purges that were lost. At a control node, which
    /// serves no objects, it is only counted.
    pub fn push_substitute_purge(&mut self, timestamp: Timestamp, counters: &mut Counters) {
        counters.substitute_purges += 1;
        if self.confirmation == Confirmation::Required {
            self.purges.push((Purge::Everything, timestamp));
        }
    }

    /// Queues a change of the host's setting by the entry `id`.
    pub fn push_setting(&mut self, id: EntryId, host: String) {
        self.settings.push((id, host));
    }

    /// Marks a stream as changed, so that the next flush updates how far it is applied.
    pub fn touch(&mut self, stream: StreamId) {
        self.touched.insert(stream);
    }

    /// Streams that may have advanced since the last flush.
    pub fn touched(&self) -> impl Iterator<Item = StreamId> + '_ {
        self.touched.iter().copied()
    }

    /// Number of tokens held for purges that were handed over.
    pub fn pending_purges(&self) -> usize {
        self.pending_purges.len()
    }

    /// Number of tokens held for settings that were handed over.
    pub fn pending_settings(&self) -> usize {
        self.pending_settings.len()
    }

    /// Records that the caller has applied what it was handed under `token`. Returns whether this is a pending token of
    /// settings; the caller has then accepted or rejected all settings up to it.
    pub fn confirm(&mut self, token: ApplyToken) -> bool {
        self.pending_purges.confirm(token);
        self.pending_settings.confirm_up_to(token)
    }

    /// Records that the caller has rejected the setting of the entry `id`.
    pub fn on_rejected(&mut self, id: EntryId) {
        self.pending_settings.on_rejected(id);
    }

    /// Hands over the queued purges under a new token; `None` if there are none. At the limit of unconfirmed tokens,
    /// one purge of everything replaces these purges and the unconfirmed ones.
    pub fn take_purges(
        &mut self,
        now: Duration,
        streams: &Streams,
        counters: &mut Counters,
    ) -> Option<Output> {
        if self.purges.is_empty() {
            return None;
        }
        let token = self.next_token();
        let mut purges = std::mem::take(&mut self.purges);
        if self.confirmation == Confirmation::Required {
            if self.pending_purges.is_full() {
                counters.token_overflows += 1;
                self.pending_purges.clear();
                counters.substitute_purges += 1;
                purges = vec![(Purge::Everything, Timestamp::ago(now, Duration::ZERO))];
                self.touched.extend(streams.of_kind(StreamKind::Purges));
            }
            self.pending_purges.issue(token, BTreeSet::new());
        }
        let purges = purges.into_iter().map(|(purge, timestamp)| (purge, timestamp.age(now))).collect();
        Some(Output::Purge { purges, token })
    }

    /// Hands over the whole table under a new token if a setting has changed; otherwise `None`. The changed settings
    /// include the quarantined ones that are retried.
    pub fn take_settings(
        &mut self,
        table: &SettingsTable,
        quarantined: &mut QuarantinedSettings,
        streams: &Streams,
        counters: &mut Counters,
    ) -> Option<Output> {
        if self.settings.is_empty() {
            return None;
        }
        let token = self.next_token();
        let mut changed = std::mem::take(&mut self.settings);
        let retried = quarantined.retry_under(table, token);
        let changed_ids: BTreeSet<EntryId> = changed.iter().map(|(id, _)| *id).collect();
        changed.extend(retried.into_iter().filter(|(id, _)| !changed_ids.contains(id)));
        if self.confirmation == Confirmation::Required {
            if self.pending_settings.is_full() {
                counters.token_overflows += 1;
                self.pending_settings.clear();
                self.touched.extend(streams.of_kind(StreamKind::Configuration));
            }
            let handed_over = changed.iter().map(|(id, _)| *id).collect();
            self.pending_settings.issue(token, handed_over);
        }
        Some(Output::Configure { settings: table.desired_states(), changed, token })
    }

    /// Updates how far the changed streams and those of confirmed tokens are applied. A changed stream with nothing
    /// pending is applied as far as it is received; otherwise the newest pending token covers it. Returns whether any
    /// stream has advanced.
    pub fn update_applied(&mut self, streams: &mut Streams) -> bool {
        let mut has_advanced = false;
        for id in std::mem::take(&mut self.touched) {
            let pending = match id.kind {
                StreamKind::Purges => &mut self.pending_purges,
                StreamKind::Configuration => &mut self.pending_settings,
            };
            let Some(stream) = streams.get_mut(id) else { continue };
            let received = stream.received();
            if stream.start_known && !pending.extend(id, received) && stream.applied != received {
                stream.applied = received;
                has_advanced = true;
            }
        }
        let mut confirmed = self.pending_purges.take_confirmed();
        confirmed.extend(self.pending_settings.take_confirmed());
        for (id, number) in confirmed {
            if let Some(stream) = streams.get_mut(id) {
                stream.applied = stream.applied.max(number);
                has_advanced = true;
            }
        }
        has_advanced
    }

    fn next_token(&mut self) -> ApplyToken {
        self.last_token += 1;
        ApplyToken(self.last_token)
    }
}
