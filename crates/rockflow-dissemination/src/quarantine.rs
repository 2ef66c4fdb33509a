//! Settings that this node rejects.

use crate::apply_tokens::ApplyToken;
use crate::entry::EntryId;
use crate::setting::RejectionReason;
use crate::settings_table::{SettingsTable, MAX_HOSTS};
use std::collections::BTreeMap;

/// Limit of quarantined settings. A further rejected setting is counted, but neither reported nor retried.
pub const MAX_QUARANTINED: usize = 256;

/// A rejected setting.
#[derive(Clone, Debug)]
struct Quarantined {
    host: String,
    reason: RejectionReason,
    /// The token under which the caller was handed the setting again. `None`: not since it was last rejected.
    retried_under: Option<ApplyToken>,
}

/// Owns the rejected settings until the caller accepts them or they are replaced.
#[derive(Clone, Debug, Default)]
pub(crate) struct QuarantinedSettings {
    settings: BTreeMap<EntryId, Quarantined>,
}

impl QuarantinedSettings {
    /// Number of quarantined settings.
    pub fn len(&self) -> usize {
        self.settings.len()
    }

    /// Adds a setting that was rejected, or rejected again. Does nothing if there is no room.
    pub fn insert(&mut self, id: EntryId, host: String, reason: RejectionReason) {
        if self.settings.len() < MAX_QUARANTINED || self.settings.contains_key(&id) {
            self.settings.insert(id, Quarantined { host, reason, retried_under: None });
        }
    }

    /// Returns the settings that the caller is handed again, together with a changed one, under `token`. Removes those
    /// that the table no longer holds, except those that wait for room in a full table.
    pub fn retry_under(&mut self, table: &SettingsTable, token: ApplyToken) -> Vec<(EntryId, String)> {
        let is_table_full = table.len() >= MAX_HOSTS;
        self.settings.retain(|id, quarantined| {
            let waits_for_room = is_table_full && quarantined.reason == RejectionReason::Full;
            table.holds(&quarantined.host, *id) || waits_for_room
        });
        let mut retried = Vec::new();
        for (id, quarantined) in &mut self.settings {
            if table.holds(&quarantined.host, *id) {
                quarantined.retried_under = Some(token);
                retried.push((*id, quarantined.host.clone()));
            }
        }
        retried
    }

    /// Removes the settings that were retried under `token` or an earlier one, because the caller has confirmed them.
    /// One that it rejected again was inserted anew and stays.
    pub fn clear_retried(&mut self, token: ApplyToken) {
        self.settings
            .retain(|_, quarantined| quarantined.retried_under.is_none_or(|retried| retried > token));
    }

    /// Every quarantined setting and the reason of its rejection.
    pub fn iter(&self) -> impl Iterator<Item = (EntryId, RejectionReason)> + '_ {
        self.settings.iter().map(|(id, quarantined)| (*id, quarantined.reason))
    }
}
