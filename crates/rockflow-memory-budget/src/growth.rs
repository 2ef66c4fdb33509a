//! The use of each purpose over the last two days, in a fixed number of bytes: in steps of seconds for the last
//! minutes, of a minute for the last hours, and of half an hour before that. Each step keeps the greatest use in it.

use std::collections::VecDeque;
use std::time::Duration;

/// The length of a step of each ring, and the number of past steps that it keeps: ten minutes, four hours, two days.
const RINGS: [(Duration, usize); 3] =
    [(Duration::from_secs(5), 120), (Duration::from_secs(60), 240), (Duration::from_secs(1800), 96)];

#[derive(Clone, Debug, Default)]
struct Ring {
    /// The number of the current step: its start divided by the length of a step.
    current_step: u64,
    /// By purpose: the greatest use in the current step.
    current_peaks: Vec<u64>,
    /// The completed steps, the oldest first: the number of the step, and the greatest use by purpose.
    past: VecDeque<(u64, Vec<u64>)>,
}

/// The recorded use of all purposes.
#[derive(Clone, Debug)]
pub struct Growth {
    purpose_count: usize,
    rings: [Ring; 3],
}

/// The use of a purpose in one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageSample {
    /// The start of the step.
    pub at: Duration,
    /// The greatest use in the step.
    pub peak: u64,
}

/// A purpose that grew within a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrownPurpose {
    /// The index of the purpose.
    pub purpose: usize,
    /// Its use at the start of the window.
    pub from: u64,
    /// Its use at the end of the window.
    pub to: u64,
    /// The last time at which its use did not exceed `from`.
    pub since: Duration,
}

impl Growth {
    pub fn new(purpose_count: usize) -> Growth {
        let ring = || Ring { current_step: 0, current_peaks: vec![0; purpose_count], past: VecDeque::new() };
        Growth { purpose_count, rings: [ring(), ring(), ring()] }
    }

    /// Records the present use, by purpose. `now` may not decrease from call to call.
    pub fn record(&mut self, now: Duration, held: &[u64]) {
        for (ring, (step_length, max_steps)) in self.rings.iter_mut().zip(RINGS) {
            let step = now.as_millis() as u64 / step_length.as_millis() as u64;
            if step != ring.current_step {
                let peaks = std::mem::replace(&mut ring.current_peaks, vec![0; self.purpose_count]);
                if ring.current_step > 0 {
                    ring.past.push_back((ring.current_step, peaks));
                }
                while ring.past.len() > max_steps {
                    ring.past.pop_front();
                }
                ring.current_step = step;
            }
            for (peak, held) in ring.current_peaks.iter_mut().zip(held) {
                *peak = (*peak).max(*held);
            }
        }
    }

    /// The upper bound of the bytes that the rings take.
    pub fn max_bytes(&self) -> usize {
        let steps: usize = RINGS.iter().map(|(_, max_steps)| max_steps + 2).sum();
        steps * (self.purpose_count * 8 + 48)
    }

    /// The completed steps of one purpose, the oldest first. Where rings overlap, the one with the shortest steps
    /// counts.
    pub fn series(&self, purpose: usize) -> Vec<UsageSample> {
        let mut samples: Vec<UsageSample> = Vec::new();
        for (ring, (step_length, _)) in self.rings.iter().zip(RINGS).rev() {
            let sample = |(step, peaks): &(u64, Vec<u64>)| UsageSample {
                at: step_length * *step as u32,
                peak: peaks[purpose],
            };
            let finer: Vec<_> = ring.past.iter().map(sample).collect();
            if let Some(first) = finer.first() {
                samples.retain(|sample| sample.at < first.at);
            }
            samples.extend(finer);
        }
        samples
    }

    /// The purposes whose use grew by at least `min_growth`, and by at least 1, within the window that ends now. The
    /// greatest growth comes first.
    pub fn grown(&self, now: Duration, window: Duration, min_growth: u64) -> Vec<GrownPurpose> {
        let window_start = now.saturating_sub(window);
        let mut grown = Vec::new();
        for purpose in 0..self.purpose_count {
            let series = self.series(purpose);
            let in_window: Vec<_> = series.iter().filter(|sample| sample.at >= window_start).collect();
            let (Some(first), Some(last)) = (in_window.first(), in_window.last()) else { continue };
            if last.peak.saturating_sub(first.peak) < min_growth.max(1) {
                continue;
            }
            let last_low = in_window.iter().rev().find(|sample| sample.peak <= first.peak);
            let since = last_low.map_or(first.at, |sample| sample.at);
            grown.push(GrownPurpose { purpose, from: first.peak, to: last.peak, since });
        }
        grown.sort_by_key(|grown| std::cmp::Reverse(grown.to - grown.from));
        grown
    }
}
