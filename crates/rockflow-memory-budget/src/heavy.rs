//! Who is behind most of it, in fixed space (Metwally, Agrawal and El Abbadi, "Efficient Computation of Frequent
//! and Top-k Elements in Data Streams": the Space-Saving sketch). A weight that is told may be too large by its
//! error, never too small.

use std::collections::BTreeMap;

#[derive(Clone, Debug)]
pub struct Heavy<K> {
    most: usize,
    weights: BTreeMap<K, (u64, u64)>,
}

impl<K: Ord + Clone> Heavy<K> {
    /// Watches so many at once.
    pub fn new(most: usize) -> Heavy<K> {
        Heavy { most: most.max(1), weights: BTreeMap::new() }
    }

    pub fn add(&mut self, key: K, weight: u64) {
        if let Some((known, _)) = self.weights.get_mut(&key) {
            *known = known.saturating_add(weight);
            return;
        }
        let mut error = 0;
        if self.weights.len() >= self.most {
            let least = self.weights.iter().min_by_key(|(_, (weight, _))| *weight);
            if let Some((gone, (weight, _))) = least.map(|(key, weight)| (key.clone(), *weight)) {
                self.weights.remove(&gone);
                error = weight;
            }
        }
        self.weights.insert(key, (error.saturating_add(weight), error));
    }

    /// The heaviest first: key, weight, and by how much that may be too large.
    pub fn top(&self, count: usize) -> Vec<(K, u64, u64)> {
        let mut all: Vec<_> =
            self.weights.iter().map(|(key, (weight, error))| (key.clone(), *weight, *error)).collect();
        all.sort_by_key(|(_, weight, _)| std::cmp::Reverse(*weight));
        all.truncate(count);
        all
    }

    /// Halves every weight, so that what was long ago fades; what is nothing by then goes.
    pub fn fade(&mut self) {
        self.weights.retain(|_, (weight, error)| {
            *weight /= 2;
            *error /= 2;
            *weight > 0
        });
    }
}
