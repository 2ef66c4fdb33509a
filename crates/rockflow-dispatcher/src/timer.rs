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
pub const LONGEST: u64 = 1 << 22;

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
