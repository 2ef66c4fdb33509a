//! Bounds the log: so many lines a second at most, whatever peers send, and a line that counts the rest.

use std::io::Write;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use tracing_subscriber::fmt::writer::{MakeWriter, OptionalWriter};

/// Enough for every host of a large list to be named at once.
pub const MAX_LINES: usize = 500;
const SPAN: Duration = Duration::from_secs(1);

struct Count {
    since: Instant,
    lines: usize,
}

pub struct Bounded<M> {
    log: M,
    most: usize,
    count: Mutex<Count>,
}

impl<M> Bounded<M> {
    pub fn new(log: M, most: usize) -> Self {
        Bounded { log, most, count: Mutex::new(Count { since: Instant::now(), lines: 0 }) }
    }
}

impl<'a, M: MakeWriter<'a>> MakeWriter<'a> for Bounded<M> {
    type Writer = OptionalWriter<M::Writer>;

    fn make_writer(&'a self) -> Self::Writer {
        let mut count = self.count.lock().unwrap_or_else(PoisonError::into_inner);
        if count.since.elapsed() >= SPAN {
            let left_out = count.lines.saturating_sub(self.most);
            if left_out > 0 {
                let _ = writeln!(self.log.make_writer(), "log: {left_out} lines left out in a second");
            }
            *count = Count { since: Instant::now(), lines: 0 };
        }
        count.lines += 1;
        if count.lines > self.most {
            return OptionalWriter::none();
        }
        OptionalWriter::some(self.log.make_writer())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_flood_of_lines_is_cut_and_counted() {
        let bounded = Bounded::new(Mutex::new(Vec::new()), 3);
        (0..100).for_each(|line| writeln!(bounded.make_writer(), "line {line}").unwrap());
        assert_eq!(*bounded.log.lock().unwrap(), b"line 0\nline 1\nline 2\n");
        bounded.count.lock().unwrap().since -= SPAN;
        writeln!(bounded.make_writer(), "next").unwrap();
        let text = String::from_utf8(bounded.log.lock().unwrap().clone()).unwrap();
        assert!(text.ends_with("line 2\nlog: 97 lines left out in a second\nnext\n"), "{text}");
    }
}
