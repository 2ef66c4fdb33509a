//! What came of runs: the table, and a time line for each violation.

use super::check::{Rule, Violation};
use super::ledger::{Ledger, RequestEnd};
use super::plan::Plan;
use std::collections::BTreeMap;
use std::time::Duration;

/// A rig whose own clock was later than this is starved, and so is a program that waited longer for a processor: half of
/// the slack that the rules leave.
const STARVED_LATENESS: Duration = Duration::from_millis(25);
/// Time lines of one run.
const MAX_TIMELINES: usize = 3;
/// The log is shown from so long before the first moment to so long behind the last.
const LOG_MARGIN: Duration = Duration::from_millis(100);
const MAX_LOG_LINES: usize = 20;
const SECONDS_PER_DAY: f64 = 86_400.0;

/// What came of a run.
pub struct RunReport {
    /// Its seed.
    pub seed: u64,
    /// Whether it had more connections than a third of the descriptors.
    pub is_crowd: bool,
    /// Requests whose last byte was written.
    pub requests: usize,
    /// Of these, after the first SIGTERM.
    pub requests_after_term: usize,
    /// How requests ended, by status or kind.
    pub ends: BTreeMap<String, usize>,
    /// The rules that were broken.
    pub violations: Vec<Violation>,
    /// The time lines of the first of them.
    pub timelines: Vec<String>,
    /// How late the rig's own clock was at worst.
    pub max_lateness: Duration,
    /// The longest that the program had something to answer and was given no processor.
    pub longest_starvation: Duration,
    /// When the program ended by itself, counted from the first SIGTERM.
    pub ended_after: Option<Duration>,
}

impl RunReport {
    pub(super) fn new(plan: &Plan, ledger: &Ledger, log: &str, ended_after: Option<Duration>) -> RunReport {
        let mut ends = BTreeMap::new();
        for request in ledger.requests.values() {
            let kind = match &request.end {
                Some(RequestEnd::Answered(status)) => status.to_string(),
                Some(end) => format!("{end:?}"),
                None => "none".to_string(),
            };
            *ends.entry(kind).or_insert(0) += 1;
        }
        let shown = ledger.violations.iter().take(MAX_TIMELINES);
        RunReport {
            seed: plan.seed,
            is_crowd: plan.is_crowd,
            requests: ledger.requests.len(),
            requests_after_term: ledger.requests.values().filter(|request| request.is_after_term).count(),
            ends,
            violations: ledger.violations.clone(),
            timelines: shown.map(|violation| timeline(plan, ledger, log, violation)).collect(),
            max_lateness: ledger.max_lateness,
            longest_starvation: ledger.longest_starvation,
            ended_after,
        }
    }

    /// Whether the machine left the rig, or the program, too little of its processors to judge the program by its times.
    pub fn is_starved(&self) -> bool {
        self.max_lateness.max(self.longest_starvation) > STARVED_LATENESS
    }

    /// Whether a rule was broken.
    pub fn has_violation(&self, rule: Rule) -> bool {
        self.violations.iter().any(|violation| violation.rule == rule)
    }
}

/// One line of what client, hosts, signals and the program's log say of a violation, in the order of time.
fn timeline(plan: &Plan, ledger: &Ledger, log: &str, violation: &Violation) -> String {
    let is_shown = |request: &Option<u64>| request.is_none() || *request == violation.request;
    let events = ledger.events.iter().filter(|event| is_shown(&event.request));
    let mut lines: Vec<(Duration, String)> = events
        .map(|event| (event.at.saturating_duration_since(ledger.started_at), event.text.clone()))
        .collect();
    let about = ledger
        .events
        .iter()
        .filter(|event| violation.request.is_some() && event.request == violation.request);
    let first = about.map(|event| event.at.saturating_duration_since(ledger.started_at)).min();
    let first = first.unwrap_or(violation.at).min(violation.at).saturating_sub(LOG_MARGIN);
    let window = first..violation.at + LOG_MARGIN;
    lines.retain(|(at, _)| window.contains(at));
    let logged =
        log.lines().filter_map(|line| Some((log_time(line, ledger.started_unix)?, format!("log: {line}"))));
    lines.extend(logged.filter(|(at, _)| window.contains(at)).take(MAX_LOG_LINES));
    lines.sort_by_key(|(at, _)| *at);
    let head = format!(
        "seed {} {:?} {:016x}: {}\n",
        plan.seed,
        violation.rule,
        violation.request.unwrap_or(0),
        violation.detail
    );
    lines.iter().fold(head, |text, (at, line)| format!("{text}  {:9.4} {line}\n", at.as_secs_f64()))
}

/// When a line was logged, counted from the start of the run.
fn log_time(line: &str, started: Duration) -> Option<Duration> {
    let mut parts = line.get(11..26)?.split(':');
    let mut part = || parts.next()?.parse::<f64>().ok();
    let second_of_day = part()? * 3600.0 + part()? * 60.0 + part()?;
    let since = second_of_day - started.as_secs_f64() % SECONDS_PER_DAY;
    Some(Duration::from_secs_f64(since.rem_euclid(SECONDS_PER_DAY)))
}

/// Prints the time lines and the table of some runs.
pub fn print_table(reports: &[RunReport]) {
    for line in reports.iter().flat_map(|report| &report.timelines) {
        println!("{line}");
    }
    println!("| runs | of these | requests | after SIGTERM | ends | violations | latest end |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (name, is_starved, is_crowd) in [
        ("in time", false, false),
        ("in time, crowd", false, true),
        ("starved", true, false),
        ("starved, crowd", true, true),
    ] {
        let belongs = |report: &&RunReport| report.is_starved() == is_starved && report.is_crowd == is_crowd;
        print_row(name, &reports.iter().filter(belongs).collect::<Vec<_>>());
    }
    let is_broken = |report: &&RunReport| !report.violations.is_empty();
    let broken: Vec<_> = reports.iter().filter(is_broken).map(|report| report.seed.to_string()).collect();
    println!(
        "seeds with violations: {}",
        if broken.is_empty() { "none".to_string() } else { broken.join(" ") }
    );
}

fn print_row(name: &str, reports: &[&RunReport]) {
    let mut ends: BTreeMap<&str, usize> = BTreeMap::new();
    let mut rules: BTreeMap<String, usize> = BTreeMap::new();
    for report in reports {
        report.ends.iter().for_each(|(kind, count)| *ends.entry(kind).or_default() += count);
        for violation in &report.violations {
            *rules.entry(format!("{:?}", violation.rule)).or_default() += 1;
        }
    }
    let requests: usize = reports.iter().map(|report| report.requests).sum();
    let after_term: usize = reports.iter().map(|report| report.requests_after_term).sum();
    let latest = reports.iter().filter_map(|report| report.ended_after).max().unwrap_or_default();
    println!(
        "| {} | {name} | {requests} | {after_term} | {} | {} | {:.2} s |",
        reports.len(),
        join(ends.iter().map(|(kind, count)| format!("{kind} {count}"))),
        join(rules.iter().map(|(rule, count)| format!("{rule} {count}"))),
        latest.as_secs_f64()
    );
}

fn join(parts: impl Iterator<Item = String>) -> String {
    let parts: Vec<_> = parts.collect();
    if parts.is_empty() {
        return "none".to_string();
    }
    parts.join(", ")
}
