//! Bytes over sliding minutes, as the bandwidth limit applies to the mean of any minute.

use rockflow_process_harness::datagrams::TrafficCounts;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Length of the sliding window.
pub const MINUTE: Duration = Duration::from_secs(60);

/// The greatest minute of a member, in bytes a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Greatest {
    /// Bytes a second sent.
    pub out: f64,
    /// Bytes a second received.
    pub back: f64,
    /// When the minute with the most bytes out was over, since the first sample.
    pub at: Duration,
    /// Frames out a second in it.
    pub frames: f64,
    /// Members that followed it then.
    pub children: usize,
}

/// What was counted from a second to the next, over the last minute.
#[derive(Debug, Default)]
pub struct Minutes {
    samples: VecDeque<(Instant, Vec<TrafficCounts>)>,
    began: Option<Instant>,
    /// By place in the proxy: while nothing was at fault, and over all.
    pub ordinary: Vec<Greatest>,
    /// Largest minutes of the whole run, by member.
    pub whole: Vec<Greatest>,
}

impl Minutes {
    /// What is carried by now; `children` says how many follow a place.
    pub fn take(
        &mut self,
        now: Instant,
        carried: Vec<TrafficCounts>,
        ordinary: bool,
        children: impl Fn(usize) -> usize,
    ) {
        let began = *self.began.get_or_insert(now);
        self.whole.resize(carried.len(), Greatest::default());
        self.ordinary.resize(carried.len(), Greatest::default());
        // The last one that is a minute ago or longer stays.
        while self.samples.get(1).is_some_and(|(at, _)| now.saturating_duration_since(*at) >= MINUTE) {
            self.samples.pop_front();
        }
        if let Some((at, before)) = self.samples.front() {
            let span = now.saturating_duration_since(*at);
            if span >= MINUTE {
                for (place, (now_here, then)) in carried.iter().zip(before).enumerate() {
                    let rate = |now: u64, then: u64| now.saturating_sub(then) as f64 / span.as_secs_f64();
                    let out = rate(now_here.bytes_out, then.bytes_out);
                    let back = rate(now_here.bytes_in, then.bytes_in);
                    let spans = [Some(&mut self.whole[place]), ordinary.then_some(&mut self.ordinary[place])];
                    for greatest in spans.into_iter().flatten() {
                        greatest.back = greatest.back.max(back);
                        if out > greatest.out {
                            greatest.out = out;
                            greatest.at = now.saturating_duration_since(began);
                            greatest.frames = rate(now_here.frames_out, then.frames_out);
                            greatest.children = children(place);
                        }
                    }
                }
            }
        }
        self.samples.push_back((now, carried));
    }
}
