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

use rockflow::{Readiness, Role};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// An operator's word on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mark {
    /// `Draining` or `Gone`.
    pub readiness: Readiness,
    /// From then on it says nothing; none: it stays.
    pub until: Option<Duration>,
    /// Taken also where none of its like is left.
    pub force: bool,
}

pub type Marks = BTreeMap<String, Mark>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Says {
    Board,
    Operator,
    /// Control, for the whole fleet.
    Fleet,
    /// Two or more of them alike.
    Both,
}

impl Says {
    pub fn name(self) -> &'static str {
        match self {
            Says::Board => "board",
            Says::Operator => "operator",
            Says::Fleet => "fleet",
            Says::Both => "both",
        }
    }
}

/// How careful a word is; the greater wins.
fn care(readiness: Readiness) -> u8 {
    match readiness {
        Readiness::Ready => 0,
        Readiness::Draining => 1,
        Readiness::Gone => 2,
    }
}

impl Mark {
    pub fn holds(&self, now: Duration) -> bool {
        self.until.is_none_or(|until| now < until)
    }
}

/// The table above; none: not listed.
pub fn effective(told: Option<Readiness>, mark: Option<&Mark>, now: Duration) -> Option<(Readiness, Says)> {
    merged(told, mark, None, now)
}

/// The same beside the fleet's mark.
pub fn merged(
    told: Option<Readiness>,
    operator: Option<&Mark>,
    fleet: Option<&Mark>,
    now: Duration,
) -> Option<(Readiness, Says)> {
    let told = told.filter(|told| *told != Readiness::Gone)?;
    let marks = [(operator, Says::Operator), (fleet, Says::Fleet)];
    let marks = marks.into_iter().filter_map(|(mark, says)| Some((mark?, says)));
    let words = marks.filter(|(mark, _)| mark.holds(now)).map(|(mark, says)| (mark.readiness, says));
    Some(words.fold((told, Says::Board), |held, word| match care(word.0).cmp(&care(held.0)) {
        Ordering::Greater => word,
        Ordering::Equal => (held.0, Says::Both),
        Ordering::Less => held,
    }))
}

/// What the list says of a host, for the question whether enough are left.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    pub role: Role,
    pub location: u16,
    pub told: Readiness,
}

/// Guards against draining the last: the group that would be left with no ready host, though it has one now and
/// the new marks are not all forced. Caches serve their own location; parents and origins all of them.
pub fn none_left(
    hosts: &BTreeMap<String, Listed>,
    before: &Marks,
    after: &Marks,
    now: Duration,
) -> Option<String> {
    let group = |host: &Listed| (host.role as usize, (host.role == Role::Cache).then_some(host.location));
    let ready = |marks: &Marks| {
        let mut groups: BTreeMap<_, BTreeSet<&str>> = BTreeMap::new();
        for (name, host) in hosts {
            let found = effective(Some(host.told), marks.get(name), now);
            if found.is_some_and(|(readiness, _)| readiness == Readiness::Ready) {
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
pub fn beside(hosts: BTreeMap<String, Listed>, marks: &Marks, now: Duration) -> BTreeMap<String, Listed> {
    let with = |(name, host): (String, Listed)| {
        let told = effective(Some(host.told), marks.get(&name), now).map_or(host.told, |(told, _)| told);
        (name, Listed { told, ..host })
    };
    hosts.into_iter().map(with).collect()
}

/// Marks of the fleet that are held; with more, a new one is refused.
pub const MAX_FLEET_MARKS: usize = 4096;

/// Why a mark of the fleet is not put in force. It is kept apart, and judged again with the next change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// No ready host would be left in place of it.
    LastOne,
    /// More marks than are held.
    Full,
}

/// An entry of the list, as its holder keeps it.
pub trait Member: Clone + PartialEq {
    fn name(&self) -> &str;
    fn told(&self) -> Readiness;
    fn with(&self, readiness: Readiness) -> Self;
}

/// The effective list: what the board tells, what marks say, and what the decisions were told of it.
#[derive(Debug)]
pub struct Roll<M> {
    told: BTreeMap<String, M>,
    marks: Marks,
    fleet: Marks,
    present: BTreeMap<String, M>,
}

impl<M: Member> Roll<M> {
    pub fn new(marks: Marks) -> Self {
        Roll { told: BTreeMap::new(), marks, fleet: Marks::new(), present: BTreeMap::new() }
    }

    /// Takes what the board tells, whole or in part, and returns what is new for the decisions.
    pub fn tell(&mut self, whole: bool, entries: Vec<M>, now: Duration) -> Vec<M> {
        if whole {
            self.told.clear();
        }
        for entry in entries {
            if entry.told() == Readiness::Gone {
                self.told.remove(entry.name());
            } else {
                self.told.insert(entry.name().to_string(), entry);
            }
        }
        self.emit(now)
    }

    /// Takes all of the operators' marks in place of those before.
    pub fn mark(&mut self, marks: Marks, now: Duration) -> Vec<M> {
        self.marks = marks;
        self.emit(now)
    }

    /// Takes all that the fleet wants in place of what it wanted before, one by one, and says what of it is not in
    /// force. What is taken back goes first. `hosts` is the board's list, as it is judged.
    pub fn configure(
        &mut self,
        mut wanted: Marks,
        hosts: BTreeMap<String, Listed>,
        now: Duration,
    ) -> (Vec<M>, BTreeMap<String, Refused>) {
        let hosts = beside(hosts, &self.marks, now);
        self.fleet.retain(|name, _| wanted.contains_key(name));
        wanted.retain(|name, mark| self.fleet.get(name) != Some(mark));
        let mut careful: Vec<_> = wanted.into_iter().collect();
        careful.sort_by_key(|(_, mark)| care(mark.readiness));
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
        mark: Mark,
        hosts: &BTreeMap<String, Listed>,
        now: Duration,
    ) -> Option<Refused> {
        if self.fleet.len() >= MAX_FLEET_MARKS && !self.fleet.contains_key(name) {
            return Some(Refused::Full);
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
        none_left(hosts, &old, &self.fleet, now)?;
        self.fleet = old;
        Some(Refused::LastOne)
    }

    /// What has changed by time alone.
    pub fn tick(&mut self, now: Duration) -> Vec<M> {
        self.emit(now)
    }

    /// When the next mark expires.
    pub fn due(&self, now: Duration) -> Option<Duration> {
        self.marks
            .values()
            .chain(self.fleet.values())
            .filter_map(|mark| mark.until)
            .filter(|until| *until > now)
            .min()
    }

    pub fn told(&self) -> impl Iterator<Item = &M> {
        self.told.values()
    }

    pub fn marks(&self) -> &Marks {
        &self.marks
    }

    /// The fleet's marks that are in force.
    pub fn fleet(&self) -> &Marks {
        &self.fleet
    }

    /// The difference between what is wanted and what is present, which it then is. One that is no longer
    /// wanted comes as gone.
    fn emit(&mut self, now: Duration) -> Vec<M> {
        let mut wanted = BTreeMap::new();
        for (name, entry) in &self.told {
            let marks = (self.marks.get(name), self.fleet.get(name));
            if let Some((readiness, _)) = merged(Some(entry.told()), marks.0, marks.1, now) {
                if readiness != Readiness::Gone {
                    wanted.insert(name.clone(), entry.with(readiness));
                }
            }
        }
        let lost = self.present.iter().filter(|(name, _)| !wanted.contains_key(*name));
        let mut news: Vec<M> = lost.map(|(_, entry)| entry.with(Readiness::Gone)).collect();
        let changed = wanted.iter().filter(|(name, entry)| self.present.get(*name) != Some(entry));
        news.extend(changed.map(|(_, entry)| entry.clone()));
        self.present = wanted;
        news
    }
}
