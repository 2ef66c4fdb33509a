//! The figures of a run, one line each.

use super::figures::{Member, Rate};
use super::ledger::{Announcement, Waited, CAUSES};
use super::minutes::Greatest;
use super::Found;
use std::time::Instant;

/// One line of the table, which is also one row.
pub struct Line {
    /// Name of the figure.
    pub name: String,
    /// The figure; `None` if there were no samples.
    pub value: Option<f64>,
    /// Unit of the figure.
    pub unit: &'static str,
}

/// Lines in the order of the table.
#[derive(Default)]
struct Lines(Vec<Line>);

impl Lines {
    fn add(&mut self, name: &str, value: Option<f64>, unit: &'static str) {
        self.0.push(Line { name: name.to_string(), value, unit });
    }
}

fn mean(values: impl IntoIterator<Item = f64>) -> Option<f64> {
    let values: Vec<_> = values.into_iter().collect();
    (!values.is_empty()).then(|| values.iter().sum::<f64>() / values.len() as f64)
}

fn worst(values: impl IntoIterator<Item = f64>) -> Option<f64> {
    values.into_iter().reduce(f64::max)
}

/// Median, 99th of a hundred, and worst.
fn three(mut values: Vec<f64>) -> [Option<f64>; 3] {
    values.sort_by(f64::total_cmp);
    let at = |share: f64| {
        let place = ((values.len() as f64 * share).ceil() as usize).clamp(1, values.len().max(1)) - 1;
        values.get(place).copied()
    };
    [at(0.5), at(0.99), at(1.0)]
}

/// When it was in force at the last that nothing held up, by the members themselves, and at those that something did.
fn in_force(lines: &mut Lines, what: &str, when: &str, told: &[&Announcement]) {
    let seconds = |waits: &mut dyn Iterator<Item = Waited>| -> Vec<f64> {
        waits.filter(|waited| waited.count > 0).map(|waited| waited.worst.as_secs_f64()).collect()
    };
    let kinds: [(&str, Vec<f64>); 3] = [
        ("the last", seconds(&mut told.iter().filter_map(|told| told.free()))),
        ("the last real one", seconds(&mut told.iter().map(|told| told.real))),
        ("the last hollow one", seconds(&mut told.iter().map(|told| told.hollow))),
    ];
    for (who, waits) in kinds {
        for (part, value) in ["median", "99th", "worst"].into_iter().zip(three(waits)) {
            lines.add(&format!("{what} in force at {who} that nothing held up, {when}, {part}"), value, "s");
        }
    }
    for (place, cause) in CAUSES.into_iter().enumerate() {
        let waits = seconds(&mut told.iter().map(|told| told.by_cause[place]));
        let count: usize = told.iter().map(|told| told.by_cause[place].count).sum();
        let since = if cause.holds_up() { "since its end" } else { "since it was told" };
        lines.add(&format!("{what} in force, {cause:?}, {since}, {when}, worst"), worst(waits), "s");
        lines.add(&format!("{what} in force, {cause:?}, {when}, how often"), Some(count as f64), "times");
    }
}

/// All figures of a run, in the order of the table.
pub fn lines(found: &Found) -> Vec<Line> {
    let mut lines = Lines::default();
    add_convergence(found, &mut lines);
    add_rates(found, &mut lines);
    add_largest_minutes(found, &mut lines);
    add_resources(found, &mut lines);
    add_ratios(found, &mut lines);
    add_counts(found, &mut lines);
    lines.0
}

/// From publication of purges and changes to their application.
fn add_convergence(found: &Found, lines: &mut Lines) {
    let parts = ["median", "99th", "worst"];
    let ordinary = |read: &Instant| *read < found.faults_from;
    // The purge that the fleet settles by, while members still start, is none of the run's.
    let within = |told: &&Announcement| told.at >= found.began;
    for (what, purges) in [("purge", true), ("change", false)] {
        let said = found.said.iter().filter(|said| said.purges == purges && said.by == said.control);
        let said = said.filter(|said| said.read.checked_sub(said.after).is_some_and(|at| at >= found.began));
        let all: Vec<_> = said.clone().map(|said| said.after.as_secs_f64()).collect();
        let calm: Vec<_> =
            said.filter(|said| ordinary(&said.read)).map(|said| said.after.as_secs_f64()).collect();
        for (part, value) in parts.iter().zip(three(calm)) {
            lines.add(&format!("{what} in force everywhere by control, ordinary, {part}"), value, "s");
        }
        for (part, value) in parts.iter().zip(three(all)) {
            lines.add(&format!("{what} in force everywhere by control, {part}"), value, "s");
        }
        let told = if purges { &found.purges } else { &found.changes };
        let told: Vec<_> = told.iter().filter(within).collect();
        let all = told.iter().filter(|told| told.count >= found.hollow);
        let calm = all.clone().filter(|told| ordinary(&told.at));
        for (part, value) in parts.iter().zip(three(calm.map(|told| told.worst.as_secs_f64()).collect())) {
            lines.add(&format!("{what} in effect at all hollow ones, ordinary, {part}"), value, "s");
        }
        for (when, calm) in [("ordinary", true), ("whole run", false)] {
            let told = told.iter().copied().filter(|told| !calm || ordinary(&told.at));
            in_force(lines, what, when, &told.collect::<Vec<_>>());
        }
        let window = if purges { found.purge_window } else { found.change_window };
        let late = told.iter().filter(|told| told.free().is_some_and(|free| free.worst > window)).count();
        lines.add(
            &format!("{what}s later than allowed at one that nothing held up"),
            Some(late as f64),
            "of all",
        );
        let share = all.count() as f64 / told.len().max(1) as f64;
        lines.add(
            &format!("{what}s in effect at all hollow ones by their entry, share"),
            Some(share),
            "of all",
        );
    }
}

/// Bytes and processor time of members and control nodes.
fn add_rates(found: &Found, lines: &mut Lines) {
    let real: Vec<_> = found.members.iter().filter(|member| member.real).collect();
    let hollow: Vec<_> = found.members.iter().filter(|member| !member.real).collect();
    for (when, rate) in
        [("ordinary", (|m: &Member| m.ordinary) as fn(&Member) -> Rate), ("whole run", |m| m.whole)]
    {
        for (who, members) in [("real", &real), ("hollow", &hollow)] {
            let rates: Vec<_> = members.iter().map(|member| rate(member)).collect();
            lines.add(
                &format!("bytes out, {who}, {when}, mean"),
                mean(rates.iter().map(|rate| rate.out)),
                "B/s",
            );
            lines.add(
                &format!("bytes out, {who}, {when}, worst"),
                worst(rates.iter().map(|rate| rate.out)),
                "B/s",
            );
            lines.add(
                &format!("bytes in, {who}, {when}, mean"),
                mean(rates.iter().map(|rate| rate.back)),
                "B/s",
            );
            lines.add(
                &format!("bytes in, {who}, {when}, worst"),
                worst(rates.iter().map(|rate| rate.back)),
                "B/s",
            );
        }
        let rates: Vec<_> = found.control.iter().map(rate).collect();
        lines.add(
            &format!("bytes out, control, {when}, worst"),
            worst(rates.iter().map(|rate| rate.out)),
            "B/s",
        );
        lines.add(
            &format!("bytes in, control, {when}, worst"),
            worst(rates.iter().map(|rate| rate.back)),
            "B/s",
        );
        let core = |members: &[&Member]| mean(members.iter().filter_map(|member| rate(member).core));
        let bare: Vec<_> = found.bare.iter().collect();
        let (with, without) = (core(&real), core(&bare));
        lines.add(&format!("processor, real with the section, {when}, mean"), with, "of a core");
        lines.add(&format!("processor, real without it, {when}, mean"), without, "of a core");
        let more = with.zip(without).map(|(with, without)| with - without);
        lines.add(&format!("processor, real, what the section adds, {when}"), more, "of a core");
        let thread = mean(real.iter().filter_map(|member| rate(member).thread));
        lines.add(&format!("processor, real, the machine's thread, {when}, mean"), thread, "of a core");
        let control: Vec<_> = found.control.iter().collect();
        lines.add(&format!("processor, control, {when}, mean"), core(&control), "of a core");
    }
}

/// The largest minute of each kind of node.
fn add_largest_minutes(found: &Found, lines: &mut Lines) {
    let control = found.control.len();
    let shared = |member: usize| found.members[member].real;
    for (when, greatest) in [("ordinary", &found.greatest_ordinary), ("whole run", &found.greatest)] {
        let of = |wanted: &dyn Fn(usize) -> bool| -> Vec<Greatest> {
            let places = greatest.iter().enumerate().filter(|(place, _)| wanted(*place));
            places.map(|(_, greatest)| *greatest).filter(|greatest| greatest.out > 0.0).collect()
        };
        let member = |place: usize| place.checked_sub(control).filter(|member| *member < found.members.len());
        let kinds: [(&str, Vec<Greatest>); 3] = [
            ("real", of(&|place| member(place).is_some_and(shared))),
            ("hollow", of(&|place| member(place).is_some_and(|member| !shared(member)))),
            ("control", of(&|place| place < control)),
        ];
        for (who, greatest) in kinds {
            let name = |way: &str| format!("bytes {way}, {who}, {when}, greatest minute of the worst");
            lines.add(&name("out"), worst(greatest.iter().map(|greatest| greatest.out)), "B/s");
            lines.add(&name("in"), worst(greatest.iter().map(|greatest| greatest.back)), "B/s");
            if who != "control" {
                let over = greatest.iter().filter(|greatest| greatest.out > found.bytes_per_second).count();
                let over = (!greatest.is_empty()).then_some(over as f64);
                lines.add(
                    &format!("{who}, {when}, with a minute of more bytes out than allowed"),
                    over,
                    "members",
                );
            }
        }
    }
}

/// Processor time of the hollow dispatchers; memory, threads and descriptors of the processes.
fn add_resources(found: &Found, lines: &mut Lines) {
    let real: Vec<_> = found.members.iter().filter(|member| member.real).collect();
    lines.add("processor, hollow, share of their thread, ordinary", found.hollow_core.0, "of a core");
    lines.add("processor, hollow, share of their thread, whole run", found.hollow_core.1, "of a core");
    let rss = |members: &[Member]| {
        mean(members.iter().filter_map(|member| member.rss_kb).map(|kb| kb as f64 / 1024.0))
    };
    let real_members: Vec<_> = real.iter().map(|member| **member).collect();
    lines.add("memory, real with the section, mean", rss(&real_members), "MB");
    lines.add("memory, real without it, mean", rss(&found.bare), "MB");
    lines.add("memory, control, mean", rss(&found.control), "MB");
    let own = found.hollow_kb as f64 / 1024.0;
    lines.add(
        "memory, hollow, the whole process by their number",
        Some(own / found.hollow.max(1) as f64),
        "MB",
    );
    let threads =
        |members: &[Member]| mean(members.iter().filter_map(|member| member.threads).map(|n| n as f64));
    let held =
        |members: &[Member]| mean(members.iter().filter_map(|member| member.descriptors).map(|n| n as f64));
    lines.add("threads, real with the section, mean", threads(&real_members), "threads");
    lines.add("threads, real without it, mean", threads(&found.bare), "threads");
    lines.add("descriptors, real with the section, mean", held(&real_members), "descriptors");
    lines.add("descriptors, real without it, mean", held(&found.bare), "descriptors");
}

/// Hollow members in relation to real ones.
fn add_ratios(found: &Found, lines: &mut Lines) {
    let real: Vec<_> = found.members.iter().filter(|member| member.real).collect();
    let hollow: Vec<_> = found.members.iter().filter(|member| !member.real).collect();
    for (when, rate) in
        [("ordinary", (|m: &Member| m.ordinary) as fn(&Member) -> Rate), ("whole run", |m| m.whole)]
    {
        // Of each real one, against the mean of the hollow ones behind which as many stand.
        let ratio = |part: fn(&Rate) -> f64| {
            let alike = |one: &Member| {
                let like = hollow.iter().filter(|other| other.children == one.children);
                mean(like.map(|other| part(&rate(other)))).map(|like| (like, part(&rate(one))))
            };
            let pairs: Vec<_> = real.iter().filter_map(|one| alike(one)).collect();
            let sum = |of: fn(&(f64, f64)) -> f64| pairs.iter().map(of).sum::<f64>();
            (!pairs.is_empty()).then(|| sum(|pair| pair.0) / sum(|pair| pair.1))
        };
        lines.add(
            &format!("hollow over real of as many children, bytes out, {when}"),
            ratio(|rate| rate.out),
            "times",
        );
        lines.add(
            &format!("hollow over real of as many children, bytes in, {when}"),
            ratio(|rate| rate.back),
            "times",
        );
        let thread = mean(real.iter().filter_map(|member| rate(member).thread));
        let own = if when == "ordinary" { found.hollow_core.0 } else { found.hollow_core.1 };
        lines.add(
            &format!("hollow over real, processor of the machine, all places, {when}"),
            own.zip(thread).map(|(a, b)| a / b),
            "times",
        );
    }
}

/// Totals of the run.
fn add_counts(found: &Found, lines: &mut Lines) {
    lines.add("processes", Some(found.processes as f64), "processes");
    lines.add("memory of all processes", Some(found.held_kb as f64 / 1024.0), "MB");
    lines.add("purges told", Some(found.purges.len() as f64), "purges");
    lines.add("changes told", Some(found.changes.len() as f64), "changes");
    lines.add("purges covered by a floor, over all hollow ones", Some(found.by_floor as f64), "purges");
    lines.add("floors in effect, over all hollow ones", Some(found.floors as f64), "floors");
    lines.add("purges published by two control nodes", Some(found.published_twice as f64), "purges");
    lines.add("purges in effect again in one life", Some(found.again as f64), "purges");
    lines.add("lost: passed over", Some(found.passed_over as f64), "purges");
    lines.add("said everywhere too early", Some(found.too_early as f64), "times");
    lines.add("checks of what was said", Some(found.checked as f64), "checks");
    lines.add("violations", Some(found.violations() as f64), "violations");
}
