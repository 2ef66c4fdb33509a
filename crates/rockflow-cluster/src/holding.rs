//! A call in the hands of a dispatcher: its first owner's, or a claimant's. A pure machine: what it wants the keepers to
//! hold, which of them have said so, and what may be done by that.

use crate::messages::{Message, Refusal, Step};
use crate::votes::Votes;
use crate::words::*;
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// A majority's promise is wanted; what those that promised hold.
    Claiming(Content),
    /// It is ours to decide, as far as we know.
    Owning,
    /// Another has it.
    Lost(Ballot),
    /// The id is in use for something else.
    Other,
}

/// What has come of a vote or a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum News {
    /// A majority has promised, or holds the call as ours: what was done before us.
    Owned(Content),
    /// A majority of the keepers knows of this attempt: it may be written.
    MayBegin(Begun),
    /// A majority holds the final answer: it may be given.
    MayAnswer(Answer),
    /// Another may have it, under this ballot.
    Lost(Ballot),
    Other,
    /// So many keepers refuse for their own reasons that no majority can be had from the rest.
    Uncoverable,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holding {
    pub call: CallId,
    pub subject: Subject,
    pub ballot: Ballot,
    keepers: Vec<MemberId>,
    majority: usize,
    phase: Phase,
    content: Content,
    /// The step that is out, what it is for, and its votes. Steps are numbered from 1.
    step: u32,
    votes: Votes,
    covered: bool,
    /// Keepers that refuse the present step, with the ballot that they have promised instead; none: they may have
    /// forgotten, or are full.
    unable: BTreeMap<MemberId, Option<Ballot>>,
    wants: Wants,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Wants {
    /// That a majority knows whose it is.
    Own,
    Begin(Begun),
    Answer(Answer),
}

impl Holding {
    fn new(told: &Told, call: CallId, subject: Subject, ballot: Ballot, phase: Phase) -> Holding {
        Holding {
            call,
            subject,
            ballot,
            keepers: told.keepers_of(call),
            majority: told.majority(),
            phase,
            content: Content::default(),
            step: 1,
            votes: Votes::default(),
            covered: false,
            unable: BTreeMap::new(),
            wants: Wants::Own,
        }
    }

    /// As its first owner.
    pub fn take(told: &Told, call: CallId, subject: Subject, seat: Seat, no: u64) -> Holding {
        Holding::new(told, call, subject, Ballot::first(seat, no), Phase::Owning)
    }

    /// After another, with a ballot above all that is known.
    pub fn claim(told: &Told, call: CallId, subject: Subject, seat: Seat, no: u64, above: Ballot) -> Holding {
        let ballot = Ballot { round: above.round + 1, seat, no };
        Holding::new(told, call, subject, ballot, Phase::Claiming(Content::default()))
    }

    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    pub fn content(&self) -> &Content {
        &self.content
    }

    pub fn keepers(&self) -> &[MemberId] {
        &self.keepers
    }

    /// Whether the present step is known to a majority.
    pub fn is_covered(&self) -> bool {
        self.covered
    }

    /// An attempt to this host is to be written, as soon as a majority knows.
    pub fn begin(&mut self, attempt: u16, host: u64) {
        let begun = Begun { ballot: self.ballot, attempt, host };
        self.content.begun.push(begun);
        self.want(Wants::Begin(begun));
    }

    /// The final answer is to be given, as soon as a majority holds it. One that was found stands.
    pub fn end(&mut self, answer: Answer) {
        let answer = self.content.answer.as_ref().map_or(answer, |(_, found)| found.clone());
        self.content.answer = Some((self.ballot, answer.clone()));
        self.want(Wants::Answer(answer));
    }

    fn want(&mut self, wants: Wants) {
        self.step += 1;
        (self.wants, self.covered) = (wants, false);
        (self.votes, self.unable) = (Votes::default(), BTreeMap::new());
    }

    /// What each keeper that has not voted yet is to be sent; asked for again until all have, or the call is lost.
    pub fn unsaid(&self, left: Duration) -> Vec<(MemberId, Message)> {
        let at = Step { call: self.call, ballot: self.ballot, step: self.step };
        let message = match &self.phase {
            Phase::Claiming(_) => Message::Claim { at, subject: Some(self.subject) },
            Phase::Owning => {
                let (subject, content) = (self.subject, self.content.clone());
                Message::Write { at, subject, content, left }
            }
            Phase::Lost(_) | Phase::Other => return Vec::new(),
        };
        let missing = self.keepers.iter().filter(|id| !self.votes.has(**id));
        missing.map(|id| (*id, message.clone())).collect()
    }

    pub fn voted(&mut self, voter: Seat, at: Step, lives: &[Seat], held: Option<&Kept>) -> Option<News> {
        if !self.is_current(at) || !self.keepers.contains(&voter.member) {
            return None;
        }
        self.unable.remove(&voter.member);
        self.votes.add(voter, lives);
        if let (Phase::Claiming(found), Some(held)) = (&mut self.phase, held) {
            found.merge(&held.content);
        }
        if self.covered || self.votes.count() < self.majority {
            return None;
        }
        self.covered = true;
        if let Phase::Claiming(found) = &mut self.phase {
            self.content = std::mem::take(found);
            self.phase = Phase::Owning;
            return Some(News::Owned(self.content.clone()));
        }
        Some(match &self.wants {
            Wants::Own => News::Owned(self.content.clone()),
            Wants::Begin(begun) => News::MayBegin(*begun),
            Wants::Answer(answer) => News::MayAnswer(answer.clone()),
        })
    }

    pub fn refused(&mut self, voter: Seat, at: Step, why: &Refusal) -> Option<News> {
        if !self.is_current(at) || !self.keepers.contains(&voter.member) {
            return None;
        }
        match why {
            Refusal::Promised(ballot) => self.unable.insert(voter.member, Some(*ballot)),
            Refusal::Other => {
                self.phase = Phase::Other;
                return Some(News::Other);
            }
            Refusal::Unsure | Refusal::Full => self.unable.insert(voter.member, None),
        };
        // One that refuses takes nothing away while the others are a majority.
        if self.covered || self.keepers.len() - self.unable.len() >= self.majority {
            return None;
        }
        Some(match self.unable.values().flatten().max().copied() {
            Some(by) => {
                self.phase = Phase::Lost(by);
                News::Lost(by)
            }
            None => News::Uncoverable,
        })
    }

    fn is_current(&self, at: Step) -> bool {
        let going = matches!(self.phase, Phase::Claiming(_) | Phase::Owning);
        going && at == Step { call: self.call, ballot: self.ballot, step: self.step }
    }
}
