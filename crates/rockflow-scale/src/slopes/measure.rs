//! Measurement of processor time and heap memory.

use std::hint::black_box;
use std::time::Duration;

/// Batches of which the least counts, and the least time that one of them lasts.
const BATCHES: usize = 9;
const MIN_BATCH: Duration = Duration::from_millis(10);

/// The processor time of this thread: what others take of the machine is not in it.
pub fn processor() -> Duration {
    let mut time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: it writes to the place that it is given.
    let done = unsafe { libc::clock_gettime(libc::CLOCK_THREAD_CPUTIME_ID, &mut time) };
    assert_eq!(done, 0, "every thread has a clock of its processor time");
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Nanoseconds of processor time that one call takes: the least of several batches, as all that disturbs adds to it.
pub fn nanoseconds<T>(mut call: impl FnMut() -> T) -> f64 {
    let mut calls = 1u32;
    while batch(calls, &mut call) < MIN_BATCH && calls < 1 << 24 {
        calls *= 2;
    }
    let times = (0..BATCHES).map(|_| batch(calls, &mut call).as_secs_f64() * 1e9 / f64::from(calls));
    times.fold(f64::INFINITY, f64::min)
}

fn batch<T>(calls: u32, call: &mut impl FnMut() -> T) -> Duration {
    let start = processor();
    for _ in 0..calls {
        black_box(call());
    }
    processor() - start
}

/// Bytes in use on the heap, as the C library's allocator counts them (`mallinfo2`: with its own heads, and with
/// blocks that are mapped alone). It costs the measured code nothing.
pub fn heap() -> f64 {
    // SAFETY: it takes nothing and gives a value.
    let held = unsafe { libc::mallinfo2() };
    (held.uordblks + held.hblkhd) as f64
}

/// Heap bytes that one value holds: the mean of so many, held at once.
pub fn bytes_of<T>(copies: usize, mut make: impl FnMut(usize) -> T) -> f64 {
    // One is made first and dropped, so that what is made once for all is not counted.
    drop(make(0));
    let mut held = Vec::with_capacity(copies);
    let before = heap();
    (0..copies).for_each(|copy| held.push(make(copy)));
    let after = heap();
    black_box(&held);
    (after - before) / copies as f64
}
