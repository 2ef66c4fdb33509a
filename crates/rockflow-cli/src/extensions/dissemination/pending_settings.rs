//! Settings that the endpoint list has not judged yet. Decides; does no I/O.

use rockflow_dissemination::{ApplyToken, EntryId};
use rockflow_endpoints::RejectedOverride;
use std::collections::BTreeMap;

/// Settings that may wait: four times as many as overrides are held. A further one is rejected, and the node gives it again
/// with the next change.
pub const MAX_PENDING_SETTINGS: usize = 16_384;

/// Owns the waiting settings by the token under which they were given, so that those of a token whose judgement is lost
/// are judged with the next.
#[derive(Debug, Default)]
pub struct PendingSettings {
    waiting: BTreeMap<ApplyToken, Vec<(EntryId, String)>>,
    count: usize,
}

impl PendingSettings {
    /// Adds the settings that have changed under this token. Returns those for which there is no room.
    pub fn add(&mut self, token: ApplyToken, mut changed: Vec<(EntryId, String)>) -> Vec<(EntryId, String)> {
        let without_room = changed.split_off(changed.len().min(MAX_PENDING_SETTINGS - self.count));
        self.count += changed.len();
        if !changed.is_empty() {
            self.waiting.entry(token).or_default().extend(changed);
        }
        without_room
    }

    /// The list has applied all that was given up to this token, except these hosts. Returns the settings that are rejected.
    pub fn take_judged(
        &mut self,
        token: ApplyToken,
        rejected: &BTreeMap<String, RejectedOverride>,
    ) -> Vec<(EntryId, String, RejectedOverride)> {
        let later = self.waiting.split_off(&ApplyToken(token.0.saturating_add(1)));
        let judged = std::mem::replace(&mut self.waiting, later);
        let judged: Vec<(EntryId, String)> = judged.into_values().flatten().collect();
        self.count -= judged.len();
        let with_reason = |(id, host): (EntryId, String)| {
            let why = *rejected.get(&host)?;
            Some((id, host, why))
        };
        judged.into_iter().filter_map(with_reason).collect()
    }
}
