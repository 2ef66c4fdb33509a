//! Settings that are rejected here.

use crate::apply_tokens::ApplyToken;
use crate::entry::EntryId;
use crate::setting::RejectionReason;
use crate::settings_table::{SettingsTable, MAX_HOSTS};
use std::collections::BTreeMap;

/// Quarantined settings. When full, a further one is counted, and neither reported nor retried.
pub const MAX_QUARANTINED: usize = 256;

#[derive(Clone, Debug)]
struct Quarantined {
    host: String,
    reason: RejectionReason,
    /// The caller judges it again under this token.
    retried_under: Option<ApplyToken>,
}

/// Owns the rejected settings, until the caller accepts them or they are replaced.
#[derive(Clone, Debug, Default)]
pub(crate) struct QuarantinedSettings {
    settings: BTreeMap<EntryId, Quarantined>,
}

impl QuarantinedSettings {
    /// Settings that are rejected here.
    pub fn len(&self) -> usize {
        self.settings.len()
    }

    /// Adds a rejected setting, if there is room.
    pub fn insert(&mut self, id: EntryId, host: String, reason: RejectionReason) {
        if self.settings.len() < MAX_QUARANTINED || self.settings.contains_key(&id) {
            self.settings.insert(id, Quarantined { host, reason, retried_under: None });
        }
    }

    /// The settings to be judged again together with a change, under its token. Forgets those that were replaced.
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

    /// The caller has judged all that it was given up to this token: what it did not reject again is applied.
    pub fn clear_retried(&mut self, token: ApplyToken) {
        self.settings.retain(|_, quarantined| quarantined.retried_under.is_none_or(|given| given > token));
    }

    /// Every rejected setting, and why.
    pub fn iter(&self) -> impl Iterator<Item = (EntryId, RejectionReason)> + '_ {
        self.settings.iter().map(|(id, quarantined)| (*id, quarantined.reason))
    }
}
