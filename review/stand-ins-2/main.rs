//! The drivers of the review's cases. `cases NAME RECORD` plays one case and exits with 0 if the rule held, 1 if it was
//! broken and 2 if the case couldn't run.

mod common;
mod fleet;
mod forgotten;
mod host_process;
mod release;
mod rude;

use common::{cannot_run, limit_time, Record};
use std::time::Duration;

/// A case takes 120 s at most.
const LONGEST: Duration = Duration::from_secs(112);

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let (name, path) = match arguments[..] {
        ["hosts", count, bytes] => host_process::run(count.parse().unwrap_or(0), bytes.parse().unwrap_or(0)),
        [name, path] => (name, path),
        _ => cannot_run("usage: cases NAME RECORD"),
    };
    let record = Record::create(path);
    limit_time(LONGEST);
    let held = match name {
        "forgotten" => forgotten::run(&record),
        "rude" => rude::run(&record),
        "fleet" => fleet::run(&record),
        "release" => release::run(&record),
        _ => cannot_run("no such case"),
    };
    record.say(if held { "the rule held" } else { "the rule was broken" });
    std::process::exit(if held { 0 } else { 1 });
}
