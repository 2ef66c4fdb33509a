//! The program's log on standard error. A separate thread writes it, and the number of lines per second is limited, so
//! that peers can't flood it.

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

/// Maximum number of lines that wait for standard error to accept them; further lines are dropped.
const MAX_BUFFERED_LINES: usize = 4096;
/// Maximum number of lines written in one interval. It suffices for a line for each host of a large endpoint list.
const MAX_LINES_PER_INTERVAL: usize = 500;
/// Length of the intervals in which lines are counted.
const INTERVAL: Duration = Duration::from_secs(1);

/// Changes the level of the running log.
pub type LevelHandle = reload::Handle<LevelFilter, Registry>;

/// Starts the log. Lines are written by a separate thread, so that no coroutine blocks while standard error does.
///
/// Dropping the guard writes the remaining lines and ends the log.
///
/// # Panics
/// If a global subscriber is already set.
pub fn init(level: tracing::Level) -> (WorkerGuard, LevelHandle) {
    let builder = NonBlockingBuilder::default().buffered_lines_limit(MAX_BUFFERED_LINES);
    let (writer, guard) = builder.finish(std::io::stderr());
    let writer = RateLimited::new(writer, MAX_LINES_PER_INTERVAL);
    let (filter, level_handle) = reload::Layer::new(LevelFilter::from_level(level));
    registry().with(filter).with(fmt::layer().with_writer(writer).with_ansi(false)).init();
    (guard, level_handle)
}

/// Passes on up to `max_lines` lines in each interval, and drops and counts the others.
///
/// If lines were dropped, a line with their number precedes the first line of the next interval.
struct RateLimited<M> {
    inner: M,
    max_lines: usize,
    count: Mutex<LineCount>,
}

/// Counts the lines of the current interval, including dropped ones.
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
