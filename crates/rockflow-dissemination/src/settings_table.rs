//! The settings of all hosts: the versions that hold, and which of concurrent ones wins.

use crate::encoded_size;
use crate::entry::EntryId;
use crate::message::{Message, MAX_SETTINGS_PER_PART};
use crate::setting::{
    DesiredState, HostSetting, HybridTimestamp, SettingVersion, MAX_CLOCK_UNIX_MS, MAX_NAME_BYTES,
};
use std::collections::{BTreeMap, BTreeSet};

/// Hosts with a setting. When full, the earliest in state [`DesiredState::Listed`] is dropped; where there is none, the
/// new one is rejected.
pub const MAX_HOSTS: usize = 4096;
/// Concurrent versions of one host. When full, the less cautious is dropped, and of equal ones the earlier.
const MAX_CONCURRENT_VERSIONS: usize = 4;
/// Parts of the table that answer one request; the next ones are requested again.
pub const MAX_PARTS_AT_ONCE: usize = 16;

/// What became of a version of a setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingOutcome {
    /// It wins, or is kept beside the one that does.
    Changed {
        /// Another version is kept beside it.
        concurrent: bool,
    },
    /// Held already, replaced by one that is held, or less cautious than the concurrent versions that are kept.
    Known,
    /// Its timestamp is held with another content; both are kept.
    Conflict,
    /// There is no room for another host.
    NoCapacity,
    /// Its host name or its timestamp is out of range.
    Invalid,
}

/// The table of settings. Versions of a host that no other one replaces are kept side by side, so that the same set of
/// versions gives the same table in whichever order they are received.
///
/// ```
/// use rockflow_dissemination::{
///     ControlId, DesiredState, HostSetting, HybridTimestamp, Incarnation, SequenceNumber, SettingVersion,
///     SettingsTable, StreamId, StreamKind,
/// };
///
/// let stream =
///     StreamId { control: ControlId(0), kind: StreamKind::Configuration, incarnation: Incarnation(1) };
/// let mut table = SettingsTable::default();
/// table.insert(SettingVersion {
///     stream,
///     number: SequenceNumber(1),
///     setting: HostSetting {
///         host: "c1".to_owned(),
///         desired: DesiredState::Draining,
///         timestamp: HybridTimestamp { unix_ms: 1_700_000_000_000, control: 0 },
///         replaced: HybridTimestamp::default(),
///     },
/// });
/// assert_eq!(table.desired_states().get("c1"), Some(&DesiredState::Draining));
/// ```
#[derive(Clone, Debug, Default)]
pub struct SettingsTable {
    /// By host; the winner first.
    versions: BTreeMap<String, Vec<SettingVersion>>,
    /// Hosts in state [`DesiredState::Listed`], by their latest timestamp.
    listed: BTreeSet<(HybridTimestamp, String)>,
    /// Over all versions of hosts that are in another state.
    digest: u32,
    /// Over all versions.
    table_digest: u32,
}

impl SettingsTable {
    /// Hosts with a setting.
    pub fn len(&self) -> usize {
        self.versions.len()
    }

    /// Whether no host has a setting.
    pub fn is_empty(&self) -> bool {
        self.versions.is_empty()
    }

    /// Digest of the settings that matter, by which tables are compared: those of hosts that are in another state than
    /// [`DesiredState::Listed`].
    pub fn digest(&self) -> u32 {
        self.digest
    }

    /// The latest timestamp held of a host, which a new version replaces.
    pub fn latest_timestamp(&self, host: &str) -> HybridTimestamp {
        let timestamps = self.of_host(host).iter().map(|version| version.setting.timestamp);
        timestamps.max().unwrap_or_default()
    }

    /// Takes a version.
    pub fn insert(&mut self, version: SettingVersion) -> SettingOutcome {
        let setting = &version.setting;
        let is_valid_name = (1..=MAX_NAME_BYTES).contains(&setting.host.len());
        if !is_valid_name || setting.timestamp.unix_ms > MAX_CLOCK_UNIX_MS {
            return SettingOutcome::Invalid;
        }
        let held = self.of_host(&setting.host);
        if held.iter().any(|other| other.setting == *setting || replaces(&other.setting, setting)) {
            return SettingOutcome::Known;
        }
        if held.is_empty() && self.versions.len() >= MAX_HOSTS && !self.evict_listed() {
            return SettingOutcome::NoCapacity;
        }
        self.replace_versions(version)
    }

    /// The desired states of hosts, except [`DesiredState::Listed`].
    pub fn desired_states(&self) -> BTreeMap<String, DesiredState> {
        let all = self.versions.iter().map(|(host, versions)| (host.clone(), most_cautious(versions)));
        all.filter(|(_, desired)| *desired != DesiredState::Listed).collect()
    }

    /// Whether this version of a host is held.
    pub fn holds(&self, host: &str, id: EntryId) -> bool {
        self.of_host(host).iter().any(|version| (version.stream, version.number) == id)
    }

    /// The host of a version that is held.
    pub fn host_of(&self, id: EntryId) -> Option<String> {
        self.versions.keys().find(|host| self.holds(host, id)).cloned()
    }

    /// Concurrent versions, at most `max`.
    pub fn concurrent(&self, max: usize) -> Vec<HostSetting> {
        let several = self.versions.values().filter(|versions| versions.len() > 1);
        several.flatten().map(|version| version.setting.clone()).take(max).collect()
    }

    /// A few parts of the table, from this one on.
    pub fn messages(&self, first_part: u16) -> Vec<Message> {
        let parts = self.parts();
        let count = u16::try_from(parts.len()).unwrap_or(u16::MAX);
        let requested = (0..count).zip(parts).skip(usize::from(first_part)).take(MAX_PARTS_AT_ONCE);
        let message = |(part, settings): (u16, Vec<&SettingVersion>)| Message::SettingsPart {
            digest: self.table_digest,
            part,
            parts: count,
            settings: settings.into_iter().cloned().collect(),
        };
        requested.map(message).collect()
    }

    fn of_host(&self, host: &str) -> &[SettingVersion] {
        self.versions.get(host).map_or(&[], Vec::as_slice)
    }

    /// Adds a version, and drops those of its host that it replaces.
    fn replace_versions(&mut self, version: SettingVersion) -> SettingOutcome {
        let setting = version.setting.clone();
        let host = setting.host.clone();
        self.listed.remove(&(self.latest_timestamp(&host), host.clone()));
        let versions = self.versions.entry(host.clone()).or_default();
        let (digest_before, table_digest_before) = (digest_share(versions), table_digest_share(versions));
        let has_same_timestamp = |other: &SettingVersion| other.setting.timestamp == setting.timestamp;
        let is_conflict = versions.iter().any(has_same_timestamp);
        versions.retain(|other| !replaces(&setting, &other.setting));
        let concurrent = !versions.is_empty();
        versions.push(version);
        versions.sort_by(|one, other| {
            let key = |version: &SettingVersion| {
                let setting = &version.setting;
                (setting.desired, setting.timestamp, setting.replaced)
            };
            key(other).cmp(&key(one)).then_with(|| one.cmp(other))
        });
        versions.truncate(MAX_CONCURRENT_VERSIONS);
        let is_kept = versions.iter().any(has_same_timestamp);
        self.digest ^= digest_before ^ digest_share(versions);
        self.table_digest ^= table_digest_before ^ table_digest_share(versions);
        if most_cautious(versions) == DesiredState::Listed {
            self.listed.insert((self.latest_timestamp(&host), host));
        }
        match (is_conflict, is_kept) {
            (true, _) => SettingOutcome::Conflict,
            (false, true) => SettingOutcome::Changed { concurrent },
            (false, false) => SettingOutcome::Known,
        }
    }

    /// Drops the earliest host in state [`DesiredState::Listed`]. Returns whether there was one.
    fn evict_listed(&mut self) -> bool {
        let earliest = self.listed.pop_first();
        let evicted = earliest.and_then(|(_, host)| self.versions.remove(&host));
        self.table_digest ^= evicted.as_deref().map_or(0, table_digest_share);
        evicted.is_some()
    }

    /// All versions, divided into parts of a message's size; at least one.
    fn parts(&self) -> Vec<Vec<&SettingVersion>> {
        let mut parts = vec![Vec::new()];
        let mut bytes = 0;
        for version in self.versions.values().flatten() {
            let added = encoded_size::setting(&version.setting) + encoded_size::STREAM_ID_BYTES;
            let count = parts.last().map_or(0, Vec::len);
            let fits = count < MAX_SETTINGS_PER_PART && bytes + added <= encoded_size::MAX_CONTENT_BYTES;
            if count > 0 && !fits {
                parts.push(Vec::new());
                bytes = 0;
            }
            bytes += added;
            if let Some(part) = parts.last_mut() {
                part.push(version);
            }
        }
        parts
    }
}

fn replaces(later: &HostSetting, earlier: &HostSetting) -> bool {
    later.timestamp > earlier.timestamp && later.replaced >= earlier.timestamp
}

fn most_cautious(versions: &[SettingVersion]) -> DesiredState {
    versions.iter().map(|version| version.setting.desired).max().unwrap_or(DesiredState::Listed)
}

/// A host's share of the digest.
fn digest_share(versions: &[SettingVersion]) -> u32 {
    match most_cautious(versions) {
        DesiredState::Listed => 0,
        DesiredState::Draining | DesiredState::Gone => table_digest_share(versions),
    }
}

/// A host's share of the table's digest.
fn table_digest_share(versions: &[SettingVersion]) -> u32 {
    versions.iter().fold(0, |digest, version| digest ^ setting_digest(&version.setting))
}

fn setting_digest(setting: &HostSetting) -> u32 {
    let mut bytes = setting.host.as_bytes().to_vec();
    bytes.push(setting.desired as u8);
    for timestamp in [setting.timestamp, setting.replaced] {
        bytes.extend(timestamp.unix_ms.to_le_bytes());
        bytes.push(timestamp.control);
    }
    xxhash_rust::xxh3::xxh3_64(&bytes) as u32
}
