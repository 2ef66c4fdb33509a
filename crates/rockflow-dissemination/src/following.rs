//! Whom a member follows: its candidates, when one is left for the next, and the way back to the first.

use crate::made::Made;
use crate::words::{NodeId, Peer};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// A parent is left after so many pulses without one.
const SILENT: u32 = 3;
/// One that was just turned to answers at once: it is left after so many without a word.
const UNANSWERED: u32 = 2;
/// A pulse is stale where the control node's own is older than so many.
const STALE: u32 = 5;
/// A new parent's pulses may be stale for so many, as it may have begun just now too.
const GRACE: u32 = 2;
/// So many are tried by preference; then the furthest first.
const NEAREST: usize = 2;
/// A parent is in doubt one pulse in so many before it is given up: the way there and back of a probe.
const DOUBT: u32 = 2;
/// Probes a pulse after each other; then one in so many pulses.
const QUICK_PROBES: u32 = 4;
const SLOW_PROBES: u32 = 4;
/// An answer counts for so many pulses.
const ANSWER: u32 = 2;
/// A stale parent is left so many pulses sooner where another answers that is fresh.
const SOONER: u32 = 2;
/// Those with most members above them, so many as candidates can be, not so: one of those above may be where the fault
/// is, and its way out is theirs as well.
const MAX_ABOVE: u32 = 6;
/// The nearest that is not staler than this, in pulses, is turned to. So are those that lost the same parent just now:
/// they find a way too, and all the nearest needn't go to the furthest.
const FRESH: u32 = 4;
/// Away from a parent that would not be left yet, if nobody had answered, likewise.
const MUCH_FRESHER: u32 = 2;
/// The wait after a round of all, doubled up to so many pulses.
const MAX_WAIT: u32 = 60;
/// On a backup the first candidate is tried again every so many pulses.
const TRY_FIRST: u32 = 20;

/// One that may be followed; a seed is known by its address only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    pub node: Option<NodeId>,
    pub address: SocketAddr,
}

impl Candidate {
    pub fn is(&self, node: NodeId, at: SocketAddr) -> bool {
        self.node.map_or(self.address == at, |own| own == node)
    }
}

impl From<Peer> for Candidate {
    fn from(peer: Peer) -> Candidate {
        Candidate { node: Some(peer.node), address: peer.address }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Stay,
    /// Another is followed from now on; the one before is to be told.
    Turn {
        from: Candidate,
    },
    /// The first is to be asked whether it is there again.
    TryFirst(Candidate),
}

/// From whom a pulse came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    Parent,
    /// The first candidate is there again and is followed from now on; this one was before.
    First {
        from: Candidate,
    },
    /// Not followed: it is to be told.
    Other,
}

#[derive(Clone, Debug)]
pub struct Following {
    pulse: Duration,
    candidates: Vec<Candidate>,
    /// How many of them are members, which stand above this one.
    above: u32,
    at: usize,
    /// Since when the parent is silent; moved on over times when this process stood still.
    quiet_since: Duration,
    /// Since when the parent is followed.
    since: Duration,
    /// From when on the newest pulse that came by this parent is stale.
    stale_at: Option<Duration>,
    tried: BTreeSet<usize>,
    /// The freshest of this round.
    best: Option<(Made, usize)>,
    wait: Duration,
    /// Until then nobody is left, after a round of all.
    hold: Duration,
    first_due: Duration,
    /// What other candidates answered: when, and how fresh they are.
    answers: BTreeMap<usize, (Duration, Made)>,
    /// When the answers are to be looked at, as the parent is given up by then.
    answer_due: Option<Duration>,
    /// How often was asked since a fresh pulse came, and when it is to be again.
    probes: u32,
    probe_due: Duration,
}

impl Following {
    pub fn new(pulse: Duration, now: Duration) -> Following {
        Following {
            pulse,
            candidates: Vec::new(),
            above: 0,
            at: 0,
            quiet_since: now,
            since: now,
            stale_at: None,
            tried: BTreeSet::new(),
            best: None,
            wait: Duration::ZERO,
            hold: now,
            first_due: now,
            answers: BTreeMap::new(),
            answer_due: None,
            probes: 0,
            probe_due: now,
        }
    }

    pub fn parent(&self) -> Option<Candidate> {
        self.candidates.get(self.at).copied()
    }

    pub fn candidates(&self) -> &[Candidate] {
        &self.candidates
    }

    pub fn is_first(&self) -> bool {
        self.at == 0
    }

    /// New candidates, so many of them members. The parent stays if it is among them; else the first is followed. Returns who was left.
    pub fn set(&mut self, now: Duration, candidates: Vec<Candidate>, above: u32) -> Option<Candidate> {
        if candidates == self.candidates {
            return None;
        }
        let parent = self.parent();
        self.above = above;
        self.candidates = candidates;
        self.tried.clear();
        self.best = None;
        self.wait = Duration::ZERO;
        self.hold = now;
        self.answers.clear();
        self.probes = 0;
        self.probe_due = now;
        self.first_due = now + self.pulse * TRY_FIRST;
        let stays = |parent: Candidate| {
            self.candidates.iter().position(|other| other.node.is_some() && other.node == parent.node)
        };
        match parent.and_then(stays) {
            Some(at) => {
                self.at = at;
                None
            }
            None => {
                self.turn(now, 0);
                parent
            }
        }
    }

    fn turn(&mut self, now: Duration, to: usize) {
        self.at = to;
        self.since = now;
        self.quiet_since = now;
        self.stale_at = None;
        self.first_due = now + self.pulse * TRY_FIRST;
        self.answers.remove(&to);
    }

    pub fn stood_still(&mut self, span: Duration) {
        self.quiet_since = self.quiet_since.saturating_add(span);
        self.stale_at = None;
        self.answers.clear();
    }

    fn silent_at(&self) -> Duration {
        self.quiet_since + self.pulse * if self.stale_at.is_some() { SILENT } else { UNANSWERED }
    }

    /// When the parent is given up for one that answers, unless it is heard meanwhile.
    fn given_up_at(&self) -> Duration {
        let sooner = self.pulse * SOONER * (MAX_ABOVE - self.above.min(MAX_ABOVE)) / MAX_ABOVE;
        let stale = self.stale_at.map(|at| at.saturating_sub(sooner).max(self.since + self.pulse * GRACE));
        stale.map_or(self.silent_at(), |stale| stale.min(self.silent_at()))
    }

    fn in_doubt_at(&self) -> Duration {
        self.given_up_at().saturating_sub(self.pulse / DOUBT)
    }

    /// Whom to ask how fresh they are: all others, while the parent is in doubt.
    pub fn doubts(&mut self, now: Duration) -> Vec<Candidate> {
        if self.candidates.len() < 2 || now < self.in_doubt_at().max(self.probe_due) {
            return Vec::new();
        }
        self.probes = self.probes.saturating_add(1);
        self.probe_due = now + self.pulse * if self.probes < QUICK_PROBES { 1 } else { SLOW_PROBES };
        let others = self.candidates.iter().enumerate().filter(|(index, _)| *index != self.at);
        others.map(|(_, other)| *other).collect()
    }

    /// A candidate says how fresh it is.
    pub fn answered(&mut self, now: Duration, node: NodeId, at: SocketAddr, made: Made) -> Step {
        let index = self.candidates.iter().position(|candidate| candidate.is(node, at));
        let Some(index) = index.filter(|index| *index != self.at && now >= self.in_doubt_at()) else {
            return Step::Stay;
        };
        self.answers.insert(index, (now, made));
        if now > self.given_up_at() {
            return self.turn_to_answer(now).unwrap_or(Step::Stay);
        }
        self.answer_due = Some(self.given_up_at() + Duration::from_millis(1));
        Step::Stay
    }

    /// To the nearest that is fresh of those that answered lately; away from a silent parent else to the freshest.
    fn turn_to_answer(&mut self, now: Duration) -> Option<Step> {
        let from = self.parent()?;
        let (pulse, heard) = (self.pulse, self.pulse * ANSWER);
        self.answers.retain(|_, (at, _)| now.saturating_sub(*at) <= heard);
        let silent = now > self.silent_at();
        let most = if silent || self.stale_at.is_some_and(|at| now >= at) { FRESH } else { MUCH_FRESHER };
        let fresh = |made: Made| made.age(now) <= pulse * most;
        let nearest = self.answers.iter().find(|(_, (_, made))| fresh(*made));
        let freshest = self.answers.iter().max_by_key(|(_, (_, made))| *made);
        // To go from one stale parent to another gains nothing.
        let freshest = freshest.filter(|(_, (_, made))| silent && made.age(now) < pulse * STALE);
        let to = *nearest.or(freshest)?.0;
        self.tried.insert(self.at);
        self.turn(now, to);
        Some(Step::Turn { from })
    }

    /// From when on a pulse of this age is stale.
    fn stale_at(&self, now: Duration, made: Made) -> Duration {
        now + (self.pulse * STALE).saturating_sub(made.age(now))
    }

    /// Somebody is heard whom only his voice is known of, not how fresh it is.
    pub fn heard_blurred(&mut self, now: Duration, node: NodeId, at: SocketAddr) {
        if self.parent().is_some_and(|parent| parent.is(node, at)) {
            self.quiet_since = now;
        }
    }

    pub fn heard(&mut self, now: Duration, node: NodeId, at: SocketAddr, made: Made) -> Source {
        let stale_at = self.stale_at(now, made);
        let fresh = stale_at > now;
        let parent = self.parent();
        if parent.is_some_and(|parent| parent.is(node, at)) {
            self.quiet_since = now;
            let grace = self.since + self.pulse * GRACE;
            self.stale_at = self.stale_at.max(Some(stale_at.max(grace)));
            self.best = self.best.max(Some((made, self.at)));
            if fresh {
                self.settled();
            }
            if let Some(own) = self.candidates.get_mut(self.at) {
                own.node = Some(node);
            }
            return Source::Parent;
        }
        let first = self.candidates.first().is_some_and(|first| first.is(node, at));
        match (first && fresh, parent) {
            (true, Some(from)) => {
                self.turn(now, 0);
                self.stale_at = Some(stale_at);
                self.settled();
                Source::First { from }
            }
            _ => Source::Other,
        }
    }

    fn settled(&mut self) {
        self.tried.clear();
        self.best = None;
        self.wait = Duration::ZERO;
        self.probes = 0;
    }

    /// A node has no room. Where it was the parent, the next is followed.
    pub fn full(&mut self, now: Duration, node: NodeId, at: SocketAddr, share: f64) -> Step {
        match self.parent() {
            Some(parent) if parent.is(node, at) => match self.turn_to_answer(now) {
                Some(step) => step,
                None if now >= self.hold => self.next(now, share),
                None => Step::Stay,
            },
            _ => Step::Stay,
        }
    }

    /// `share`: a chance from 0 to 1, so that not all wait for as long.
    pub fn tick(&mut self, now: Duration, share: f64) -> Step {
        if self.candidates.is_empty() {
            return Step::Stay;
        }
        let silent = now > self.silent_at();
        let stale = self.stale_at.is_some_and(|at| now >= at);
        self.answer_due = self.answer_due.filter(|due| *due > now);
        if silent || stale || now > self.given_up_at() {
            if let Some(step) = self.turn_to_answer(now) {
                return step;
            }
        }
        if (silent || stale) && now >= self.hold {
            let step = self.next(now, share);
            if step != Step::Stay {
                return step;
            }
        }
        if self.at != 0 && now >= self.first_due {
            self.first_due = now + self.pulse * TRY_FIRST;
            return Step::TryFirst(self.candidates[0]);
        }
        Step::Stay
    }

    fn next(&mut self, now: Duration, share: f64) -> Step {
        let Some(from) = self.parent() else { return Step::Stay };
        self.tried.insert(self.at);
        let mut untried = (0..self.candidates.len()).filter(|index| !self.tried.contains(index));
        // Where the nearest two are no way, those between may all stand below the same fault: control nodes are last.
        let next = if self.tried.len() < NEAREST { untried.next() } else { untried.next_back() };
        let to = match next {
            Some(to) => to,
            None => {
                self.wait = (self.wait * 2).clamp(self.pulse, self.pulse * MAX_WAIT);
                self.hold = now + self.wait.mul_f64(0.75 + share / 2.0);
                self.tried.clear();
                self.best.take().map_or(0, |(_, index)| index)
            }
        };
        if to == self.at {
            self.quiet_since = now;
            return Step::Stay;
        }
        self.turn(now, to);
        Step::Turn { from }
    }

    /// When `tick` has something to do at the latest.
    pub fn next_due(&self) -> Option<Duration> {
        self.parent()?;
        let silent = self.silent_at().max(self.hold) + Duration::from_millis(1);
        let stale = self.stale_at.map(|at| at.max(self.hold));
        let first = (self.at != 0).then_some(self.first_due);
        let probe = (self.candidates.len() > 1).then(|| self.in_doubt_at().max(self.probe_due));
        [Some(silent), stale, first, probe, self.answer_due].into_iter().flatten().min()
    }
}
