//! The last day of each purpose in fixed bytes: seconds for the last minutes, then minutes, then half hours. Of
//! each span the greatest is kept.

use std::collections::VecDeque;
use std::time::Duration;

/// How long a step of each ring is, and how many are kept: ten minutes, four hours, two days.
const RINGS: [(Duration, usize); 3] =
    [(Duration::from_secs(5), 120), (Duration::from_secs(60), 240), (Duration::from_secs(1800), 96)];

#[derive(Clone, Debug, Default)]
struct Ring {
    /// The number of the step that is being filled, and the greatest of each purpose in it.
    step: u64,
    filling: Vec<u64>,
    past: VecDeque<(u64, Vec<u64>)>,
}

#[derive(Clone, Debug)]
pub struct Growth {
    purposes: usize,
    rings: [Ring; 3],
}

/// A purpose that grew: by how much, since when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grown {
    pub purpose: usize,
    pub from: u64,
    pub to: u64,
    pub since: Duration,
}

impl Growth {
    pub fn new(purposes: usize) -> Growth {
        let ring = || Ring { step: 0, filling: vec![0; purposes], past: VecDeque::new() };
        Growth { purposes, rings: [ring(), ring(), ring()] }
    }

    /// Takes what is held by each purpose now.
    pub fn see(&mut self, now: Duration, held: &[u64]) {
        for (ring, (span, most)) in self.rings.iter_mut().zip(RINGS) {
            let step = now.as_millis() as u64 / span.as_millis() as u64;
            if step != ring.step {
                let filled = std::mem::replace(&mut ring.filling, vec![0; self.purposes]);
                if ring.step > 0 {
                    ring.past.push_back((ring.step, filled));
                }
                while ring.past.len() > most {
                    ring.past.pop_front();
                }
                ring.step = step;
            }
            for (most, held) in ring.filling.iter_mut().zip(held) {
                *most = (*most).max(*held);
            }
        }
    }

    /// Bytes that this takes at the most, whatever happens.
    pub fn bound(&self) -> usize {
        let steps: usize = RINGS.iter().map(|(_, most)| most + 2).sum();
        steps * (self.purposes * 8 + 48)
    }

    /// One purpose over time, at the finest that is kept of each time: when, and the greatest then.
    pub fn series(&self, purpose: usize) -> Vec<(Duration, u64)> {
        let mut all = Vec::new();
        for (ring, (span, _)) in self.rings.iter().zip(RINGS).rev() {
            let finer = ring.past.iter().map(|(step, held)| (span * *step as u32, held[purpose]));
            let finer: Vec<_> = finer.collect();
            if let Some((first, _)) = finer.first() {
                all.retain(|(at, _): &(Duration, u64)| at < first);
            }
            all.extend(finer);
        }
        all
    }

    /// The purposes that hold more than at the start of the window, the greatest growth first; each with the
    /// last time at which it held no more than then.
    pub fn grown(&self, now: Duration, window: Duration, least: u64) -> Vec<Grown> {
        let from = now.saturating_sub(window);
        let mut all = Vec::new();
        for purpose in 0..self.purposes {
            let series = self.series(purpose);
            let inside: Vec<_> = series.iter().filter(|(at, _)| *at >= from).collect();
            let (Some((start, first)), Some((_, last))) = (inside.first(), inside.last()) else { continue };
            if last.saturating_sub(*first) < least.max(1) {
                continue;
            }
            let since = inside.iter().rev().find(|(_, held)| held <= first).map_or(*start, |(at, _)| *at);
            all.push(Grown { purpose, from: *first, to: *last, since });
        }
        all.sort_by_key(|grown| std::cmp::Reverse(grown.to - grown.from));
        all
    }
}
