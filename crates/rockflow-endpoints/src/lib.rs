//! The list of hosts: the one place where everything that says something about a host meets, without I/O. What holds:
//!
//! | the board says | the operator's mark says | holds | whose word |
//! | --- | --- | --- | --- |
//! | nothing, or left | anything | not listed; the mark is kept apart | - |
//! | ready | nothing, or expired | ready | board |
//! | ready | draining or gone | draining or gone | operator |
//! | leaving | nothing, or expired | draining | board |
//! | leaving | draining | draining | both |
//! | leaving | gone | gone | operator |
//!
//! The fleet's mark, which control disseminates, stands beside the operator's: the same holds of it, neither takes the
//! other's place, and what two or more of the three say alike is the word of `both`.
//!
//! The more careful word wins; a break of the board takes nothing back; a host is known by its name, so that a
//! successor under another inherits nothing.

use rockflow::{ListScope, Readiness, Role};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// An operator's word on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdminOverride {
    /// `Draining` or `Gone`.
    pub readiness: Readiness,
    /// From then on it says nothing; none: it stays.
    pub expires_at: Option<Duration>,
    /// Taken also where none of its like is left.
    pub force: bool,
}

pub type AdminOverrides = BTreeMap<String, AdminOverride>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadinessSource {
    Discovery,
    Operator,
    /// Control, for the whole fleet.
    Control,
    /// Two or more of them alike.
    Several,
}

/// The readiness that holds for an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EffectiveReadiness {
    pub readiness: Readiness,
    pub source: ReadinessSource,
}

impl ReadinessSource {
    pub fn as_str(self) -> &'static str {
        match self {
            ReadinessSource::Discovery => "board",
            ReadinessSource::Operator => "operator",
            ReadinessSource::Control => "fleet",
            ReadinessSource::Several => "both",
        }
    }
}

/// How careful a word is; the greater wins.
fn severity(readiness: Readiness) -> u8 {
    match readiness {
        Readiness::Ready => 0,
        Readiness::Draining => 1,
        Readiness::Gone => 2,
    }
}

impl AdminOverride {
    pub fn is_active(&self, now: Duration) -> bool {
        self.expires_at.is_none_or(|until| now < until)
    }
}

/// The table above; none: not listed.
pub fn effective_readiness(
    told: Option<Readiness>,
    mark: Option<&AdminOverride>,
    now: Duration,
) -> Option<EffectiveReadiness> {
    merge_readiness(told, mark, None, now)
}

/// The same beside the fleet's mark.
pub fn merge_readiness(
    told: Option<Readiness>,
    operator: Option<&AdminOverride>,
    fleet: Option<&AdminOverride>,
    now: Duration,
) -> Option<EffectiveReadiness> {
    let told = told.filter(|told| *told != Readiness::Gone)?;
    let mut effective = EffectiveReadiness { readiness: told, source: ReadinessSource::Discovery };
    for (applied, source) in [(operator, ReadinessSource::Operator), (fleet, ReadinessSource::Control)] {
        let Some(applied) = applied.filter(|applied| applied.is_active(now)) else { continue };
        match severity(applied.readiness).cmp(&severity(effective.readiness)) {
            Ordering::Greater => effective = EffectiveReadiness { readiness: applied.readiness, source },
            Ordering::Equal => effective.source = ReadinessSource::Several,
            Ordering::Less => {}
        }
    }
    Some(effective)
}

/// What the list says of a host, for the question whether enough are left.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedEndpoint {
    pub role: Role,
    pub location: u16,
    pub readiness: Readiness,
}

/// Guards against draining the last: the group that would be left with no ready host, though it has one now and
/// the new marks are not all forced. Caches serve their own location; parents and origins all of them.
pub fn find_emptied_group(
    hosts: &BTreeMap<String, ListedEndpoint>,
    before: &AdminOverrides,
    after: &AdminOverrides,
    now: Duration,
) -> Option<String> {
    let group =
        |host: &ListedEndpoint| (host.role as usize, (host.role == Role::Cache).then_some(host.location));
    let ready = |marks: &AdminOverrides| {
        let mut groups: BTreeMap<_, BTreeSet<&str>> = BTreeMap::new();
        for (name, host) in hosts {
            let found = effective_readiness(Some(host.readiness), marks.get(name), now);
            if found.is_some_and(|found| found.readiness == Readiness::Ready) {
                groups.entry(group(host)).or_default().insert(name);
            }
        }
        groups
    };
    let (old, new) = (ready(before), ready(after));
    let emptied = old.iter().find(|(group, had)| {
        let forced = had.iter().all(|name| after.get(*name).is_some_and(|mark| mark.force));
        !new.contains_key(group) && !forced
    });
    emptied.map(|(_, had)| {
        let names: Vec<_> = had.iter().copied().collect();
        format!("no host would be left in place of {}", names.join(", "))
    })
}

/// The hosts as one source of marks finds them: the other's are in what is told of them.
pub fn apply_overrides(
    hosts: BTreeMap<String, ListedEndpoint>,
    marks: &AdminOverrides,
    now: Duration,
) -> BTreeMap<String, ListedEndpoint> {
    let with = |(name, host): (String, ListedEndpoint)| {
        let told = effective_readiness(Some(host.readiness), marks.get(&name), now)
            .map_or(host.readiness, |effective| effective.readiness);
        (name, ListedEndpoint { readiness: told, ..host })
    };
    hosts.into_iter().map(with).collect()
}

/// Marks of the fleet that are held; with more, a new one is refused.
pub const MAX_CONTROL_OVERRIDES: usize = 4096;

/// Why a mark of the fleet is not put in force. It is kept apart, and judged again with the next change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectedOverride {
    /// No ready host would be left in place of it.
    LastReadyEndpoint,
    /// More marks than are held.
    TooMany,
}

/// An entry of the list, as its holder keeps it.
pub trait RegistryEntry: Clone + PartialEq {
    fn name(&self) -> &str;
    fn discovered_readiness(&self) -> Readiness;
    fn with_readiness(&self, readiness: Readiness) -> Self;
}

/// The effective list: what the board tells, what marks say, and what the decisions were told of it.
#[derive(Debug)]
pub struct EndpointRegistry<M> {
    told: BTreeMap<String, M>,
    marks: AdminOverrides,
    fleet: AdminOverrides,
    present: BTreeMap<String, M>,
}

impl<M: RegistryEntry> EndpointRegistry<M> {
    pub fn new(marks: AdminOverrides) -> Self {
        EndpointRegistry {
            told: BTreeMap::new(),
            marks,
            fleet: AdminOverrides::new(),
            present: BTreeMap::new(),
        }
    }

    /// Takes what the board tells, whole or in part, and returns what is new for the decisions.
    pub fn apply_update(&mut self, scope: ListScope, entries: Vec<M>, now: Duration) -> Vec<M> {
        if scope != ListScope::Changes {
            self.told.clear();
        }
        for entry in entries {
            if entry.discovered_readiness() == Readiness::Gone {
                self.told.remove(entry.name());
            } else {
                self.told.insert(entry.name().to_string(), entry);
            }
        }
        self.emit(now)
    }

    /// Takes all of the operators' marks in place of those before.
    pub fn replace_operator_overrides(&mut self, marks: AdminOverrides, now: Duration) -> Vec<M> {
        self.marks = marks;
        self.emit(now)
    }

    /// Takes all that the fleet wants in place of what it wanted before, one by one, and says what of it is not in
    /// force. What is taken back goes first. `hosts` is the board's list, as it is judged.
    pub fn replace_control_overrides(
        &mut self,
        mut wanted: AdminOverrides,
        hosts: BTreeMap<String, ListedEndpoint>,
        now: Duration,
    ) -> (Vec<M>, BTreeMap<String, RejectedOverride>) {
        let hosts = apply_overrides(hosts, &self.marks, now);
        self.fleet.retain(|name, _| wanted.contains_key(name));
        wanted.retain(|name, mark| self.fleet.get(name) != Some(mark));
        let mut careful: Vec<_> = wanted.into_iter().collect();
        careful.sort_by_key(|(_, mark)| severity(mark.readiness));
        let refused = careful.into_iter().filter_map(|(name, mark)| {
            let why = self.refuses(&name, mark, &hosts, now)?;
            Some((name, why))
        });
        let refused = refused.collect();
        (self.emit(now), refused)
    }

    /// Puts one mark of the fleet in force, or says why not.
    fn refuses(
        &mut self,
        name: &str,
        mark: AdminOverride,
        hosts: &BTreeMap<String, ListedEndpoint>,
        now: Duration,
    ) -> Option<RejectedOverride> {
        if self.fleet.len() >= MAX_CONTROL_OVERRIDES && !self.fleet.contains_key(name) {
            return Some(RejectedOverride::TooMany);
        }
        let before = self.fleet.insert(name.to_string(), mark);
        // One that the board does not name takes nobody's place away.
        if !hosts.contains_key(name) {
            return None;
        }
        let mut old = self.fleet.clone();
        match before {
            Some(before) => old.insert(name.to_string(), before),
            None => old.remove(name),
        };
        find_emptied_group(hosts, &old, &self.fleet, now)?;
        self.fleet = old;
        Some(RejectedOverride::LastReadyEndpoint)
    }

    /// What has changed by time alone.
    pub fn expire_overrides(&mut self, now: Duration) -> Vec<M> {
        self.emit(now)
    }

    /// When the next mark expires.
    pub fn next_expiry(&self, now: Duration) -> Option<Duration> {
        self.marks
            .values()
            .chain(self.fleet.values())
            .filter_map(|mark| mark.expires_at)
            .filter(|until| *until > now)
            .min()
    }

    pub fn discovered(&self) -> impl Iterator<Item = &M> {
        self.told.values()
    }

    pub fn operator_overrides(&self) -> &AdminOverrides {
        &self.marks
    }

    /// The fleet's marks that are in force.
    pub fn control_overrides(&self) -> &AdminOverrides {
        &self.fleet
    }

    /// The difference between what is wanted and what is present, which it then is. One that is no longer
    /// wanted comes as gone.
    fn emit(&mut self, now: Duration) -> Vec<M> {
        let mut wanted = BTreeMap::new();
        for (name, entry) in &self.told {
            let marks = (self.marks.get(name), self.fleet.get(name));
            let found = merge_readiness(Some(entry.discovered_readiness()), marks.0, marks.1, now);
            if let Some(effective) = found {
                if effective.readiness != Readiness::Gone {
                    wanted.insert(name.clone(), entry.with_readiness(effective.readiness));
                }
            }
        }
        let lost = self.present.iter().filter(|(name, _)| !wanted.contains_key(*name));
        let mut news: Vec<M> = lost.map(|(_, entry)| entry.with_readiness(Readiness::Gone)).collect();
        let changed = wanted.iter().filter(|(name, entry)| self.present.get(*name) != Some(entry));
        news.extend(changed.map(|(_, entry)| entry.clone()));
        self.present = wanted;
        news
    }
}
