//! One stream as a node holds it: its log, what is missing, what is known of its end, and how far it is in force.

use crate::made::Made;
use crate::messages::MAX_RANGES;
use crate::words::{Entry, Kind, Number, StreamId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Purges of one log, also how far ahead of a gap one is taken. When full, the first goes, and the snapshot covers it.
pub const MAX_PURGES: usize = 16_384;
/// Configuration entries of one log, likewise.
pub const MAX_VERSIONS: usize = 1024;
/// A wider gap is not asked for; a snapshot is.
pub const MAX_GAP: u64 = 4096;
/// Contents beside those in a log, under the same numbers. When full, a floor of now stands for one more.
pub const MAX_FORKS: usize = 64;
/// Steps in which the end of a stream moved away over a gap. When full, the newest takes in what follows.
pub const MAX_STEPS: usize = 64;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    pub made: Made,
    pub entry: Entry,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    New,
    Known,
    /// Another content under a number that is held: to be put in effect beside it.
    Fork,
    /// Likewise, and there is no room to remember it by.
    ForkUnkept,
    /// Of a number that was dropped from the log since.
    Old,
    /// Too far ahead: neither kept nor to be put in effect; it counts as missing.
    Far,
    /// Of the wrong kind, or under no number; nothing comes of it.
    No,
}

#[derive(Clone, Debug)]
pub struct Stream {
    pub id: StreamId,
    pub(crate) log: BTreeMap<u64, Held>,
    /// All before it is under the snapshot.
    pub(crate) first: u64,
    /// The newest before the log.
    pub(crate) before: Option<Made>,
    /// Where it begins is known: by its first number, or a snapshot.
    pub begun: bool,
    /// All up to here are here or covered.
    pub(crate) to: u64,
    /// All up to here are in force.
    pub in_force: Number,
    pub(crate) last: u64,
    /// Since when the end of the stream was known to be so far.
    steps: VecDeque<(u64, Duration)>,
    /// When it was heard of first.
    pub met: Duration,
    /// When its end moved last.
    pub moved: Duration,
    /// When a parent's or control node's tip said last how far it goes.
    pub shown: Duration,
    /// How often was asked since it went on last, and how far it was then.
    pub asks: u32,
    pub asked_at: Number,
    pub ask_due: Option<Duration>,
    /// Who showed its end.
    pub shown_by: Option<SocketAddr>,
    forks: BTreeSet<(u64, Entry)>,
}

impl Stream {
    pub fn new(id: StreamId, now: Duration) -> Stream {
        Stream {
            id,
            log: BTreeMap::new(),
            first: 1,
            before: None,
            begun: false,
            to: 0,
            in_force: Number(0),
            last: 0,
            steps: VecDeque::new(),
            met: now,
            moved: now,
            shown: now,
            asks: 0,
            asked_at: Number(0),
            ask_due: None,
            shown_by: None,
            forks: BTreeSet::new(),
        }
    }

    pub fn to(&self) -> Number {
        Number(self.to)
    }

    pub fn first(&self) -> Number {
        Number(self.first)
    }

    /// The last that is known of, here or not.
    pub fn last(&self) -> Number {
        Number(self.last.max(self.to))
    }

    pub fn held(&self) -> usize {
        self.log.len()
    }

    pub fn get(&self, number: Number) -> Option<&Held> {
        self.log.get(&number.0)
    }

    fn most(&self) -> usize {
        match self.id.kind {
            Kind::Purges => MAX_PURGES,
            Kind::Configuration => MAX_VERSIONS,
        }
    }

    /// Something is known to be missing.
    pub fn gap(&self) -> bool {
        !self.begun || self.to < self.last
    }

    pub fn take(&mut self, number: Number, held: Held) -> Taken {
        let fits = matches!(
            (&held.entry, self.id.kind),
            (Entry::Purge(_), Kind::Purges) | (Entry::Setting(_), Kind::Configuration)
        );
        if number.0 == 0 || number.0 == u64::MAX || !fits {
            return Taken::No;
        }
        if let Some(other) = self.log.get(&number.0) {
            return if other.entry == held.entry { Taken::Known } else { self.fork(number, held.entry) };
        }
        if self.begun && number.0 <= self.to {
            return Taken::Old;
        }
        let most = self.most();
        let ahead = self.begun && number.0 - self.to > most as u64;
        if ahead || (self.log.len() >= most && !self.drop_first()) {
            return Taken::Far;
        }
        self.log.insert(number.0, held);
        Taken::New
    }

    fn fork(&mut self, number: Number, entry: Entry) -> Taken {
        let fork = (number.0, entry);
        if self.forks.contains(&fork) {
            return Taken::Known;
        }
        if self.forks.len() >= MAX_FORKS {
            return Taken::ForkUnkept;
        }
        self.forks.insert(fork);
        Taken::Fork
    }

    /// Its beginning is here: nothing before it was ever published.
    pub fn begin(&mut self) {
        self.begun = true;
        self.advance();
    }

    /// Goes on over all that is here in a row.
    pub fn advance(&mut self) {
        if !self.begun {
            return;
        }
        let from = self.to.saturating_add(1);
        let mut next = from;
        for (number, _) in self.log.range(from..) {
            if *number != next {
                break;
            }
            next = next.saturating_add(1);
        }
        self.to = next - 1;
    }

    /// The stream is known to go so far. True: that is news.
    pub fn note_last(&mut self, now: Duration, last: Number, by: Option<SocketAddr>) -> bool {
        if last.0 <= self.last || last.0 == u64::MAX {
            return false;
        }
        self.last = last.0;
        self.moved = now;
        self.shown_by = by.or(self.shown_by);
        true
    }

    /// After entries or a tip: since when something is missing, and when to ask for it first.
    pub fn watch_gap(&mut self, now: Duration, wait: Duration) {
        while self.begun && self.steps.front().is_some_and(|(last, _)| *last <= self.to) {
            self.steps.pop_front();
        }
        if !self.gap() {
            self.ask_due = None;
            self.asks = 0;
            return;
        }
        if self.steps.back().is_none_or(|(last, _)| *last < self.last) {
            self.step(now, wait);
        }
        self.ask_due = self.ask_due.or(Some(now + wait));
    }

    fn step(&mut self, now: Duration, wait: Duration) {
        let full = self.steps.len() >= MAX_STEPS;
        match self.steps.back_mut() {
            Some((last, at)) if *at == now || now.saturating_sub(*at) < wait => *last = self.last,
            Some(newest) if full => *newest = (self.last, now),
            _ => self.steps.push_back((self.last, now)),
        }
    }

    /// Since when the oldest gap is known.
    pub fn gap_since(&self) -> Option<Duration> {
        self.steps.front().map(|(_, at)| *at)
    }

    /// This process stood still: nobody can have answered meanwhile.
    pub fn stood_still(&mut self, span: Duration) {
        for (_, at) in &mut self.steps {
            *at = at.saturating_add(span);
        }
    }

    /// What is missing, a few ranges; none: a snapshot is to be asked for.
    pub fn missing(&self) -> Vec<(Number, Number)> {
        if !self.begun || self.last.saturating_sub(self.to) > MAX_GAP {
            return Vec::new();
        }
        let mut ranges = Vec::new();
        let mut next = self.to.saturating_add(1);
        for (number, _) in self.log.range(next..) {
            if *number > next {
                ranges.push((Number(next), Number(number - 1)));
            }
            next = number.saturating_add(1);
            if ranges.len() >= MAX_RANGES {
                return ranges;
            }
        }
        if next <= self.last {
            ranges.push((Number(next), Number(self.last)));
        }
        ranges
    }

    /// Gives up what is missing since longer than `wait`. True: a floor of now is to stand for it.
    pub fn give_up(&mut self, now: Duration, wait: Duration) -> bool {
        let mut lost = false;
        while let Some((last, at)) = self.steps.front().copied() {
            if now.saturating_sub(at) < wait {
                break;
            }
            self.steps.pop_front();
            lost |= self.pass(Number(last.saturating_add(1)), Some(Made::ago(now, Duration::ZERO)));
        }
        lost
    }

    /// Something before `next` isn't here.
    pub fn lacks_before(&self, next: Number) -> bool {
        let until = next.0.saturating_sub(1);
        if until <= self.to {
            return false;
        }
        let here = self.log.range(self.to + 1..=until).count() as u64;
        here < until - self.to
    }

    /// Goes on from `next`, over what isn't here. True: something before it isn't.
    pub fn pass(&mut self, next: Number, floor: Option<Made>) -> bool {
        let until = next.0.saturating_sub(1);
        if self.begun && until <= self.to {
            return false;
        }
        let missed = self.lacks_before(next);
        self.begun = true;
        self.to = self.to.max(until);
        self.last = self.last.max(until);
        if missed {
            self.first = self.first.max(until.saturating_add(1));
            self.before = self.before.max(floor);
        }
        self.advance();
        missed
    }

    /// The first of the log goes under the snapshot. False: nothing before it is complete.
    fn drop_first(&mut self) -> bool {
        let here = self.log.first_key_value().is_some_and(|(number, _)| self.begun && *number <= self.to);
        if let Some((number, held)) = here.then(|| self.log.pop_first()).flatten() {
            self.first = self.first.max(number.saturating_add(1));
            self.before = self.before.max(Some(held.made));
        }
        here
    }

    /// Drops what is too old, or too much.
    pub fn trim(&mut self, now: Duration, keep: Duration) {
        let most = self.most();
        while let Some((_, held)) = self.log.first_key_value() {
            let old = self.id.kind == Kind::Purges && held.made.age(now) > keep;
            if !(old || self.log.len() > most) || !self.drop_first() {
                break;
            }
        }
        self.forks.retain(|(number, _)| *number >= self.first);
    }
}
