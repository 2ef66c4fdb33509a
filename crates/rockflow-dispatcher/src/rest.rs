//! Every wait of the dispatcher's coroutines for a time.
//!
//! Guards against two faults of `may`'s timers. A park is cut to whole milliseconds, and 0 is for ever. And timers
//! are kept in a queue for each length of wait; past 1,024 lengths an empty queue is freed while the last timer
//! in it may still be known to the coroutine that it woke. What that coroutine then takes back is whatever stands
//! in that memory by then, as a rule another's timer, and that one sleeps for ever. So no more than some three
//! hundred lengths are ever used: a wait is made of pieces.

use may::coroutine;
use std::time::{Duration, Instant};

/// Lengths are whole milliseconds with so many leading binary digits, the rest zero.
const DIGITS: u32 = 5;
/// The longest piece.
const LONGEST: u64 = 1 << 22;

/// The length of the next piece of a wait: never none, and never more than the wait but for its last millisecond.
pub fn piece(wait: Duration) -> Duration {
    let up = wait.as_nanos().div_ceil(1_000_000).clamp(1, u128::from(LONGEST)) as u64;
    let dropped = (u64::BITS - up.leading_zeros()).saturating_sub(DIGITS);
    Duration::from_millis(up >> dropped << dropped)
}

/// Parks until it is woken or a part of the wait has passed; whoever parks looks at the time anyway.
pub fn park(wait: Duration) {
    coroutine::park_timeout(piece(wait));
}

/// Sleeps for the whole of it.
pub fn sleep(wait: Duration) {
    let start = Instant::now();
    while let Some(left) = wait.checked_sub(start.elapsed()).filter(|left| !left.is_zero()) {
        coroutine::sleep(piece(left));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeSet;
    use std::sync::mpsc;

    #[test]
    fn waits_are_made_of_few_lengths_and_come_out_whole() {
        let mut lengths = BTreeSet::new();
        for ms in (1..20_000).chain((20_000..LONGEST * 3).step_by(997)) {
            for wait in [Duration::from_millis(ms), Duration::from_micros(ms * 37 + 1)] {
                let first = piece(wait);
                assert!(first >= Duration::from_millis(1) && first < wait + Duration::from_millis(1));
                assert!(first * 17 >= wait * 16 || first == Duration::from_millis(LONGEST), "{wait:?}");
                lengths.insert(first);
            }
        }
        assert!(lengths.len() <= 512, "{}", lengths.len());
        assert_eq!(piece(Duration::ZERO), Duration::from_millis(1));
    }

    /// Fails where each wait is a length of its own: sleepers are left behind, or the process dies of it.
    #[test]
    fn nobody_sleeps_for_ever_among_thousands_of_waits() {
        may::config().set_workers(1).set_stack_size(0x2000);
        let (done, ended) = mpsc::channel();
        for n in 0..3000 {
            let done = done.clone();
            may::go!(move || {
                let until = Instant::now() + Duration::from_millis(200 + n);
                while let Some(left) = until.checked_duration_since(Instant::now()) {
                    park(left);
                }
                done.send(()).unwrap();
            });
        }
        for n in 0..300 {
            let done = done.clone();
            may::go!(move || {
                (0..100).for_each(|round| sleep(Duration::from_millis(5 + (n + round) % 40)));
                done.send(()).unwrap();
            });
        }
        for n in 0..3300 {
            ended.recv_timeout(Duration::from_secs(20)).unwrap_or_else(|_| panic!("{n} of 3300 woke"));
        }
    }
}
