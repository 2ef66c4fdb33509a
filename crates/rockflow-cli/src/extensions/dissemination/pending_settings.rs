//! Settings that the endpoint list has neither applied nor rejected yet. This module does no I/O.

use rockflow_dissemination::{ApplyToken, EntryId};
use rockflow_endpoints::RejectedOverride;
use std::collections::BTreeMap;

/// Maximum number of pending settings: four times the maximum number of overrides. A setting above it is rejected, and
/// the node passes it on again with the next change.
pub const MAX_PENDING_SETTINGS: usize = 16_384;

/// Holds the pending settings by the token of the node's output that brought them. If the result for a token is lost, its
/// settings are resolved by the result for a later token.
#[derive(Debug, Default)]
pub struct PendingSettings {
    by_token: BTreeMap<ApplyToken, Vec<(EntryId, String)>>,
    /// Number of settings under all tokens.
    count: usize,
}

/// A setting that the endpoint list has rejected.
#[derive(Debug)]
pub struct RejectedSetting {
    pub id: EntryId,
    pub host: String,
    pub reason: RejectedOverride,
}

impl PendingSettings {
    /// Adds the settings that have changed with this token. Returns those that exceed [`MAX_PENDING_SETTINGS`].
    pub fn add(&mut self, token: ApplyToken, mut changed: Vec<(EntryId, String)>) -> Vec<(EntryId, String)> {
        let over_capacity = changed.split_off(changed.len().min(MAX_PENDING_SETTINGS - self.count));
        self.count += changed.len();
        if !changed.is_empty() {
            self.by_token.entry(token).or_default().extend(changed);
        }
        over_capacity
    }

    /// Removes the settings up to and including this token, after the endpoint list has applied all of them except those
    /// of the rejected hosts. Returns the settings of these hosts.
    pub fn take_rejected(
        &mut self,
        token: ApplyToken,
        rejected_hosts: &BTreeMap<String, RejectedOverride>,
    ) -> Vec<RejectedSetting> {
        let later = self.by_token.split_off(&ApplyToken(token.0.saturating_add(1)));
        let resolved = std::mem::replace(&mut self.by_token, later);
        let resolved: Vec<(EntryId, String)> = resolved.into_values().flatten().collect();
        self.count -= resolved.len();
        let with_reason = |(id, host): (EntryId, String)| {
            let reason = *rejected_hosts.get(&host)?;
            Some(RejectedSetting { id, host, reason })
        };
        resolved.into_iter().filter_map(with_reason).collect()
    }
}
