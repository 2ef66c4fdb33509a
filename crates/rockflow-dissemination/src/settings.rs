//! What is wanted of each host: the last versions, and which of two that did not know of each other holds.

use crate::apply_tokens::ApplyToken;
use crate::encoded_size;
use crate::entry::EntryId;
use crate::message::{Message, MAX_SETTINGS_PER_PART};
use crate::setting::{
    DesiredState, HostSetting, HybridTimestamp, RejectionReason, SettingVersion, MAX_NAME_BYTES,
};
use std::collections::{BTreeMap, BTreeSet};

/// Hosts with a setting. When full, the longest listed one goes; where none is just listed, the new one is refused.
pub const MAX_HOSTS: usize = 4096;
/// Versions of one host that don't know of each other. When full, the less careful goes, and of alike ones the earlier.
pub const MAX_CONCURRENT_VERSIONS: usize = 4;
/// Refused settings kept apart. When full, one more is handled and counted, and not shown.
pub const MAX_QUARANTINED: usize = 256;
/// Unix milliseconds in the year 2109. A later stamp is no clock's, and not taken; nor does a life begin above it.
pub const MAX_CLOCK_UNIX_MS: u64 = 1 << 42;
/// In the year 2074. No clock is moved on by a stamp above it, so that there is room to count on to the one before. What
/// is held of one host with such a stamp is replaced by one just above it.
pub const MAX_TRUSTED_CLOCK_UNIX_MS: u64 = MAX_CLOCK_UNIX_MS / 4 * 3;
/// Parts of all settings that are sent at one asking; the next are asked for.
pub const MAX_PARTS_AT_ONCE: usize = 16;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingOutcome {
    /// It holds, or is shown beside the one that does.
    Changed {
        concurrent: bool,
    },
    /// Held already, or replaced by one that knew of it.
    Known,
    /// Another content under a stamp that is held; both are kept.
    Conflict,
    NoCapacity,
    /// Its name or its stamp is none.
    Invalid,
}

/// The table. Versions of a host that no other one replaces are kept side by side: the same set of versions heard in
/// any order leaves the same ones.
#[derive(Clone, Debug, Default)]
pub struct SettingsTable {
    versions: BTreeMap<String, Vec<SettingVersion>>,
    /// Hosts that are just listed, by their latest stamp.
    listed: BTreeSet<(HybridTimestamp, String)>,
    /// Over all versions of hosts that are not just listed.
    digest: u32,
    /// Over all versions; by it the parts of one table belong together.
    table_digest: u32,
}

fn replaces(later: &HostSetting, earlier: &HostSetting) -> bool {
    later.timestamp > earlier.timestamp && later.replaced >= earlier.timestamp
}

fn most_careful(versions: &[SettingVersion]) -> DesiredState {
    versions.iter().map(|version| version.setting.desired).max().unwrap_or(DesiredState::Listed)
}

/// What a host has of the digest: nothing where it is just listed.
fn digest_share(versions: &[SettingVersion]) -> u32 {
    match most_careful(versions) {
        DesiredState::Listed => 0,
        _ => table_digest_share(versions),
    }
}

fn table_digest_share(versions: &[SettingVersion]) -> u32 {
    versions.iter().fold(0, |sum, version| {
        let setting = &version.setting;
        let mut bytes = setting.host.as_bytes().to_vec();
        bytes.push(setting.desired as u8);
        for timestamp in [setting.timestamp, setting.replaced] {
            bytes.extend(timestamp.unix_ms.to_le_bytes());
            bytes.push(timestamp.control);
        }
        sum ^ (xxhash_rust::xxh3::xxh3_64(&bytes) as u32)
    })
}

impl SettingsTable {
    pub fn len(&self) -> usize {
        self.versions.len()
    }

    pub fn is_empty(&self) -> bool {
        self.versions.is_empty()
    }

    pub fn digest(&self) -> u32 {
        self.digest
    }

    /// The latest version held of a host; what a new one replaces.
    pub fn latest_timestamp(&self, host: &str) -> HybridTimestamp {
        let versions = self.versions.get(host).map_or(&[][..], Vec::as_slice);
        versions.iter().map(|version| version.setting.timestamp).max().unwrap_or_default()
    }

    pub fn insert(&mut self, version: SettingVersion) -> SettingOutcome {
        let name = version.setting.host.len();
        if name == 0 || name > MAX_NAME_BYTES || version.setting.timestamp.unix_ms > MAX_CLOCK_UNIX_MS {
            return SettingOutcome::Invalid;
        }
        let setting = &version.setting;
        let held = self.versions.get(&setting.host).map_or(&[][..], Vec::as_slice);
        if held.iter().any(|h| h.setting == *setting || replaces(&h.setting, setting)) {
            return SettingOutcome::Known;
        }
        if held.is_empty() && self.versions.len() >= MAX_HOSTS && !self.evict_listed() {
            return SettingOutcome::NoCapacity;
        }
        let host = setting.host.clone();
        self.listed.remove(&(self.latest_timestamp(&host), host.clone()));
        let versions = self.versions.entry(host.clone()).or_default();
        let (before, whole_before) = (digest_share(versions), table_digest_share(versions));
        let conflict = versions.iter().any(|h| h.setting.timestamp == setting.timestamp);
        versions.retain(|h| !replaces(setting, &h.setting));
        let concurrent = !versions.is_empty();
        let timestamp = setting.timestamp;
        versions.push(version);
        versions.sort_by(|a, b| {
            let key = |v: &SettingVersion| (v.setting.desired, v.setting.timestamp, v.setting.replaced);
            key(b).cmp(&key(a)).then_with(|| a.cmp(b))
        });
        versions.truncate(MAX_CONCURRENT_VERSIONS);
        let kept = versions.iter().any(|h| h.setting.timestamp == timestamp);
        self.digest ^= before ^ digest_share(versions);
        self.table_digest ^= whole_before ^ table_digest_share(versions);
        if most_careful(versions) == DesiredState::Listed {
            self.listed.insert((self.latest_timestamp(&host), host));
        }
        match (conflict, kept) {
            (true, _) => SettingOutcome::Conflict,
            (false, true) => SettingOutcome::Changed { concurrent },
            (false, false) => SettingOutcome::Known,
        }
    }

    fn evict_listed(&mut self) -> bool {
        let longest = self.listed.pop_first();
        let gone = longest.and_then(|(_, host)| self.versions.remove(&host));
        self.table_digest ^= gone.as_deref().map_or(0, table_digest_share);
        gone.is_some()
    }

    /// Hosts that are wanted otherwise than listed.
    pub fn desired_states(&self) -> BTreeMap<String, DesiredState> {
        let all = self.versions.iter().map(|(host, held)| (host.clone(), most_careful(held)));
        all.filter(|(_, wanted)| *wanted != DesiredState::Listed).collect()
    }

    pub fn holds(&self, host: &str, id: EntryId) -> bool {
        self.versions.get(host).is_some_and(|held| held.iter().any(|v| (v.stream, v.number) == id))
    }

    pub fn host_of(&self, id: EntryId) -> Option<String> {
        let held = self.versions.iter().find(|(_, held)| held.iter().any(|v| (v.stream, v.number) == id));
        held.map(|(host, _)| host.clone())
    }

    /// Versions beside each other, so many at the most.
    pub fn concurrent(&self, max: usize) -> Vec<HostSetting> {
        let several = self.versions.values().filter(|held| held.len() > 1);
        several.flatten().map(|version| version.setting.clone()).take(max).collect()
    }

    fn parts(&self) -> Vec<Vec<&SettingVersion>> {
        let mut parts = vec![Vec::new()];
        let mut bytes = 0;
        for version in self.versions.values().flatten() {
            let more = encoded_size::setting(&version.setting) + encoded_size::STREAM_ID_BYTES;
            let part = parts.last().map_or(0, Vec::len);
            if part > 0 && (part >= MAX_SETTINGS_PER_PART || bytes + more > encoded_size::MAX_CONTENT_BYTES) {
                parts.push(Vec::new());
                bytes = 0;
            }
            bytes += more;
            if let Some(part) = parts.last_mut() {
                part.push(version);
            }
        }
        parts
    }

    /// The table in frames, from this part on; a few at once.
    pub fn messages(&self, from: u16) -> Vec<Message> {
        let parts = self.parts();
        let count = u16::try_from(parts.len()).unwrap_or(u16::MAX);
        let wanted = (0..count).zip(parts).skip(usize::from(from)).take(MAX_PARTS_AT_ONCE);
        let digest = self.table_digest;
        let frame = |(part, settings): (u16, Vec<&SettingVersion>)| {
            let settings = settings.into_iter().cloned().collect();
            Message::SettingsPart { digest, part, parts: count, settings }
        };
        wanted.map(frame).collect()
    }
}

/// Settings refused here, and whether the caller judges them again.
#[derive(Clone, Debug, Default)]
pub struct QuarantinedSettings {
    rejected: BTreeMap<EntryId, (String, RejectionReason, Option<ApplyToken>)>,
}

impl QuarantinedSettings {
    pub fn len(&self) -> usize {
        self.rejected.len()
    }

    /// False: there is no room to keep it.
    pub fn insert(&mut self, id: EntryId, host: String, why: RejectionReason) -> bool {
        if self.rejected.len() >= MAX_QUARANTINED && !self.rejected.contains_key(&id) {
            return false;
        }
        self.rejected.insert(id, (host, why, None));
        true
    }

    /// Those that are to be judged again beside a change, under this ticket.
    pub fn retry_under(&mut self, table: &SettingsTable, token: ApplyToken) -> Vec<(EntryId, String)> {
        let full = table.len() >= MAX_HOSTS;
        self.rejected
            .retain(|id, (host, why, _)| table.holds(host, *id) || (full && *why == RejectionReason::Full));
        let held = self.rejected.iter_mut().filter(|(id, (host, ..))| table.holds(host, **id));
        held.map(|(id, (host, _, again))| {
            *again = Some(token);
            (*id, host.clone())
        })
        .collect()
    }

    /// The caller has judged all that it was given up to this ticket: those it did not refuse again are in force.
    pub fn clear_judged(&mut self, token: ApplyToken) {
        self.rejected.retain(|_, (_, _, again)| again.is_none_or(|given| given > token));
    }

    pub fn iter(&self) -> impl Iterator<Item = (EntryId, RejectionReason)> + '_ {
        self.rejected.iter().map(|(id, (_, why, _))| (*id, *why))
    }
}
