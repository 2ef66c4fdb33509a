//! The state of a proxy: rules, counts and delayed datagrams.

use super::counts::{Tally, TrafficCounts};
use super::rules::{PathConditions, Rule, RuleId};
use super::MAX_DELAYED_DATAGRAMS;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// The state as the proxy's handle and its thread share it.
pub(super) type SharedState = Arc<Mutex<ProxyState>>;

/// Locks the state. No lock is held across a wait.
pub(super) fn lock(state: &SharedState) -> MutexGuard<'_, ProxyState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A datagram that waits for its time.
///
/// The order of the fields is the order of delivery: by time, then by arrival.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DelayedDatagram {
    pub(super) due: Instant,
    sequence: u64,
    pub(super) from: usize,
    pub(super) to: usize,
    pub(super) bytes: Vec<u8>,
}

pub(super) struct ProxyState {
    rules: BTreeMap<RuleId, Rule>,
    last_rule_id: u64,
    /// Counts by member.
    pub(super) traffic: Vec<TrafficCounts>,
    pub(super) tally: Tally,
    delayed: BinaryHeap<Reverse<DelayedDatagram>>,
    last_sequence: u64,
    rng: oorandom::Rand64,
}

impl ProxyState {
    pub(super) fn new(members: usize, seed: u64) -> ProxyState {
        ProxyState {
            rules: BTreeMap::new(),
            last_rule_id: 0,
            traffic: vec![TrafficCounts::default(); members],
            tally: Tally::default(),
            delayed: BinaryHeap::new(),
            last_sequence: 0,
            rng: oorandom::Rand64::new(u128::from(seed)),
        }
    }

    pub(super) fn add_rule(&mut self, rule: Rule) -> RuleId {
        self.last_rule_id += 1;
        let id = RuleId(self.last_rule_id);
        self.rules.insert(id, rule);
        id
    }

    pub(super) fn remove_rule(&mut self, id: RuleId) {
        self.rules.remove(&id);
    }

    pub(super) fn delayed_count(&self) -> usize {
        self.delayed.len()
    }

    /// When the next delayed datagram is due.
    pub(super) fn next_due(&self) -> Option<Instant> {
        self.delayed.peek().map(|Reverse(datagram)| datagram.due)
    }

    /// Removes the next delayed datagram that is due.
    pub(super) fn pop_due(&mut self, now: Instant) -> Option<DelayedDatagram> {
        self.next_due().filter(|due| *due <= now)?;
        self.delayed.pop().map(|Reverse(datagram)| datagram)
    }

    /// Applies the conditions of its path to a datagram: queues it if it is delayed, and returns how many copies are to
    /// be delivered at once.
    pub(super) fn apply_conditions(&mut self, from: usize, to: usize, bytes: &[u8]) -> usize {
        let path = self.conditions(from, to);
        if path.cut {
            self.tally.cut += 1;
            return 0;
        }
        if self.draw(path.lost) {
            self.tally.lost += 1;
            return 0;
        }
        let mut copies = 1;
        if self.draw(path.doubled) {
            self.tally.doubled += 1;
            copies = 2;
        }
        if path.late.is_zero() && path.jitter.is_zero() {
            return copies;
        }
        for _ in 0..copies {
            self.delay(from, to, bytes, &path);
        }
        0
    }

    /// The conditions of all rules for a path together.
    fn conditions(&self, from: usize, to: usize) -> PathConditions {
        let rules = self.rules.values().filter(|rule| rule.from.contains(from) && rule.to.contains(to));
        rules.fold(PathConditions::default(), |path, rule| path.combine(&rule.path))
    }

    /// Whether an event of that probability happens. No number is drawn for one that can't.
    fn draw(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.rand_float() < probability
    }

    fn delay(&mut self, from: usize, to: usize, bytes: &[u8], path: &PathConditions) {
        if self.delayed.len() >= MAX_DELAYED_DATAGRAMS {
            self.tally.over += 1;
            return;
        }
        self.tally.late += 1;
        self.last_sequence += 1;
        let due = Instant::now() + path.late + path.jitter.mul_f64(self.rng.rand_float());
        let datagram = DelayedDatagram { due, sequence: self.last_sequence, from, to, bytes: bytes.to_vec() };
        self.delayed.push(Reverse(datagram));
    }
}
