//! The table of the settings of all hosts: which versions are held, and which of concurrent versions wins.

use crate::encoded_size;
use crate::entry::EntryId;
use crate::message::{Message, MAX_SETTINGS_PER_PART};
use crate::setting::{
    DesiredState, HostSetting, HybridTimestamp, SettingVersion, MAX_CLOCK_UNIX_MS, MAX_NAME_BYTES,
};
use std::collections::{BTreeMap, BTreeSet};

/// Limit of hosts with a setting. At the limit a new host evicts the host in state [`DesiredState::Listed`] with the
/// earliest timestamp; if there is none, the new host is rejected.
pub const MAX_HOSTS: usize = 4096;
/// Limit of concurrent versions of one host. Beyond it the least cautious is dropped, and of equally cautious ones the
/// earliest.
const MAX_CONCURRENT_VERSIONS: usize = 4;
/// Parts of the table that are sent in answer to one request. The following parts take another request.
pub const MAX_PARTS_AT_ONCE: usize = 16;

/// What [`SettingsTable::insert`] did with a version of a setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingOutcome {
    /// The version is now held.
    Changed {
        /// Whether the host has other versions, which it does not replace.
        concurrent: bool,
    },
    /// The version was held already, is replaced by one that is held, or is less cautious than as many concurrent
    /// versions as are kept.
    Known,
    /// A version with the same timestamp and another content is held; both are kept.
    Conflict,
    /// There is no room for another host.
    NoCapacity,
    /// The host's name is empty or too long, or the timestamp is too far in the future.
    Invalid,
}

/// The settings of all hosts. Versions of a host's setting that don't replace each other are all kept, so that the same
/// set of versions results in the same table in whichever order they are received.
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
    /// By host; the version that wins comes first.
    versions: BTreeMap<String, Vec<SettingVersion>>,
    /// Hosts in state [`DesiredState::Listed`], by their latest timestamp.
    listed: BTreeSet<(HybridTimestamp, String)>,
    /// Digest of the versions of all hosts in another state than [`DesiredState::Listed`].
    digest: u32,
    /// Digest of all versions.
    table_digest: u32,
}

impl SettingsTable {
    /// Number of hosts with a setting.
    pub fn len(&self) -> usize {
        self.versions.len()
    }

    /// Whether no host has a setting.
    pub fn is_empty(&self) -> bool {
        self.versions.is_empty()
    }

    /// Digest by which nodes compare their tables. Hosts in state [`DesiredState::Listed`] are left out: they have no
    /// override, and a full table evicts them.
    pub fn digest(&self) -> u32 {
        self.digest
    }

    /// The latest timestamp among the versions of a host, which a new version names as replaced. Zero if there is none.
    pub fn latest_timestamp(&self, host: &str) -> HybridTimestamp {
        let timestamps = self.versions_of(host).iter().map(|version| version.setting.timestamp);
        timestamps.max().unwrap_or_default()
    }

    /// Adds a version, and drops those of the same host that it replaces.
    pub fn insert(&mut self, version: SettingVersion) -> SettingOutcome {
        let setting = &version.setting;
        let is_valid_name = (1..=MAX_NAME_BYTES).contains(&setting.host.len());
        if !is_valid_name || setting.timestamp.unix_ms > MAX_CLOCK_UNIX_MS {
            return SettingOutcome::Invalid;
        }
        let held = self.versions_of(&setting.host);
        if held.iter().any(|other| other.setting == *setting || replaces(&other.setting, setting)) {
            return SettingOutcome::Known;
        }
        if held.is_empty() && self.versions.len() >= MAX_HOSTS && !self.evict_listed() {
            return SettingOutcome::NoCapacity;
        }
        self.replace_versions(version)
    }

    /// The desired state of each host whose state is not [`DesiredState::Listed`].
    pub fn desired_states(&self) -> BTreeMap<String, DesiredState> {
        let all = self.versions.iter().map(|(host, versions)| (host.clone(), most_cautious(versions)));
        all.filter(|(_, desired)| *desired != DesiredState::Listed).collect()
    }

    /// Whether the version of this host with the entry id `id` is held.
    pub fn holds(&self, host: &str, id: EntryId) -> bool {
        self.versions_of(host).iter().any(|version| (version.stream, version.number) == id)
    }

    /// The host of the version with the entry id `id`; `None` if it is not held.
    pub fn host_of(&self, id: EntryId) -> Option<String> {
        self.versions.keys().find(|host| self.holds(host, id)).cloned()
    }

    /// The versions of hosts that have more than one, at most `max` versions.
    pub fn concurrent(&self, max: usize) -> Vec<HostSetting> {
        let concurrent = self.versions.values().filter(|versions| versions.len() > 1);
        concurrent.flatten().map(|version| version.setting.clone()).take(max).collect()
    }

    /// At most [`MAX_PARTS_AT_ONCE`] parts of the table as messages, starting with `first_part`.
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

    fn versions_of(&self, host: &str) -> &[SettingVersion] {
        self.versions.get(host).map_or(&[], Vec::as_slice)
    }

    /// Adds a valid version that is not held, for which there is room, and drops those that it replaces.
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

    /// Removes the host in state [`DesiredState::Listed`] with the earliest timestamp. Returns false if there is none.
    fn evict_listed(&mut self) -> bool {
        let earliest = self.listed.pop_first();
        let evicted = earliest.and_then(|(_, host)| self.versions.remove(&host));
        self.table_digest ^= evicted.as_deref().map_or(0, table_digest_share);
        evicted.is_some()
    }

    /// All versions, divided into parts that each fit one message. An empty table has one empty part.
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

/// Whether the publisher of `later` had received `earlier` or a later version when it published.
fn replaces(later: &HostSetting, earlier: &HostSetting) -> bool {
    later.timestamp > earlier.timestamp && later.replaced >= earlier.timestamp
}

/// The desired state that wins among concurrent versions.
fn most_cautious(versions: &[SettingVersion]) -> DesiredState {
    versions.iter().map(|version| version.setting.desired).max().unwrap_or(DesiredState::Listed)
}

/// What a host's versions contribute to [`SettingsTable::digest`]; contributions are combined by XOR.
fn digest_share(versions: &[SettingVersion]) -> u32 {
    match most_cautious(versions) {
        DesiredState::Listed => 0,
        DesiredState::Draining | DesiredState::Gone => table_digest_share(versions),
    }
}

/// What a host's versions contribute to the digest of all versions; contributions are combined by XOR.
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
