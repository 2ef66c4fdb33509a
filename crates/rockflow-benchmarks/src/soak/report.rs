//! The reports of runs: a table over all runs, and timelines of violations.

use super::check::{Rule, Violation};
use super::ledger::{Ledger, RequestEnd};
use super::plan::Plan;
use std::collections::BTreeMap;
use std::time::Duration;

/// A run is starved if a timer of the soak fired later than this, or if the program waited longer for a processor. It
/// is half of the tolerance that the rules add to time limits.
const STARVED_LATENESS: Duration = Duration::from_millis(25);
/// The most timelines in the report of one run.
const MAX_TIMELINES: usize = 3;
/// How long before the first event of a request, and after the violation, a timeline begins and ends.
const LOG_MARGIN: Duration = Duration::from_millis(100);
/// The most lines of the program's log in one timeline.
const MAX_LOG_LINES: usize = 20;
const SECONDS_PER_DAY: f64 = 86_400.0;

/// The results of a run.
pub struct RunReport {
    /// The seed of the run.
    pub seed: u64,
    /// Whether the run had more clients than a third of the descriptors.
    pub is_crowd: bool,
    /// The number of requests whose last byte was written.
    pub requests: usize,
    /// The number of those requests that were sent after the first SIGTERM.
    pub requests_after_term: usize,
    /// The number of requests by the status of their answer, or by how they ended without one.
    pub ends: BTreeMap<String, usize>,
    /// All violations, in the order in which they were found.
    pub violations: Vec<Violation>,
    /// The timelines of the first violations, at most three.
    pub timelines: Vec<String>,
    /// The longest delay of a timer of the soak itself, which shows how far its own measurements can be wrong.
    pub max_lateness: Duration,
    /// The longest time for which the program had a health check to answer and hardly got any processor time.
    pub longest_starvation: Duration,
    /// When the program exited by itself, counted from the first SIGTERM; `None` if it had to be killed.
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
        let first_violations = ledger.violations.iter().take(MAX_TIMELINES);
        RunReport {
            seed: plan.seed,
            is_crowd: plan.is_crowd,
            requests: ledger.requests.len(),
            requests_after_term: ledger.requests.values().filter(|request| request.is_after_term).count(),
            ends,
            violations: ledger.violations.clone(),
            timelines: first_violations.map(|violation| timeline(plan, ledger, log, violation)).collect(),
            max_lateness: ledger.max_lateness,
            longest_starvation: ledger.longest_starvation,
            ended_after,
        }
    }

    /// Whether the soak or the program got too little processor time for the time limits to be conclusive.
    pub fn is_starved(&self) -> bool {
        self.max_lateness.max(self.longest_starvation) > STARVED_LATENESS
    }

    /// Whether the run has found a violation of the rule.
    pub fn has_violation(&self, rule: Rule) -> bool {
        self.violations.iter().any(|violation| violation.rule == rule)
    }
}

/// The timeline of a violation: what client, hosts, discovery, signals and the program's log recorded about it, in the
/// order of time. Events of other requests are left out.
fn timeline(plan: &Plan, ledger: &Ledger, log: &str, violation: &Violation) -> String {
    let is_shown = |request: &Option<u64>| request.is_none() || *request == violation.request;
    let events = ledger.events.iter().filter(|event| is_shown(&event.request));
    let mut lines: Vec<(Duration, String)> = events
        .map(|event| (event.at.saturating_duration_since(ledger.started_at), event.text.clone()))
        .collect();
    let request_events = ledger
        .events
        .iter()
        .filter(|event| violation.request.is_some() && event.request == violation.request);
    let first = request_events.map(|event| event.at.saturating_duration_since(ledger.started_at)).min();
    let first = first.unwrap_or(violation.at).min(violation.at).saturating_sub(LOG_MARGIN);
    let window = first..violation.at + LOG_MARGIN;
    lines.retain(|(at, _)| window.contains(at));
    let log_lines =
        log.lines().filter_map(|line| Some((log_time(line, ledger.started_unix)?, format!("log: {line}"))));
    lines.extend(log_lines.filter(|(at, _)| window.contains(at)).take(MAX_LOG_LINES));
    lines.sort_by_key(|(at, _)| *at);
    let heading = format!(
        "seed {} {:?} {:016x}: {}\n",
        plan.seed,
        violation.rule,
        violation.request.unwrap_or(0),
        violation.detail
    );
    lines.iter().fold(heading, |text, (at, line)| format!("{text}  {:9.4} {line}\n", at.as_secs_f64()))
}

/// The time of a log line, counted from the start of the run, whose Unix time is `started_unix`; `None` if the line has
/// no time. A log line holds the time of day in its bytes 11 to 25.
fn log_time(line: &str, started_unix: Duration) -> Option<Duration> {
    let mut parts = line.get(11..26)?.split(':');
    let mut part = || parts.next()?.parse::<f64>().ok();
    let second_of_day = part()? * 3600.0 + part()? * 60.0 + part()?;
    let since_start = second_of_day - started_unix.as_secs_f64() % SECONDS_PER_DAY;
    Some(Duration::from_secs_f64(since_start.rem_euclid(SECONDS_PER_DAY)))
}

/// Prints the timelines of the runs, a table with a row for each kind of run, and the seeds with violations.
pub fn print_table(reports: &[RunReport]) {
    for line in reports.iter().flat_map(|report| &report.timelines) {
        println!("{line}");
    }
    println!("| runs | kind | requests | after SIGTERM | ends | violations | latest exit |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (name, is_starved, is_crowd) in [
        ("in time", false, false),
        ("in time, crowd", false, true),
        ("starved", true, false),
        ("starved, crowd", true, true),
    ] {
        let is_in_row =
            |report: &&RunReport| report.is_starved() == is_starved && report.is_crowd == is_crowd;
        print_row(name, &reports.iter().filter(is_in_row).collect::<Vec<_>>());
    }
    let has_violations = |report: &&RunReport| !report.violations.is_empty();
    let seeds: Vec<_> = reports.iter().filter(has_violations).map(|report| report.seed.to_string()).collect();
    println!(
        "seeds with violations: {}",
        if seeds.is_empty() { "none".to_string() } else { seeds.join(" ") }
    );
}

/// Prints the row of the table for runs of one kind.
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
    let latest_exit = reports.iter().filter_map(|report| report.ended_after).max().unwrap_or_default();
    println!(
        "| {} | {name} | {requests} | {after_term} | {} | {} | {:.2} s |",
        reports.len(),
        join(ends.iter().map(|(kind, count)| format!("{kind} {count}"))),
        join(rules.iter().map(|(rule, count)| format!("{rule} {count}"))),
        latest_exit.as_secs_f64()
    );
}

/// Joins parts by commas; `none` if there are no parts.
fn join(parts: impl Iterator<Item = String>) -> String {
    let parts: Vec<_> = parts.collect();
    if parts.is_empty() {
        return "none".to_string();
    }
    parts.join(", ")
}
