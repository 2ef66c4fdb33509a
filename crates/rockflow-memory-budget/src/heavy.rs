//! The heaviest keys of a stream in fixed space: the Space-Saving sketch (Metwally, Agrawal and El Abbadi, "Efficient
//! Computation of Frequent and Top-k Elements in Data Streams"). A reported weight may be too large by its error,
//! never too small.

use std::collections::BTreeMap;

/// The weights of the heaviest keys seen.
#[derive(Clone, Debug)]
pub struct HeavyHitters<K> {
    max_keys: usize,
    counters: BTreeMap<K, Counter>,
}

#[derive(Clone, Copy, Debug)]
struct Counter {
    weight: u64,
    error: u64,
}

/// A key with its estimated weight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeavyHitter<K> {
    pub key: K,
    pub weight: u64,
    /// The most by which `weight` may exceed the true weight.
    pub error: u64,
}

impl<K: Ord + Clone> HeavyHitters<K> {
    /// Tracks at most `max_keys` keys at a time, and at least one.
    pub fn new(max_keys: usize) -> HeavyHitters<K> {
        HeavyHitters { max_keys: max_keys.max(1), counters: BTreeMap::new() }
    }

    /// Adds weight to a key. An untracked key replaces the lightest tracked one when there is no room for both.
    pub fn add(&mut self, key: K, weight: u64) {
        if let Some(counter) = self.counters.get_mut(&key) {
            counter.weight = counter.weight.saturating_add(weight);
            return;
        }
        let mut error = 0;
        if self.counters.len() >= self.max_keys {
            let lightest = self.counters.iter().min_by_key(|(_, counter)| counter.weight);
            if let Some((evicted, counter)) = lightest.map(|(key, counter)| (key.clone(), *counter)) {
                self.counters.remove(&evicted);
                error = counter.weight;
            }
        }
        self.counters.insert(key, Counter { weight: error.saturating_add(weight), error });
    }

    /// The `count` heaviest tracked keys, the heaviest first.
    pub fn top(&self, count: usize) -> Vec<HeavyHitter<K>> {
        let mut heaviest: Vec<_> = self
            .counters
            .iter()
            .map(|(key, counter)| HeavyHitter {
                key: key.clone(),
                weight: counter.weight,
                error: counter.error,
            })
            .collect();
        heaviest.sort_by_key(|hitter| std::cmp::Reverse(hitter.weight));
        heaviest.truncate(count);
        heaviest
    }

    /// Halves every weight, so that old weight counts less than recent weight. Keys whose weight reaches zero are
    /// removed.
    pub fn decay(&mut self) {
        self.counters.retain(|_, counter| {
            counter.weight /= 2;
            counter.error /= 2;
            counter.weight > 0
        });
    }
}
