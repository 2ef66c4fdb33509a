use super::{RateLimited, INTERVAL};
use std::io::Write;
use std::sync::Mutex;
use tracing_subscriber::fmt::writer::MakeWriter;

#[test]
fn limits_lines_per_interval_and_counts_omitted_ones() {
    let log = RateLimited::new(Mutex::new(Vec::new()), 3);
    (0..100).for_each(|line| writeln!(log.make_writer(), "line {line}").unwrap());
    assert_eq!(*log.inner.lock().unwrap(), b"line 0\nline 1\nline 2\n");
    log.count.lock().unwrap().started_at -= INTERVAL;
    writeln!(log.make_writer(), "next").unwrap();
    let text = String::from_utf8(log.inner.lock().unwrap().clone()).unwrap();
    assert!(text.ends_with("line 2\nlog: 97 lines left out in a second\nnext\n"), "{text}");
}
