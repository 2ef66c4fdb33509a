//! What is wanted of each host: the last versions, and which of two that did not know of each other holds.

use crate::messages::{Message, MAX_SETTINGS};
use crate::outs::{EntryId, Ticket};
use crate::sizes;
use crate::words::{Refusal, Setting, Stamp, Version, Wanted, MAX_NAME};
use std::collections::{BTreeMap, BTreeSet};

/// Hosts with a setting. When full, the longest listed one goes; where none is just listed, the new one is refused.
pub const MAX_HOSTS: usize = 4096;
/// Versions of one host that don't know of each other. When full, the less careful goes, and of alike ones the earlier.
pub const MAX_RIVALS: usize = 4;
/// Refused settings kept apart. When full, one more is handled and counted, and not shown.
pub const MAX_KEPT_APART: usize = 256;
/// Unix milliseconds in the year 2109. A later stamp is no clock's, and not taken; nor does a life begin above it.
pub const MAX_CLOCK: u64 = 1 << 42;
/// In the year 2074. No clock is moved on by a stamp above it, so that there is room to count on to the one before. What
/// is held of one host with such a stamp is replaced by one just above it.
pub const MAX_HEARD: u64 = MAX_CLOCK / 4 * 3;
/// Parts of all settings that are sent at one asking; the next are asked for.
pub const MAX_PARTS_AT_ONCE: usize = 16;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judged {
    /// It holds, or is shown beside the one that does.
    Changed {
        rival: bool,
    },
    /// Held already, or replaced by one that knew of it.
    Known,
    /// Another content under a stamp that is held; both are kept.
    Fork,
    Refused,
    /// Its name or its stamp is none.
    Bad,
}

/// The table. Versions of a host that no other one replaces are kept side by side: the same set of versions heard in
/// any order leaves the same ones.
#[derive(Clone, Debug, Default)]
pub struct WantedHosts {
    hosts: BTreeMap<String, Vec<Version>>,
    /// Hosts that are just listed, by their latest stamp.
    listed: BTreeSet<(Stamp, String)>,
    /// Over all versions of hosts that are not just listed.
    digest: u32,
    /// Over all versions; by it the parts of one table belong together.
    whole: u32,
}

fn replaces(later: &Setting, earlier: &Setting) -> bool {
    later.stamp > earlier.stamp && later.seen >= earlier.stamp
}

fn most_careful(versions: &[Version]) -> Wanted {
    versions.iter().map(|version| version.setting.wanted).max().unwrap_or(Wanted::Listed)
}

/// What a host has of the digest: nothing where it is just listed.
fn share(versions: &[Version]) -> u32 {
    match most_careful(versions) {
        Wanted::Listed => 0,
        _ => whole_share(versions),
    }
}

fn whole_share(versions: &[Version]) -> u32 {
    versions.iter().fold(0, |sum, version| {
        let setting = &version.setting;
        let mut bytes = setting.host.as_bytes().to_vec();
        bytes.push(setting.wanted as u8);
        for stamp in [setting.stamp, setting.seen] {
            bytes.extend(stamp.at.to_le_bytes());
            bytes.push(stamp.control);
        }
        sum ^ (xxhash_rust::xxh3::xxh3_64(&bytes) as u32)
    })
}

impl WantedHosts {
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    pub fn digest(&self) -> u32 {
        self.digest
    }

    /// The latest version held of a host; what a new one replaces.
    pub fn seen(&self, host: &str) -> Stamp {
        let versions = self.hosts.get(host).map_or(&[][..], Vec::as_slice);
        versions.iter().map(|version| version.setting.stamp).max().unwrap_or_default()
    }

    pub fn take(&mut self, version: Version) -> Judged {
        let name = version.setting.host.len();
        if name == 0 || name > MAX_NAME || version.setting.stamp.at > MAX_CLOCK {
            return Judged::Bad;
        }
        let setting = &version.setting;
        let held = self.hosts.get(&setting.host).map_or(&[][..], Vec::as_slice);
        if held.iter().any(|h| h.setting == *setting || replaces(&h.setting, setting)) {
            return Judged::Known;
        }
        if held.is_empty() && self.hosts.len() >= MAX_HOSTS && !self.forget_a_listed_one() {
            return Judged::Refused;
        }
        let host = setting.host.clone();
        self.listed.remove(&(self.seen(&host), host.clone()));
        let versions = self.hosts.entry(host.clone()).or_default();
        let (before, whole_before) = (share(versions), whole_share(versions));
        let fork = versions.iter().any(|h| h.setting.stamp == setting.stamp);
        versions.retain(|h| !replaces(setting, &h.setting));
        let rival = !versions.is_empty();
        let stamp = setting.stamp;
        versions.push(version);
        versions.sort_by(|a, b| {
            let key = |v: &Version| (v.setting.wanted, v.setting.stamp, v.setting.seen);
            key(b).cmp(&key(a)).then_with(|| a.cmp(b))
        });
        versions.truncate(MAX_RIVALS);
        let kept = versions.iter().any(|h| h.setting.stamp == stamp);
        self.digest ^= before ^ share(versions);
        self.whole ^= whole_before ^ whole_share(versions);
        if most_careful(versions) == Wanted::Listed {
            self.listed.insert((self.seen(&host), host));
        }
        match (fork, kept) {
            (true, _) => Judged::Fork,
            (false, true) => Judged::Changed { rival },
            (false, false) => Judged::Known,
        }
    }

    fn forget_a_listed_one(&mut self) -> bool {
        let longest = self.listed.pop_first();
        let gone = longest.and_then(|(_, host)| self.hosts.remove(&host));
        self.whole ^= gone.as_deref().map_or(0, whole_share);
        gone.is_some()
    }

    /// Hosts that are wanted otherwise than listed.
    pub fn wanted(&self) -> BTreeMap<String, Wanted> {
        let all = self.hosts.iter().map(|(host, held)| (host.clone(), most_careful(held)));
        all.filter(|(_, wanted)| *wanted != Wanted::Listed).collect()
    }

    pub fn holds(&self, host: &str, id: EntryId) -> bool {
        self.hosts.get(host).is_some_and(|held| held.iter().any(|v| (v.stream, v.number) == id))
    }

    pub fn host_of(&self, id: EntryId) -> Option<String> {
        let held = self.hosts.iter().find(|(_, held)| held.iter().any(|v| (v.stream, v.number) == id));
        held.map(|(host, _)| host.clone())
    }

    /// Versions beside each other, so many at the most.
    pub fn rivals(&self, most: usize) -> Vec<Setting> {
        let several = self.hosts.values().filter(|held| held.len() > 1);
        several.flatten().map(|version| version.setting.clone()).take(most).collect()
    }

    fn parts(&self) -> Vec<Vec<&Version>> {
        let mut parts = vec![Vec::new()];
        let mut bytes = 0;
        for version in self.hosts.values().flatten() {
            let more = sizes::setting(&version.setting) + sizes::ID;
            let part = parts.last().map_or(0, Vec::len);
            if part > 0 && (part >= MAX_SETTINGS || bytes + more > sizes::MAX_BYTES) {
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
        let digest = self.whole;
        let frame = |(part, settings): (u16, Vec<&Version>)| {
            let settings = settings.into_iter().cloned().collect();
            Message::Settings { digest, part, parts: count, settings }
        };
        wanted.map(frame).collect()
    }
}

/// Settings refused here, and whether the caller judges them again.
#[derive(Clone, Debug, Default)]
pub struct KeptApart {
    refused: BTreeMap<EntryId, (String, Refusal, Option<Ticket>)>,
}

impl KeptApart {
    pub fn len(&self) -> usize {
        self.refused.len()
    }

    pub fn is_empty(&self) -> bool {
        self.refused.is_empty()
    }

    /// False: there is no room to keep it.
    pub fn refuse(&mut self, id: EntryId, host: String, why: Refusal) -> bool {
        if self.refused.len() >= MAX_KEPT_APART && !self.refused.contains_key(&id) {
            return false;
        }
        self.refused.insert(id, (host, why, None));
        true
    }

    /// Those that are to be judged again beside a change, under this ticket.
    pub fn judge_again(&mut self, table: &WantedHosts, ticket: Ticket) -> Vec<(EntryId, String)> {
        let full = table.len() >= MAX_HOSTS;
        self.refused.retain(|id, (host, why, _)| table.holds(host, *id) || (full && *why == Refusal::Full));
        let held = self.refused.iter_mut().filter(|(id, (host, ..))| table.holds(host, **id));
        held.map(|(id, (host, _, again))| {
            *again = Some(ticket);
            (*id, host.clone())
        })
        .collect()
    }

    /// The caller has judged all that it was given up to this ticket: those it did not refuse again are in force.
    pub fn judged(&mut self, ticket: Ticket) {
        self.refused.retain(|_, (_, _, again)| again.is_none_or(|given| given > ticket));
    }

    pub fn iter(&self) -> impl Iterator<Item = (EntryId, Refusal)> + '_ {
        self.refused.iter().map(|(id, (_, why, _))| (*id, *why))
    }
}
