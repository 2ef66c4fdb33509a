//! Convergence: reports of control nodes, and the state of all members after a quiet period.

use super::{Checker, MemberIncarnation, Published, Violation, What};
use rockflow_dissemination::{DesiredState, SequenceNumber, StreamId};
use std::time::Duration;

impl Checker {
    /// Control says that a stream is in force everywhere up to a number.
    pub fn everywhere(&mut self, now: Duration, stream: StreamId, number: SequenceNumber, control: usize) {
        // A control node can know only of those that its own directory names.
        let read = self.reads.get(&control).cloned();
        let said = (stream, read.is_some());
        let from = self.said.get(&said).copied().unwrap_or_default();
        for number in from.0 + 1..=number.0 {
            let Some(entry) = self.by_number.get(&(stream, SequenceNumber(number))).copied() else {
                self.record_violation(Violation::Unknown, || {
                    format!("{stream:?} {number} everywhere, by control {control}")
                });
                continue;
            };
            let held = &self.entries[entry];
            if held.known.is_none() {
                self.entries[entry].known = Some(now);
            }
            let listed = self.listed.iter().filter(|listed| **listed).count();
            if read.is_none() && self.entries[entry].ever >= listed {
                continue;
            }
            for member in 0..self.members {
                // A life that began later takes the stream up where something still binds.
                let at = self.entries[entry].at;
                let before = at < self.incarnations[member].begun && at + self.window <= now;
                let purge = matches!(self.entries[entry].what, What::Purge(_));
                let excused = !read.as_ref().unwrap_or(&self.listed)[member]
                    || self.ever[member].has(entry)
                    || (purge && before)
                    || (self.incarnations[member].alive
                        && (self.has(member, entry) || self.bound_nobody(member, entry, now)));
                if !excused {
                    let alive = self.incarnations[member].alive;
                    self.record_violation(Violation::EverywhereTooEarly, || {
                        format!("control {control} of {stream:?} {number} at {now:?}: member {member} (alive: {alive}) has it not")
                    });
                }
            }
        }
        let said = self.said.entry(said).or_default();
        *said = number.max(*said);
    }

    /// After a quiet end: all that are told live, all that was published is in force at them, and control knows it.
    pub fn ends_quiet(&mut self, now: Duration, everywhere: bool) {
        let settled = now.saturating_sub(self.window);
        for member in 0..self.members {
            if !self.listed[member] {
                continue;
            }
            self.judge_member(now, settled, member);
        }
        if everywhere {
            self.judge_reports(settled);
        }
    }

    /// Checks that a member runs and has applied everything published until `settled`.
    fn judge_member(&mut self, now: Duration, settled: Duration, member: usize) {
        let MemberIncarnation { alive, stopped, clear_from, .. } = self.incarnations[member];
        if !alive || stopped || clear_from + self.window > now {
            self.record_violation(Violation::NotJudged, || {
                format!("member {member}, alive: {alive}, stopped: {stopped}, clear from {clear_from:?}")
            });
            return;
        }
        self.lower(member);
        let purges = (self.incarnations[member].low..self.entries.len())
            .filter(|at| matches!(self.entries[*at].what, What::Purge(_)));
        let due: Vec<_> = purges.chain(self.settings.iter().copied()).collect();
        for entry in due {
            let (at, lost) = (self.entries[entry].at, self.entries[entry].lost);
            if at > settled || lost || self.has(member, entry) {
                continue;
            }
            if self.bound_nobody(member, entry, now) {
                self.expired += 1;
                continue;
            }
            let (what, from) =
                (self.entries[entry].what.clone(), self.reachable_since(member, &self.entries[entry], now));
            self.record_violation(Violation::PassedOver, || {
                format!(
                    "entry {entry} {what:?} of {at:?} at member {member}, which could hear it from {from:?}"
                )
            });
        }
        let table: Vec<_> = self.incarnations[member].table.clone().into_iter().collect();
        for (host, held) in table {
            if self.expected.get(&host).is_none_or(|(at, wanted)| *wanted != held && *at <= settled) {
                self.record_violation(Violation::WrongSetting, || {
                    format!("{host} {held:?} at member {member}")
                });
            }
        }
    }

    /// Checks that control has reported the convergence of everything published until `settled`.
    fn judge_reports(&mut self, settled: Duration) {
        let open: Vec<_> = (0..self.entries.len())
            .filter(|at| {
                let entry = &self.entries[*at];
                entry.known.is_none()
                    && !entry.lost
                    && !entry.unknowable
                    && entry.at <= settled
                    && entry.numbers > 0
            })
            .collect();
        for entry in open {
            let at = self.entries[entry].at;
            self.record_violation(Violation::EverywhereNotSaid, || format!("entry {entry} of {at:?}"));
        }
    }

    /// Whether a member goes by what was published last of a host.
    pub fn wanted(&self, member: usize, host: &str) -> DesiredState {
        self.incarnations[member].table.get(host).copied().unwrap_or(DesiredState::Listed)
    }

    /// Members that have an entry in force now.
    pub fn holders(&self, entry: usize) -> usize {
        (0..self.members)
            .filter(|member| self.incarnations[*member].alive && self.has(*member, entry))
            .count()
    }

    /// How long each entry of a kind and moment took to all, sorted.
    pub fn times(&self, moment: Option<usize>, purges: bool) -> Vec<Duration> {
        let mine = |entry: &&Published| {
            moment.is_none_or(|moment| entry.moment == moment)
                && matches!(entry.what, What::Purge(_)) == purges
                && entry.ever > 0
        };
        let mut times: Vec<_> = self.entries.iter().filter(mine).map(|entry| entry.worst).collect();
        times.sort();
        times
    }

    /// From being said to control's knowing it in force everywhere, sorted; and how many it never knew of.
    pub fn known(&self, moment: Option<usize>, purges: bool) -> (Vec<Duration>, usize) {
        let mine = |entry: &&Published| {
            moment.is_none_or(|moment| entry.moment == moment)
                && matches!(entry.what, What::Purge(_)) == purges
        };
        let mut unknown = 0;
        let mut times = Vec::new();
        for entry in self.entries.iter().filter(mine) {
            match entry.known {
                Some(at) => times.push(at.saturating_sub(entry.at)),
                None => unknown += 1,
            }
        }
        times.sort();
        (times, unknown)
    }
}
