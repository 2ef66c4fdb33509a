//! Application of entries by members, and the invariants that hold for each application.

use super::{Checker, Published, Violation, What, TO_ASK};
use rockflow_dissemination::{DesiredState, Purge, SequenceNumber, StreamId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

impl Checker {
    /// From when a member could hear of an entry.
    pub(super) fn reachable_since(&self, member: usize, entry: &Published, now: Duration) -> Duration {
        let incarnation = &self.incarnations[member];
        // While something is in its way it may hear late, of that and of what was before.
        let mut from = entry.at.max(incarnation.clear_from.min(now)).max(entry.held_until.min(now));
        let other = entry.side.is_some() && self.sides[member].is_some() && entry.side != self.sides[member];
        if other && entry.at < self.met {
            // Until they meet it can't be heard; a floor may still cover it.
            from = from.max(self.met.min(now));
        }
        from
    }

    pub(super) fn in_force(&mut self, now: Duration, member: usize, entry: usize) {
        let from = self.reachable_since(member, &self.entries[entry], now);
        if !self.incarnations[member].have.add(entry) {
            return;
        }
        let held = &mut self.entries[entry];
        if self.ever[member].add(entry) && self.listed[member] {
            held.ever += 1;
        }
        // A life that begins takes what came before it as one.
        let waited = now.saturating_sub(from);
        if held.at >= self.incarnations[member].begun {
            held.worst = held.worst.max(waited);
        }
        let (at, said) = (held.at, held.at.max(held.held_until.min(now)));
        let change = matches!(held.what, What::Setting { .. });
        let in_time = match change && from == said && at >= self.incarnations[member].begun {
            true => self.change_window,
            false => self.window,
        };
        if waited > in_time && !self.bound_nobody(member, entry, now) {
            self.record_violation(Violation::Late, || {
                format!("entry {entry} of {at:?} in force at member {member} at {now:?}, {waited:?} after {from:?}")
            });
        }
    }

    /// One entry was given to a life of a member, by its own name: how often by now.
    pub(super) fn given(&mut self, member: usize, entry: usize) -> usize {
        let incarnation = &mut self.incarnations[member];
        if incarnation.given.add(entry) {
            return 1;
        }
        let times = incarnation.again.entry(entry).or_insert(1);
        *times += 1;
        *times
    }

    /// A dispatcher goes by purges that it was given at `given`.
    pub fn purged(&mut self, now: Duration, given: Duration, member: usize, purges: &[(Purge, Duration)]) {
        for (purge, age) in purges {
            let until = given.saturating_sub(*age);
            if *purge == Purge::Everything {
                self.calls_for_floor(now, member, until);
                self.floor(now, member, until);
                continue;
            }
            let Some(entry) = self.entry_of(purge) else {
                self.record_violation(Violation::Unknown, || format!("{purge:?} at member {member}"));
                continue;
            };
            let (at, numbers) = (self.entries[entry].at, self.entries[entry].numbers);
            if until + self.entries[entry].overstated_age < at {
                self.record_violation(Violation::Laxer, || {
                    format!("entry {entry} by {:?} at member {member}", at - until)
                });
            }
            self.stricter = self.stricter.max(until.saturating_sub(at));
            let times = self.given(member, entry);
            if times > numbers.max(1) {
                self.record_violation(Violation::Twice, || {
                    format!("entry {entry} of {at:?} {times} times at member {member}, numbers {numbers}, at {now:?}")
                });
            }
            self.in_force(now, member, entry);
        }
        self.lower(member);
    }

    /// A floor costs every cached object: where nothing went wrong only a published purge of everything is one.
    pub(super) fn calls_for_floor(&mut self, now: Duration, member: usize, until: Duration) {
        let given = &mut self.incarnations[member].given;
        let published = self.everything.iter().any(|at| self.entries[*at].at <= until && given.add(*at));
        if !published && !self.disturbed_at_all {
            self.record_violation(Violation::NeedlessFloor, || {
                format!("of {until:?} at member {member}, at {now:?}")
            });
        }
    }

    pub(super) fn floor(&mut self, now: Duration, member: usize, until: Duration) {
        self.floors += 1;
        let incarnation = &mut self.incarnations[member];
        if incarnation.floor.is_some_and(|held| held >= until) {
            return;
        }
        incarnation.floor = Some(until);
        let last = self.entries.partition_point(|entry| entry.at <= until);
        let mut at = incarnation.low;
        while at < last {
            if matches!(self.entries[at].what, What::Purge(_)) && !self.incarnations[member].have.has(at) {
                if self.entries[at].what != What::Purge(Purge::Everything) {
                    self.covered += 1;
                }
                self.in_force(now, member, at);
            }
            at += 1;
        }
        self.lower(member);
    }

    pub(super) fn lower(&mut self, member: usize) {
        let incarnation = &mut self.incarnations[member];
        while incarnation.low < self.entries.len()
            && (incarnation.have.has(incarnation.low)
                || !matches!(self.entries[incarnation.low].what, What::Purge(_)))
        {
            incarnation.low += 1;
        }
    }

    /// A dispatcher goes by this table of settings, of which those entries are new.
    pub fn configured(
        &mut self,
        now: Duration,
        member: usize,
        settings: BTreeMap<String, DesiredState>,
        changed: &[((StreamId, SequenceNumber), String)],
    ) {
        let before = std::mem::replace(&mut self.incarnations[member].table, settings);
        for (id, host) in changed {
            let Some(entry) = self.by_number.get(id).copied() else {
                self.record_violation(Violation::Unknown, || {
                    format!("setting {id:?} of {host} at member {member}")
                });
                continue;
            };
            if !matches!(&self.entries[entry].what, What::Setting { host: other, .. } if other == host) {
                self.record_violation(Violation::WrongSetting, || {
                    format!("{id:?} for {host} at member {member}")
                });
            }
            self.found(entry);
            // One that was kept apart may be judged again, and taken.
            self.refusals.remove(&(member, entry));
            if self.given(member, entry) > self.entries[entry].numbers {
                self.record_violation(Violation::Twice, || {
                    format!("setting {id:?} of {host} at member {member}")
                });
            }
            self.in_force(now, member, entry);
        }
        // What a later version of the same host stands for, or a whole table brought.
        let mut hosts: BTreeSet<&String> = changed.iter().map(|(_, host)| host).collect();
        let held = &self.incarnations[member].table;
        hosts.extend(
            held.iter().filter(|(host, wanted)| before.get(*host) != Some(*wanted)).map(|(host, _)| host),
        );
        hosts.extend(before.keys().filter(|host| !held.contains_key(*host)));
        let of = hosts.into_iter().filter_map(|host| self.settings_of.get(host)).flatten().copied();
        let open = |at: &usize| {
            let lost = self.entries[*at].lost;
            !lost && !self.incarnations[member].have.has(*at) && self.covered_setting(member, *at)
        };
        let open: Vec<_> = of.filter(open).collect();
        open.into_iter().for_each(|at| self.in_force(now, member, at));
        let incarnation = &self.incarnations[member];
        if !incarnation.whole
            && self.settings[..incarnation.owed]
                .iter()
                .all(|at| self.entries[*at].lost || self.has(member, *at))
        {
            let took = now - self.incarnations[member].begun;
            self.caught_up.push(took);
            self.incarnations[member].whole = true;
        }
    }

    /// Whether a member goes by the last version of the host that a setting is about.
    pub(super) fn covered_setting(&self, member: usize, entry: usize) -> bool {
        let What::Setting { host, .. } = &self.entries[entry].what else { return false };
        let held = self.incarnations[member].table.get(host).copied().unwrap_or(DesiredState::Listed);
        self.expected.get(host).is_some_and(|(_, wanted)| *wanted == held)
    }

    pub(super) fn has(&self, member: usize, entry: usize) -> bool {
        let incarnation = &self.incarnations[member];
        incarnation.have.has(entry)
            || match &self.entries[entry].what {
                What::Purge(_) => incarnation.floor.is_some_and(|floor| floor >= self.entries[entry].at),
                What::Setting { .. } => self.covered_setting(member, entry),
            }
    }

    /// Whether a member that does not have it owes nothing: it came back, or began, when the entry bound nobody any more.
    pub(super) fn bound_nobody(&self, member: usize, entry: usize, now: Duration) -> bool {
        let held = &self.entries[entry];
        if matches!(held.what, What::Setting { .. }) {
            return false;
        }
        let (incarnation, from) = (&self.incarnations[member], self.reachable_since(member, held, now));
        if held.at < incarnation.begun {
            // A life that begins owes what bound somebody when it first heard of a stream, less the time to ask for it.
            return incarnation
                .contact
                .is_none_or(|first_contact| first_contact.max(from) + TO_ASK >= held.at + self.window);
        }
        from + TO_ASK >= held.at + self.window
    }
}
