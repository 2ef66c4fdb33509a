//! The state of a proxy: its rules, its counters and the delayed datagrams.

use super::counts::{Tally, TrafficCounts};
use super::rules::{PathConditions, Rule, RuleId};
use super::MAX_DELAYED_DATAGRAMS;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// The state that the handle of the proxy shares with its thread.
pub(super) type SharedState = Arc<Mutex<ProxyState>>;

/// Locks the state. Callers release the lock before they wait for anything.
pub(super) fn lock(state: &SharedState) -> MutexGuard<'_, ProxyState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A datagram that is queued for later delivery.
///
/// The derived order is the order of delivery: by due time, then by arrival. It depends on the order of the fields.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DelayedDatagram {
    pub(super) due: Instant,
    /// Counts delayed datagrams in the order of their arrival.
    sequence: u64,
    pub(super) from: usize,
    pub(super) to: usize,
    pub(super) bytes: Vec<u8>,
}

/// The rules, counters and queue of a proxy.
pub(super) struct ProxyState {
    rules: BTreeMap<RuleId, Rule>,
    last_rule_id: u64,
    /// The traffic of each member, by index.
    pub(super) traffic: Vec<TrafficCounts>,
    pub(super) tally: Tally,
    /// The delayed datagrams, the earliest due first.
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

    /// When the next delayed datagram is due; `None` if none is delayed.
    pub(super) fn next_due(&self) -> Option<Instant> {
        self.delayed.peek().map(|Reverse(datagram)| datagram.due)
    }

    /// Removes and returns the next delayed datagram if it is due by `now`.
    pub(super) fn pop_due(&mut self, now: Instant) -> Option<DelayedDatagram> {
        self.next_due().filter(|due| *due <= now)?;
        self.delayed.pop().map(|Reverse(datagram)| datagram)
    }

    /// Applies the conditions of the path to a datagram: drops, duplicates or queues it. Returns how many copies the
    /// caller must deliver immediately.
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

    /// The combined conditions of all rules that apply to a path.
    fn conditions(&self, from: usize, to: usize) -> PathConditions {
        let rules = self.rules.values().filter(|rule| rule.from.contains(from) && rule.to.contains(to));
        rules.fold(PathConditions::default(), |path, rule| path.combine(&rule.path))
    }

    /// Draws whether an event of the given probability happens. Probability 0 draws no random number, so that a rule
    /// without random faults does not shift the sequence of the others.
    fn draw(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.rand_float() < probability
    }

    /// Queues a copy of a datagram with the delay of its path, or drops it if the queue is full.
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
