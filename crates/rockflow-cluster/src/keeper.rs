//! A keeper of records: a pure machine. What it has promised binds it for as long as it lives; what it may have
//! forgotten it does not vote on.

use crate::messages::{Lesson, Message, Refusal, Step, Taught};
use crate::votes::Lives;
use crate::words::{Ballot, CallId, Content, Kept, Life, MemberId, Seat, Subject, Told};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Records in one lesson.
pub const MAX_TAUGHT: usize = 4;

/// What a life knows of its own memory.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Memory {
    /// Nothing was ever kept before this life, or all of it has run out.
    Whole,
    /// Begun with nothing; members from whom it has been regained, and parts of lessons still coming. With each who
    /// had taught it when it was not sure of everything itself; none: it was.
    Regained {
        from: BTreeMap<MemberId, Option<BTreeSet<MemberId>>>,
        parts: BTreeMap<MemberId, (u32, BTreeSet<u16>)>,
        until: Duration,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Record {
    kept: Kept,
    /// When the request itself ends, as far as is known here.
    ends: Duration,
    runs_out: Duration,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Keeper {
    seat: Seat,
    width: usize,
    majority: usize,
    most: usize,
    keep: Duration,
    memory: Memory,
    kept: BTreeMap<CallId, Record>,
    /// When records run out, oldest first.
    expiry: BTreeSet<(Duration, CallId)>,
    /// The latest life known of each other member.
    lives: BTreeMap<MemberId, Life>,
}

impl Keeper {
    /// A life that has begun with nothing.
    pub fn new(told: &Told, seat: Seat, now: Duration) -> Keeper {
        let until = now + told.keep;
        Keeper {
            seat,
            width: told.width(),
            majority: told.majority(),
            most: told.max_kept,
            keep: told.keep,
            memory: Memory::Regained { from: BTreeMap::new(), parts: BTreeMap::new(), until },
            kept: BTreeMap::new(),
            expiry: BTreeSet::new(),
            lives: BTreeMap::new(),
        }
    }

    /// One of a fleet that was never there before, so that nothing can have been forgotten.
    pub fn of_a_first_fleet(told: &Told, seat: Seat, now: Duration) -> Keeper {
        Keeper { memory: Memory::Whole, ..Keeper::new(told, seat, now) }
    }

    pub fn len(&self) -> usize {
        self.kept.len()
    }

    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    pub fn get(&self, call: CallId) -> Option<&Kept> {
        self.kept.get(&call).map(|record| &record.kept)
    }

    /// When the request of a record ends, as far as is known here.
    pub fn ends(&self, call: CallId) -> Option<Duration> {
        self.kept.get(&call).map(|record| record.ends)
    }

    pub fn records(&self) -> impl Iterator<Item = (&CallId, &Kept)> {
        self.kept.iter().map(|(call, record)| (call, &record.kept))
    }

    /// Lives end only upwards.
    pub fn heard_of(&mut self, seat: Seat) {
        let life = self.lives.entry(seat.member).or_insert(seat.life);
        *life = seat.life.max(*life);
    }

    pub fn life_of(&self, member: MemberId) -> Option<Life> {
        self.lives.get(&member).copied()
    }

    /// What runs out by time.
    pub fn tick(&mut self, now: Duration) {
        if matches!(self.memory, Memory::Regained { until, .. } if until <= now) {
            self.memory = Memory::Whole;
        }
        while let Some((at, call)) = self.expiry.first().copied().filter(|(at, _)| *at <= now) {
            self.expiry.remove(&(at, call));
            self.kept.remove(&call);
        }
    }

    pub fn next_due(&self) -> Option<Duration> {
        let memory = match &self.memory {
            Memory::Whole => None,
            Memory::Regained { until, .. } => Some(*until),
        };
        let first = self.expiry.first().map(|(at, _)| *at);
        [memory, first].into_iter().flatten().min()
    }

    /// Members whose lessons are still wanted: those that were sure of everything have no more to say.
    pub fn unlearned<'a>(&'a self, told: &'a Told) -> impl Iterator<Item = MemberId> + 'a {
        let me = self.seat.member;
        let wanted = move |id: &MemberId| match &self.memory {
            Memory::Whole => false,
            Memory::Regained { from, .. } => from.get(id) != Some(&None),
        };
        told.ids().filter(move |id| *id != me && wanted(id))
    }

    /// Guards against a vote on what may have been forgotten: of the call's other keepers so many must have taught
    /// this life what they hold, sure of this call themselves, that any majority with the former life in it is met.
    fn unsure(&self, keepers: &[MemberId]) -> bool {
        let Memory::Regained { from, .. } = &self.memory else { return false };
        let enough = |count: usize| count > self.width - self.majority;
        let others = |of: MemberId| keepers.iter().filter(move |id| **id != of);
        let sure = |teller: &MemberId| match from.get(teller) {
            None => false,
            Some(None) => true,
            Some(Some(by)) => enough(others(*teller).filter(|id| by.contains(id)).count()),
        };
        !enough(others(self.seat.member).filter(|id| sure(id)).count())
    }

    /// Lives of a call's other keepers, to go with a vote.
    fn lives_of(&self, keepers: &[MemberId]) -> Lives {
        let known = keepers.iter().filter_map(|id| Some((*id, *self.lives.get(id)?)));
        known.map(|(member, life)| Seat { member, life }).collect()
    }

    /// Takes what is written of a call whose keepers are these, and votes.
    #[allow(clippy::too_many_arguments, reason = "one message, and where it came in")]
    pub fn write(
        &mut self,
        now: Duration,
        keepers: &[MemberId],
        at: Step,
        subject: Subject,
        content: &Content,
        left: Duration,
    ) -> Message {
        if self.unsure(keepers) {
            return Message::Refuse { at, why: Refusal::Unsure };
        }
        if let Some(kept) = self.get(at.call) {
            if kept.subject.is_some_and(|known| known != subject) {
                return Message::Refuse { at, why: Refusal::Other };
            }
            // A first owner may write on; it takes nothing from another that came first.
            if at.ballot != kept.promised && (at.ballot.round == 0 || at.ballot < kept.promised) {
                return self.promised(at);
            }
        } else if self.kept.len() >= self.most {
            return Message::Refuse { at, why: Refusal::Full };
        }
        let Record { kept, ends, .. } = self.hold(now + self.keep, at.call, at.ballot);
        *ends = (now + left).max(*ends);
        kept.subject = Some(subject);
        kept.promised = at.ballot;
        kept.content.merge(content);
        Message::Vote { at, lives: self.lives_of(keepers), held: None }
    }

    /// Promises a ballot, if it is later than any before, and tells what is held.
    pub fn claim(
        &mut self,
        now: Duration,
        keepers: &[MemberId],
        at: Step,
        subject: Option<Subject>,
    ) -> Message {
        if self.unsure(keepers) {
            return Message::Refuse { at, why: Refusal::Unsure };
        }
        if let Some(kept) = self.get(at.call) {
            if kept.subject.is_some() && subject.is_some() && kept.subject != subject {
                return Message::Refuse { at, why: Refusal::Other };
            }
            if at.ballot < kept.promised {
                return self.promised(at);
            }
        } else if self.kept.len() >= self.most {
            return Message::Refuse { at, why: Refusal::Full };
        }
        let kept = &mut self.hold(now + self.keep, at.call, at.ballot).kept;
        kept.promised = at.ballot;
        kept.subject = kept.subject.or(subject);
        let held = Some(kept.clone());
        Message::Vote { at, lives: self.lives_of(keepers), held }
    }

    fn promised(&self, at: Step) -> Message {
        let promised = self.kept[&at.call].kept.promised;
        Message::Refuse { at, why: Refusal::Promised(promised) }
    }

    fn hold(&mut self, runs_out: Duration, call: CallId, ballot: Ballot) -> &mut Record {
        let expiry = &mut self.expiry;
        self.kept.entry(call).or_insert_with(|| {
            expiry.insert((runs_out, call));
            let kept = Kept { subject: None, promised: ballot, content: Content::default() };
            Record { kept, ends: Duration::ZERO, runs_out }
        })
    }

    /// The call's own holder says that nobody will ask for it. Only for what may run twice: the record is all that
    /// stands between others and a second run.
    pub fn drop(&mut self, call: CallId, ballot: Ballot) {
        let redoable = |kept: &Kept| kept.subject.is_some_and(|subject| !subject.kind.covered());
        if self.get(call).is_some_and(|kept| kept.promised == ballot && redoable(kept)) {
            let record = self.kept.remove(&call);
            record.map(|record| self.expiry.remove(&(record.runs_out, call)));
        }
    }

    /// What a life that began with nothing may have kept. From now on its former lives count for nothing here.
    pub fn teach(&mut self, now: Duration, told: &Told, learner: Seat, no: u32) -> Vec<Lesson> {
        self.heard_of(learner);
        let hers = self.kept.iter().filter(|(call, _)| told.keepers_of(**call).contains(&learner.member));
        let record = |(call, record): (&CallId, &Record)| Taught {
            call: *call,
            kept: record.kept.clone(),
            left: record.ends.saturating_sub(now),
            keeps: record.runs_out.saturating_sub(now),
        };
        let records: Vec<_> = hers.map(record).collect();
        let (parts, by) = (records.len().div_ceil(MAX_TAUGHT).max(1) as u16, self.taught_by(told));
        let lesson = |part: u16| {
            let of = records.iter().skip(usize::from(part) * MAX_TAUGHT).take(MAX_TAUGHT);
            Lesson { seat: learner, no, part, parts, by: by.clone(), records: of.cloned().collect() }
        };
        (0..parts).map(lesson).collect()
    }

    /// Takes a lesson in. Its teller counts once all parts of one are here, for the calls of which it was sure.
    pub fn learn(&mut self, now: Duration, teller: MemberId, lesson: Lesson) {
        if lesson.seat != self.seat || self.memory == Memory::Whole {
            return;
        }
        let (mut room, seat) = (true, self.seat);
        for Taught { call, kept: taught, left, keeps } in lesson.records {
            // Guards against a cap that would make a lesson forgotten in part: then its teller does not count.
            if self.kept.len() >= self.most && !self.kept.contains_key(&call) {
                room = false;
                continue;
            }
            let Record { kept, ends, .. } = self.hold(now + keeps.min(self.keep), call, taught.promised);
            *ends = (now + left).max(*ends);
            // Guards against a vote for one of two first owners where the forgotten one was for the other: neither may
            // write on, and whoever claims sees both.
            let (mine, hers) = (kept.promised, taught.promised);
            let torn = mine.round == 0 && hers.round == 0 && mine != hers;
            kept.promised = if torn { Ballot::nobodys(seat) } else { mine.max(hers) };
            kept.subject = kept.subject.or(taught.subject);
            kept.content.merge(&taught.content);
        }
        if let Memory::Regained { from, parts, .. } = &mut self.memory {
            let (no, have) = parts.entry(teller).or_default();
            if *no != lesson.no {
                (*no, *have) = (lesson.no, BTreeSet::new());
            }
            if room {
                have.insert(lesson.part);
            }
            if have.len() == usize::from(lesson.parts) {
                parts.remove(&teller);
                let by = lesson.by.map(|by| by.into_iter().collect());
                from.entry(teller).and_modify(|had| *had = had.take().and(by.clone())).or_insert(by);
            }
        }
    }

    /// Whether all is known that this life may be asked for.
    pub fn is_sure(&self, told: &Told) -> bool {
        self.taught_by(told).is_none()
    }

    /// Who, sure of everything, has taught this life; none: it is sure of everything too.
    fn taught_by(&self, told: &Told) -> Option<Vec<MemberId>> {
        let Memory::Regained { from, .. } = &self.memory else { return None };
        let by: Vec<_> = from.iter().filter(|(_, by)| by.is_none()).map(|(id, _)| *id).collect();
        // The worst set of keepers has all those in it from whom nothing came.
        let missing = told.members.len() - 1 - by.len();
        (missing + 2 > self.majority).then_some(by)
    }
}
