//! A member of the fleet put together: its membership, its part as a keeper, and the calls in its hands. One machine,
//! driven by words of its own dispatcher, messages of others, and time.

use crate::holding::{Holding, News, Phase};
use crate::keeper::Keeper;
use crate::membership::{Change, Membership, Outcome, Standing};
use crate::messages::{Message, Refusal, Step};
use crate::successor::{succession, unknown, Succession};
use crate::words::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

/// What is not voted on is sent again after so many round trips, twice as late each time, up to the second.
const AGAIN_TRIPS: (f64, f64) = (2.0, 16.0);
/// How often the wait for a lesson is doubled at the most.
const MAX_DOUBLED: u32 = 8;
/// Between the claims of a lost owner's keepers, each after the one before it in rank.
const CLAIM_TRIPS: f64 = 8.0;
/// Records of redoable calls leave together, after so many round trips: what ends before costs no frame.
const BEHIND_TRIPS: f64 = 4.0;
/// Calls of redoable requests that wait to be told at the most; more go untold.
const MAX_BEHIND: usize = 4096;
/// Answers given that are remembered here for who asks again.
const MAX_DONE: usize = 4096;
/// Calls in hand at the most; more go uncovered.
const MAX_IN_HAND: usize = 16_384;
/// Members that wait for one call's answer.
const MAX_WAITING: usize = 16;

/// What the machine has done or wants done.
#[allow(clippy::large_enum_variant, reason = "the largest is the most frequent")]
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    Send {
        to: MemberId,
        message: Message,
    },
    /// A majority knows of this attempt: it may be written now, and not before.
    MayBegin {
        call: CallId,
        attempt: u16,
    },
    /// The final answer of a call in hand, to be given to its client.
    Final {
        call: CallId,
        answer: Answer,
    },
    /// Another has the call: no attempt of it is to begin here. Its final answer will come, or its time run out.
    Joined {
        call: CallId,
    },
    /// The id is in use for something else.
    InUse {
        call: CallId,
    },
    /// Its keepers can't be had. Nothing of it has begun that was not let to.
    Uncovered {
        call: CallId,
    },
    /// The call of a lost owner is ours: to be decided as a request of our own, with what may have begun before.
    TakeOver {
        call: CallId,
        subject: Subject,
        begun: Vec<Begun>,
        label_only: bool,
    },
    Changed(Change),
    /// A later life of this name is known: this one is to end, and another to begin above it, with nothing.
    Outlived {
        life: Life,
    },
}

/// Counts, for whoever looks on. Each only grows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub covered: u64,
    pub uncovered: u64,
    pub behind: u64,
    pub joined: u64,
    pub claims: u64,
    pub won: u64,
    pub lost: u64,
    pub run_again: u64,
    pub ended_unknown: u64,
    pub let_go: u64,
    pub stood: u64,
}

#[derive(Clone, Debug)]
struct InHand {
    holding: Holding,
    ends: Duration,
    /// Somebody here waits for the answer.
    client: bool,
    /// Others that wait for it.
    waiting: BTreeSet<MemberId>,
    /// The wait before what is not voted on is sent again.
    again: Duration,
    /// What this dispatcher is told of the step that is out.
    attempt: Option<u16>,
    claims: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Again(CallId),
    Claim(CallId),
    Behind,
    Learn,
}

pub struct Fleet {
    told: Told,
    seat: Seat,
    membership: Membership,
    keeper: Keeper,
    hand: BTreeMap<CallId, InHand>,
    /// Redoable calls whose record is still to be told.
    behind: BTreeMap<CallId, (Subject, Duration)>,
    /// Redoable calls whose record was told.
    told_of: BTreeMap<CallId, Duration>,
    /// Answers that were given, until then.
    done: BTreeMap<CallId, (Answer, Duration)>,
    done_order: BTreeSet<(Duration, CallId)>,
    due: BinaryHeap<Reverse<(Duration, Due)>>,
    lessons: u32,
    /// Ballots taken by this life.
    ballots: u64,
    stopping: bool,
    counts: Counts,
}

impl Fleet {
    /// A life that begins with nothing; `first`: its fleet was never there before, so that nothing was forgotten.
    pub fn new(told: Told, seat: Seat, seed: u64, first: bool, now: Duration) -> Fleet {
        let keeper = match first {
            true => Keeper::of_a_first_fleet(&told, seat, now),
            false => Keeper::new(&told, seat, now),
        };
        let membership = Membership::new(told.clone(), seat, seed, now);
        Fleet {
            told,
            seat,
            membership,
            keeper,
            hand: BTreeMap::new(),
            behind: BTreeMap::new(),
            told_of: BTreeMap::new(),
            done: BTreeMap::new(),
            done_order: BTreeSet::new(),
            due: BinaryHeap::new(),
            lessons: 0,
            ballots: 0,
            stopping: false,
            counts: Counts::default(),
        }
    }

    pub fn seat(&self) -> Seat {
        self.seat
    }

    pub fn standing(&self, now: Duration) -> Standing {
        self.membership.standing(now)
    }

    pub fn present(&self) -> impl Iterator<Item = Seat> + '_ {
        self.membership.present()
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Records kept for others, calls in hand.
    pub fn held(&self) -> (usize, usize) {
        (self.keeper.len(), self.hand.len())
    }

    /// Whether this life may vote on all that it could be asked.
    pub fn is_sure(&self) -> bool {
        self.keeper.is_sure(&self.told)
    }

    pub fn join(&mut self, now: Duration) -> Vec<Out> {
        let mut outs = Vec::new();
        let joined = self.membership.join(now);
        self.members(now, joined, &mut outs);
        self.learn(now, &mut outs);
        outs
    }

    /// A request was taken here under this id, and its client waits until then. What may run twice is told behind;
    /// for the rest nothing is sent before its first attempt.
    pub fn taken(&mut self, now: Duration, call: CallId, subject: Subject, ends: Duration) -> Vec<Out> {
        let mut outs = Vec::new();
        if let Some((answer, _)) = self.done.get(&call) {
            outs.push(Out::Final { call, answer: answer.clone() });
            return outs;
        }
        if let Some(known) = self.hand.get_mut(&call) {
            if known.holding.subject != subject {
                outs.push(Out::InUse { call });
                return outs;
            }
            known.client = true;
            known.ends = known.ends.max(ends);
            outs.push(Out::Joined { call });
            return outs;
        }
        if !subject.kind.covered() {
            if self.behind.len() < MAX_BEHIND {
                if self.behind.is_empty() {
                    self.at(now + self.trips(BEHIND_TRIPS), Due::Behind);
                }
                self.behind.insert(call, (subject, ends));
            }
        } else if self.hand.len() < MAX_IN_HAND {
            self.ballots += 1;
            let holding = Holding::take(&self.told, call, subject, self.seat, self.ballots);
            self.hold(now, holding, ends, true);
        }
        outs
    }

    /// An attempt is wanted. True: it may be written at once; else `MayBegin` comes first, or another word on the call.
    pub fn begin(&mut self, now: Duration, call: CallId, attempt: u16, host: u64) -> (bool, Vec<Out>) {
        let mut outs = Vec::new();
        let Some(held) = self.hand.get_mut(&call) else { return (true, outs) };
        if *held.holding.phase() != Phase::Owning {
            outs.push(Out::Joined { call });
            return (false, outs);
        }
        held.holding.begin(attempt, host);
        held.attempt = Some(attempt);
        self.counts.covered += 1;
        self.say(now, call, &mut outs);
        (false, outs)
    }

    /// The decisions have ended a call. True: the answer may be given at once; else `Final` comes, if its time is not
    /// up before.
    pub fn ended(&mut self, now: Duration, call: CallId, kind: Kind, answer: Answer) -> (bool, Vec<Out>) {
        let mut outs = Vec::new();
        if let Some(held) = self.hand.get_mut(&call) {
            let nothing = held.holding.content().begun.is_empty() && held.waiting.is_empty();
            // Guards against remembering a dismissal: nothing ran, and who asks again is to be served.
            if answer.ended == Ended::Dismissed && nothing && held.holding.content().answer.is_none() {
                self.hand.remove(&call);
                return (true, outs);
            }
            if *held.holding.phase() != Phase::Owning {
                return (false, outs);
            }
            let body = answer.body.filter(|body| body.len() <= self.told.max_body);
            held.holding.end(Answer { body, ..answer });
            self.say(now, call, &mut outs);
            return (false, outs);
        }
        // Guards against an answer that no majority holds, to a call that was given up meanwhile.
        if kind.covered() && answer.ended != Ended::Dismissed {
            return (false, outs);
        }
        self.behind.remove(&call);
        if self.told_of.remove(&call).is_some() {
            let ballot = Ballot::first(self.seat, 0);
            self.tell_keepers(now, call, Message::Drop { call, ballot }, &mut outs);
        }
        (true, outs)
    }

    /// The client is gone, and no answer is owed here.
    pub fn left(&mut self, call: CallId) {
        self.behind.remove(&call);
        if let Some(held) = self.hand.get_mut(&call) {
            held.client = false;
            if held.holding.content().begun.is_empty() && held.waiting.is_empty() {
                self.hand.remove(&call);
            }
        }
    }

    /// A planned stop: open calls go to whoever is first among their live keepers, and this life leaves.
    pub fn stop(&mut self, now: Duration) -> Vec<Out> {
        let mut outs = Vec::new();
        self.stopping = true;
        for (call, held) in &self.hand {
            if *held.holding.phase() == Phase::Owning && held.holding.content().answer.is_none() {
                let (content, left) = (held.holding.content().clone(), held.ends.saturating_sub(now));
                let message = Message::HandOver { call: *call, subject: held.holding.subject, content, left };
                let next = self.ranked(*call).into_iter().find(|id| *id != self.seat.member);
                outs.extend(next.map(|to| Out::Send { to, message }));
            }
        }
        let left = self.membership.leave(now);
        self.members(now, left, &mut outs);
        outs
    }

    pub fn hear(&mut self, now: Duration, from: Seat, message: Message) -> Vec<Out> {
        let mut outs = Vec::new();
        // Guards against a process that began with its clock set back, whose life looks older than the one before it;
        // and against what a life that is over left on its way.
        if let Some(life) = self.keeper.life_of(from.member).filter(|life| *life > from.life) {
            outs.push(Out::Send { to: from.member, message: Message::Outlived { life } });
            return outs;
        }
        self.membership.heard(from.member, now);
        self.keeper.tick(now);
        let keeps = |told: &Told, call: CallId| told.keepers_of(call);
        match message {
            Message::Swim(bytes) => {
                let heard = self.membership.hear(now, &bytes);
                self.members(now, heard, &mut outs);
            }
            Message::Write { at, subject, content, left } => {
                let ids = keeps(&self.told, at.call);
                if ids.contains(&self.seat.member) {
                    let reply = self.keeper.write(now, &ids, at, subject, &content, left);
                    // What is told behind wants no vote.
                    if at.step > 0 {
                        self.reply(now, from, reply, &mut outs);
                    }
                }
            }
            Message::Claim { at, subject } => {
                let ids = keeps(&self.told, at.call);
                if ids.contains(&self.seat.member) {
                    let reply = self.keeper.claim(now, &ids, at, subject);
                    self.reply(now, from, reply, &mut outs);
                }
            }
            Message::Vote { at, lives, held } => {
                let news = self.hand.get_mut(&at.call);
                let news = news.and_then(|mine| mine.holding.voted(from, at, &lives, held.as_ref()));
                self.news(now, at.call, news, &mut outs);
            }
            Message::Refuse { at, why } => self.refused(now, from, at, &why, &mut outs),
            Message::Learn { seat, no } if seat.member == from.member => {
                for lesson in self.keeper.teach(now, &self.told, seat, no) {
                    outs.push(Out::Send { to: from.member, message: Message::Lesson(lesson) });
                }
            }
            Message::Learn { .. } => {}
            Message::Lesson(lesson) => self.keeper.learn(now, from.member, lesson),
            Message::Wait { call, subject } => self.waits(now, from, call, subject, &mut outs),
            Message::Final { call, answer } => {
                if self.hand.get(&call).is_some_and(|held| held.client) {
                    self.finish(now, call, answer, &mut outs);
                }
            }
            Message::Drop { call, ballot } if ballot.seat == from => self.keeper.drop(call, ballot),
            Message::Drop { .. } => {}
            Message::Outlived { life } if life > self.seat.life => outs.push(Out::Outlived { life }),
            Message::Outlived { .. } => {}
            Message::HandOver { call, subject, content, left } => {
                self.handed(now, from, call, subject, &content, left, &mut outs);
            }
        }
        outs
    }

    pub fn tick(&mut self, now: Duration) -> Vec<Out> {
        let mut outs = Vec::new();
        self.keeper.tick(now);
        if self.membership.next_due().is_some_and(|at| at <= now) {
            let ticked = self.membership.tick(now);
            self.members(now, ticked, &mut outs);
        }
        while let Some(Reverse((at, what))) = self.due.peek().copied() {
            if at > now {
                break;
            }
            self.due.pop();
            match what {
                Due::Again(call) => self.again(now, call, &mut outs),
                Due::Claim(call) => self.claim_lost(now, call, &mut outs),
                Due::Behind => self.tell_behind(now, &mut outs),
                Due::Learn => self.learn(now, &mut outs),
            }
        }
        while let Some((at, call)) = self.done_order.first().copied().filter(|(at, _)| *at <= now) {
            self.done_order.remove(&(at, call));
            self.done.remove(&call);
        }
        self.told_of.retain(|_, until| *until > now);
        outs
    }

    pub fn next_due(&self) -> Option<Duration> {
        let own = self.due.peek().map(|Reverse((at, _))| *at);
        let done = self.done_order.first().map(|(at, _)| *at);
        [own, done, self.membership.next_due(), self.keeper.next_due()].into_iter().flatten().min()
    }

    fn trips(&self, trips: f64) -> Duration {
        self.told.round_trip.mul_f64(trips)
    }

    fn at(&mut self, at: Duration, what: Due) {
        self.due.push(Reverse((at, what)));
    }

    fn hold(&mut self, now: Duration, holding: Holding, ends: Duration, client: bool) {
        let (call, again) = (holding.call, self.trips(AGAIN_TRIPS.0));
        let waiting = self.hand.remove(&call).map(|before| before.waiting).unwrap_or_default();
        let held = InHand { holding, ends, client, waiting, again, attempt: None, claims: 0 };
        self.hand.insert(call, held);
        self.at(now + again, Due::Again(call));
    }

    /// Sends what the keepers have not voted on; its own part at once.
    fn say(&mut self, now: Duration, call: CallId, outs: &mut Vec<Out>) {
        let unsaid = self
            .hand
            .get(&call)
            .map(|held| held.holding.unsaid(held.ends.saturating_sub(now)))
            .unwrap_or_default();
        for (to, message) in unsaid {
            self.send(now, to, message, outs);
        }
    }

    fn send(&mut self, now: Duration, to: MemberId, message: Message, outs: &mut Vec<Out>) {
        if to == self.seat.member {
            outs.extend(self.hear(now, self.seat, message));
        } else {
            outs.push(Out::Send { to, message });
        }
    }

    fn reply(&mut self, now: Duration, to: Seat, message: Message, outs: &mut Vec<Out>) {
        self.send(now, to.member, message, outs);
    }

    fn tell_keepers(&mut self, now: Duration, call: CallId, message: Message, outs: &mut Vec<Out>) {
        for to in self.told.keepers_of(call) {
            self.send(now, to, message.clone(), outs);
        }
    }

    fn members(&mut self, now: Duration, outcome: Outcome, outs: &mut Vec<Out>) {
        outs.extend(outcome.frames.into_iter().map(|(to, message)| Out::Send { to, message }));
        for change in outcome.changes {
            outs.push(Out::Changed(change));
            match change {
                Change::Up(seat) => self.keeper.heard_of(seat),
                Change::Restarted { from, to } => {
                    self.keeper.heard_of(to);
                    self.bereft(now, from);
                }
                Change::Lost(seat) => self.bereft(now, seat),
            }
        }
    }

    /// Calls of a lost life that are kept here, and those whose answer is waited for here: one claims after the
    /// other, the first in rank at once.
    fn bereft(&mut self, now: Duration, lost: Seat) {
        let open = |kept: &Kept| kept.promised.seat == lost && kept.content.answer.is_none();
        let covered = |kept: &Kept| kept.subject.is_some_and(|subject| subject.kind.covered());
        let kept = self.keeper.records().filter(|(_, kept)| open(kept) && covered(kept));
        let mut calls: BTreeSet<_> = kept.map(|(call, _)| *call).collect();
        let beaten = |held: &InHand| matches!(held.holding.phase(), Phase::Lost(by) if by.seat == lost);
        calls.extend(self.hand.iter().filter(|(_, held)| beaten(held)).map(|(call, _)| *call));
        for call in calls {
            let rank = self.ranked(call).iter().position(|id| *id == self.seat.member);
            let rank = rank.unwrap_or_else(|| self.told.width());
            self.at(now + self.trips(CLAIM_TRIPS * rank as f64), Due::Claim(call));
        }
    }

    /// Live keepers of a call, in their order.
    fn ranked(&self, call: CallId) -> Vec<MemberId> {
        let mut ids = self.told.keepers_of(call);
        ids.retain(|id| self.membership.life_of(*id).is_some());
        ids
    }

    /// Whether another is there that may be at work under this ballot.
    fn at_work(&self, ballot: Ballot) -> bool {
        ballot.is_held() && ballot.seat != self.seat && self.membership.is_present(ballot.seat)
    }

    /// Claims a call whose holder is not there any more, unless it is I who am not there.
    fn claim_lost(&mut self, now: Duration, call: CallId, outs: &mut Vec<Out>) {
        let kept = self.keeper.get(call).filter(|kept| kept.content.answer.is_none());
        let kept = kept.and_then(|kept| Some((kept.subject?, kept.promised)));
        let beaten = self.hand.get(&call).and_then(|held| match held.holding.phase() {
            Phase::Lost(by) => Some((held.holding.subject, *by)),
            _ => None,
        });
        let mine = self.hand.get(&call).is_some_and(|held| !matches!(held.holding.phase(), Phase::Lost(_)));
        let Some((subject, above)) = kept.into_iter().chain(beaten).max_by_key(|(_, ballot)| *ballot) else {
            return;
        };
        // One of ours that is not in hand any more was let go.
        let theirs = self.at_work(above);
        if mine || self.stopping || theirs {
            return;
        }
        if self.standing(now).maybe_cut_off {
            return self.at(now + self.trips(CLAIM_TRIPS), Due::Claim(call));
        }
        let ends = self.keeper.ends(call).unwrap_or(now);
        // Guards against a claim that comes when nothing can be done any more, and makes keepers that had dropped the
        // record begin it anew.
        if ends <= now && beaten.is_none() {
            return;
        }
        self.claim(now, call, subject, above, ends, outs);
    }

    /// With a ballot above another's; `ends`: when the request itself does, unless that is known here already. Nothing is
    /// run after it.
    fn claim(
        &mut self,
        now: Duration,
        call: CallId,
        subject: Subject,
        above: Ballot,
        ends: Duration,
        outs: &mut Vec<Out>,
    ) {
        let before = self.hand.get(&call).map(|held| (held.client, held.ends, held.claims));
        let (client, ends, claims) = before.unwrap_or((false, ends, 0));
        self.ballots += 1;
        let holding = Holding::claim(&self.told, call, subject, self.seat, self.ballots, above);
        self.hold(now, holding, ends, client);
        if let Some(held) = self.hand.get_mut(&call) {
            held.claims = claims + 1;
        }
        self.counts.claims += 1;
        self.say(now, call, outs);
    }

    /// What is not voted on goes out again, a little later each time; past its end it is let go.
    fn again(&mut self, now: Duration, call: CallId, outs: &mut Vec<Out>) {
        let most = self.trips(AGAIN_TRIPS.1);
        let Some(held) = self.hand.get_mut(&call) else { return };
        if held.ends <= now {
            let held = self.hand.remove(&call).expect("looked up above");
            if held.client && held.attempt.is_none() {
                outs.push(Out::Uncovered { call });
            }
            return;
        }
        held.again = (2 * held.again).min(most);
        let (next, lost) = (
            now + held.again,
            match held.holding.phase() {
                Phase::Lost(by) => Some(*by),
                _ => None,
            },
        );
        let subject = held.holding.subject;
        match lost {
            Some(by) if self.at_work(by) => {
                self.send(now, by.seat.member, Message::Wait { call, subject }, outs);
            }
            Some(_) => self.claim_lost(now, call, outs),
            None => self.say(now, call, outs),
        }
        if self.hand.contains_key(&call) {
            self.at(next, Due::Again(call));
        }
    }

    fn tell_behind(&mut self, now: Duration, outs: &mut Vec<Out>) {
        for (call, (subject, ends)) in std::mem::take(&mut self.behind) {
            let at = Step { call, ballot: Ballot::first(self.seat, 0), step: 0 };
            let (content, left) = (Content::default(), ends.saturating_sub(now));
            let message = Message::Write { at, subject, content, left };
            self.told_of.insert(call, now + self.told.keep);
            self.counts.behind += 1;
            self.tell_keepers(now, call, message, outs);
        }
    }

    /// Asks those who have not taught this life what it may have kept.
    fn learn(&mut self, now: Duration, outs: &mut Vec<Out>) {
        let wanted: Vec<_> = self.keeper.unlearned(&self.told).collect();
        if wanted.is_empty() || self.is_sure() {
            return;
        }
        self.lessons += 1;
        let (seat, no) = (self.seat, self.lessons);
        outs.extend(wanted.into_iter().map(|to| Out::Send { to, message: Message::Learn { seat, no } }));
        let doubled = 2_u32.pow(self.lessons.min(MAX_DOUBLED));
        self.at(now + self.trips(AGAIN_TRIPS.0) * doubled, Due::Learn);
    }

    fn refused(&mut self, now: Duration, from: Seat, at: Step, why: &Refusal, outs: &mut Vec<Out>) {
        let news = self.hand.get_mut(&at.call).and_then(|held| held.holding.refused(from, at, why));
        self.news(now, at.call, news, outs);
    }

    fn news(&mut self, now: Duration, call: CallId, news: Option<News>, outs: &mut Vec<Out>) {
        let Some(held) = self.hand.get_mut(&call) else { return };
        match news {
            None => {}
            Some(News::MayBegin(begun)) => outs.push(Out::MayBegin { call, attempt: begun.attempt }),
            Some(News::MayAnswer(answer)) => self.finish(now, call, answer, outs),
            Some(News::Other) => {
                self.hand.remove(&call);
                outs.push(Out::InUse { call });
            }
            Some(News::Uncoverable) => {
                self.counts.uncovered += 1;
                let (client, ours) = (held.client, held.holding.content().begun.len() <= 1);
                if client && ours && held.claims == 0 {
                    self.hand.remove(&call);
                    outs.push(Out::Uncovered { call });
                }
            }
            Some(News::Lost(by)) => {
                self.counts.lost += u64::from(held.claims > 0);
                if !held.client && held.waiting.is_empty() {
                    self.hand.remove(&call);
                    return;
                }
                self.counts.joined += 1;
                let subject = held.holding.subject;
                outs.push(Out::Joined { call });
                if self.at_work(by) {
                    self.send(now, by.seat.member, Message::Wait { call, subject }, outs);
                } else {
                    self.claim_lost(now, call, outs);
                }
            }
            Some(News::Owned(content)) => self.owned(now, call, &content, outs),
        }
    }

    /// A claim was won: what becomes of the call.
    fn owned(&mut self, now: Duration, call: CallId, content: &Content, outs: &mut Vec<Out>) {
        let Some(held) = self.hand.get_mut(&call) else { return };
        if held.claims == 0 {
            return;
        }
        self.counts.won += 1;
        let subject = held.holding.subject;
        let waited = held.client || !held.waiting.is_empty();
        let verdict = succession(subject.kind, content, waited, now < held.ends);
        match verdict {
            Succession::Stands(answer) => {
                self.counts.stood += 1;
                held.holding.end(answer);
                self.say(now, call, outs);
            }
            Succession::EndUnknown => {
                self.counts.ended_unknown += 1;
                held.holding.end(unknown());
                self.say(now, call, outs);
            }
            Succession::LetGo => {
                self.counts.let_go += 1;
                self.hand.remove(&call);
            }
            Succession::Run | Succession::RunUnderLabel => {
                self.counts.run_again += 1;
                let label_only = verdict == Succession::RunUnderLabel;
                outs.push(Out::TakeOver { call, subject, begun: content.begun.clone(), label_only });
            }
        }
    }

    /// The call has its final answer: it goes to the client here, to who waits elsewhere, and is remembered.
    fn finish(&mut self, now: Duration, call: CallId, answer: Answer, outs: &mut Vec<Out>) {
        let Some(held) = self.hand.remove(&call) else { return };
        let until = now + self.told.keep;
        while self.done.len() >= MAX_DONE {
            let Some((at, oldest)) = self.done_order.pop_first() else { break };
            debug_assert!(at <= until);
            self.done.remove(&oldest);
        }
        if let Some((_, before)) = self.done.insert(call, (answer.clone(), until)) {
            self.done_order.remove(&(before, call));
        }
        self.done_order.insert((until, call));
        for to in held.waiting {
            self.tell_final(now, to, call, &answer, outs);
        }
        if held.client {
            outs.push(Out::Final { call, answer });
        }
    }

    fn tell_final(
        &mut self,
        now: Duration,
        to: MemberId,
        call: CallId,
        answer: &Answer,
        outs: &mut Vec<Out>,
    ) {
        self.send(now, to, Message::Final { call, answer: answer.clone() }, outs);
    }

    fn waits(&mut self, now: Duration, from: Seat, call: CallId, subject: Subject, outs: &mut Vec<Out>) {
        if let Some((answer, _)) = self.done.get(&call) {
            let answer = answer.clone();
            return self.tell_final(now, from.member, call, &answer, outs);
        }
        let Some(held) = self.hand.get_mut(&call).filter(|held| held.holding.subject == subject) else {
            return;
        };
        if held.waiting.len() < MAX_WAITING {
            held.waiting.insert(from.member);
        }
        // Guards against two that wait for each other: each kept the other from a majority. One of them claims.
        match *held.holding.phase() {
            Phase::Lost(by) if self.seat < from => {
                let (above, ends) = (by.max(held.holding.ballot), held.ends);
                self.claim(now, call, subject, above, ends, outs);
            }
            _ => {}
        }
    }

    #[allow(clippy::too_many_arguments, reason = "one message, and where it came in")]
    fn handed(
        &mut self,
        now: Duration,
        from: Seat,
        call: CallId,
        subject: Subject,
        content: &Content,
        left: Duration,
        outs: &mut Vec<Out>,
    ) {
        let kept = self.told.keepers_of(call).contains(&self.seat.member);
        if !kept || self.hand.contains_key(&call) || self.stopping {
            return;
        }
        let last = content.begun.iter().map(|begun| begun.ballot).max();
        let above = last.unwrap_or(Ballot::first(from, 0));
        self.claim(now, call, subject, above, now + left, outs);
    }
}
