//! The program's log on standard error: written from a thread of its own, and limited to a number of lines a second
//! whatever peers send.

#[cfg(test)]
mod tests;

use std::io::Write;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::LevelFilter;
use tracing_subscriber::fmt::writer::{MakeWriter, OptionalWriter};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{fmt, registry, reload, Registry};

/// Lines that wait for the reader of the log; further ones are dropped.
const MAX_BUFFERED_LINES: usize = 4096;
/// Lines written in one interval. Enough to name every host of a large endpoint list at once.
const MAX_LINES_PER_INTERVAL: usize = 500;
/// Length of the interval over which lines are counted.
const INTERVAL: Duration = Duration::from_secs(1);

/// Sets the level of the running log.
pub type LevelHandle = reload::Handle<LevelFilter, Registry>;

/// Starts the log. Lines are written by another thread, so that no coroutine waits for the reader of the log.
///
/// The log ends when the guard is dropped.
///
/// # Panics
/// A global subscriber is set already.
pub fn init(level: tracing::Level) -> (WorkerGuard, LevelHandle) {
    let builder = NonBlockingBuilder::default().buffered_lines_limit(MAX_BUFFERED_LINES);
    let (writer, guard) = builder.finish(std::io::stderr());
    let writer = RateLimited::new(writer, MAX_LINES_PER_INTERVAL);
    let (filter, level_handle) = reload::Layer::new(LevelFilter::from_level(level));
    registry().with(filter).with(fmt::layer().with_writer(writer).with_ansi(false)).init();
    (guard, level_handle)
}

/// Passes on a limited number of lines in each interval, and counts the others.
///
/// The first line of the next interval is preceded by one with the number of lines that were left out.
struct RateLimited<M> {
    inner: M,
    max_lines: usize,
    count: Mutex<LineCount>,
}

/// The lines of the current interval.
struct LineCount {
    started_at: Instant,
    lines: usize,
}

impl LineCount {
    fn new() -> LineCount {
        LineCount { started_at: Instant::now(), lines: 0 }
    }
}

impl<M> RateLimited<M> {
    fn new(inner: M, max_lines: usize) -> Self {
        RateLimited { inner, max_lines, count: Mutex::new(LineCount::new()) }
    }

    fn lock_count(&self) -> MutexGuard<'_, LineCount> {
        self.count.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<'a, M: MakeWriter<'a>> MakeWriter<'a> for RateLimited<M> {
    type Writer = OptionalWriter<M::Writer>;

    fn make_writer(&'a self) -> Self::Writer {
        let mut count = self.lock_count();
        if count.started_at.elapsed() >= INTERVAL {
            let omitted = count.lines.saturating_sub(self.max_lines);
            if omitted > 0 {
                let _ = writeln!(self.inner.make_writer(), "log: {omitted} lines left out in a second");
            }
            *count = LineCount::new();
        }
        count.lines += 1;
        if count.lines > self.max_lines {
            return OptionalWriter::none();
        }
        OptionalWriter::some(self.inner.make_writer())
    }
}
