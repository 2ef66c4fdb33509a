//! Incremental reading and parsing of process logs.

use rockflow_dissemination::Purge;
use std::collections::BTreeMap;
use std::io::{Read, Seek, SeekFrom};
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime};
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;

/// An entry that control says is in force everywhere.
#[derive(Clone, Debug, PartialEq)]
pub struct ConvergenceReport {
    /// Which control node says so, and whose stream it is.
    pub by: usize,
    /// Control node whose stream it is.
    pub control: usize,
    /// Whether it is the stream of purges; otherwise that of settings.
    pub purges: bool,
    /// Sequence number in the stream.
    pub number: u64,
    /// From publication to convergence, as logged.
    pub after: Duration,
    /// When the line was read.
    pub read: Instant,
}

/// One log, read from where it was read to before.
pub struct Tail {
    path: PathBuf,
    at: u64,
    rest: String,
}

impl Tail {
    /// Starts at the beginning of the file, which need not exist yet.
    pub fn new(path: PathBuf) -> Tail {
        Tail { path, at: 0, rest: String::new() }
    }

    /// The whole lines that are new, each with its end.
    pub fn read(&mut self) -> String {
        let mut new = Vec::new();
        let read = std::fs::File::open(&self.path).and_then(|mut file| {
            file.seek(SeekFrom::Start(self.at))?;
            file.read_to_end(&mut new)
        });
        let Ok(read) = read else { return String::new() };
        self.at += read as u64;
        self.rest += &String::from_utf8_lossy(&new);
        let Some(end) = self.rest.rfind('\n') else { return String::new() };
        let rest = self.rest.split_off(end + 1);
        std::mem::replace(&mut self.rest, rest)
    }
}

fn fields(line: &str) -> BTreeMap<&str, &str> {
    line.split_whitespace().filter_map(|word| word.split_once('=')).collect()
}

/// When a line was logged. Both clocks are this machine's.
fn logged(line: &str) -> Option<Instant> {
    let at = OffsetDateTime::parse(line.split_whitespace().next()?, &Rfc3339).ok()?;
    // A clock that was set meanwhile makes a line of now of one that is not yet.
    let ago = SystemTime::now().duration_since(at.into()).unwrap_or_default();
    Instant::now().checked_sub(ago)
}

/// What a dispatcher goes by from then on, by its own word.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Purges, each with its age.
    Purges(Vec<(Purge, Duration)>),
    /// Changes, by their hosts.
    Changes(Vec<String>),
}

/// A line of a dispatcher's log, at its level `debug`.
pub fn effect(line: &str) -> Option<(Instant, Effect)> {
    let list = |name: &str| -> Option<Vec<String>> {
        let named = fields(line).get(name).copied()?;
        Some(named.split(',').filter(|word| !word.is_empty()).map(str::to_string).collect())
    };
    if line.contains(" marks in effect ") {
        return Some((logged(line)?, Effect::Changes(list("hosts")?)));
    }
    if !line.contains(" purges in effect ") {
        return None;
    }
    let object = |word: String| Some((Purge::object(u64::from_str_radix(&word, 16).ok()?), Duration::ZERO));
    let mut purges: Vec<_> = list("objects")?.into_iter().map(object).collect::<Option<_>>()?;
    if let Some(seconds) = fields(line).get("wider_seconds") {
        purges.push((Purge::Everything, Duration::try_from_secs_f64(seconds.parse().ok()?).ok()?));
    }
    Some((logged(line)?, Effect::Purges(purges)))
}

/// A line `everywhere` of control's log.
pub fn parse_convergence_report(by: usize, line: &str) -> Option<ConvergenceReport> {
    if !line.contains(" everywhere ") && !line.ends_with(" everywhere") {
        return None;
    }
    let fields = fields(line);
    let number = |name: &str| fields.get(name)?.parse::<u64>().ok();
    Some(ConvergenceReport {
        by,
        control: number("control")? as usize,
        purges: *fields.get("kind")? == "Purges",
        number: number("number")?,
        after: Duration::try_from_secs_f64(fields.get("seconds")?.parse().ok()?).ok()?,
        read: Instant::now(),
    })
}
