//! Results of a run as a table and as rows.

use super::ledger::{Announcement, Waited, CAUSES};
use super::minutes::Greatest;
use super::Found;
use crate::rows::{short, Found as Figure, How, Row, Size};
use rockflow_process_harness::datagrams::TrafficCounts;
use rockflow_process_harness::{cpu_time_of_threads, Fleet, Usage};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The thread of a real process in which its machine lives.
const THREAD: &str = "dissemination";

/// What was counted till a moment: by place in the proxy.
#[derive(Clone, Debug, Default)]
pub struct Sample {
    at: Option<Instant>,
    carried: Vec<TrafficCounts>,
    /// Of a process: its id and what the kernel tells, and the processor time of its machine's thread.
    used: BTreeMap<usize, (u32, Usage, Duration)>,
    /// Of the thread of all hollow ones.
    hollow: Duration,
}

impl Sample {
    /// Samples the processes of the fleet.
    pub fn take(fleet: &Fleet, hollow: &str) -> Sample {
        let control = fleet.control.len();
        let all = fleet.control.iter().chain(&fleet.members).enumerate();
        let used = all.filter_map(|(place, member)| {
            let process = member.process.as_ref()?;
            let own = cpu_time_of_threads(process.id(), THREAD).unwrap_or_default();
            Some((place, (process.id(), process.usage()?, own)))
        });
        Sample {
            at: Some(Instant::now()),
            used: used.collect(),
            carried: (0..control + fleet.members.len()).map(|place| fleet.proxy.traffic(place)).collect(),
            hollow: cpu_time_of_threads(std::process::id(), hollow).unwrap_or_default(),
        }
    }

    /// Seconds since an earlier sample.
    pub fn seconds_since(&self, before: &Sample) -> f64 {
        match (self.at, before.at) {
            (Some(at), Some(before)) => at.saturating_duration_since(before).as_secs_f64(),
            _ => 0.0,
        }
    }

    /// What each of so many hollow ones took of a core since then.
    pub fn hollow_since(&self, before: &Sample, hollow: usize) -> Option<f64> {
        let seconds = self.seconds_since(before);
        let spent = self.hollow.saturating_sub(before.hollow).as_secs_f64();
        (seconds > 0.0 && hollow > 0).then(|| spent / seconds / hollow as f64)
    }

    fn carried(&self, place: usize) -> TrafficCounts {
        self.carried.get(place).copied().unwrap_or_default()
    }
}

/// A member over a run, a second, in bytes and shares of a core.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Member {
    /// Whether it is a process; otherwise it is hollow.
    pub real: bool,
    /// Members whose first parent it is.
    pub children: usize,
    /// While nothing was at fault.
    pub ordinary: Rate,
    /// Mean of the whole run.
    pub whole: Rate,
    /// Resident memory, in KiB.
    pub rss_kb: Option<u64>,
    /// Number of threads.
    pub threads: Option<u64>,
    /// Number of open file descriptors.
    pub descriptors: Option<usize>,
}

/// Bytes a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rate {
    /// Sent.
    pub out: f64,
    /// Received.
    pub back: f64,
    /// None: no process of its own, or another one at the end.
    pub core: Option<f64>,
    /// Of the thread of its machine alone; of a hollow one its share of the thread of all.
    pub thread: Option<f64>,
}

impl Rate {
    fn of(place: usize, from: &Sample, to: &Sample) -> Rate {
        let seconds = to.seconds_since(from).max(1e-9);
        let (before, after) = (from.carried(place), to.carried(place));
        let same = from.used.get(&place).zip(to.used.get(&place)).filter(|(from, to)| from.0 == to.0);
        Rate {
            out: (after.bytes_out - before.bytes_out) as f64 / seconds,
            back: (after.bytes_in - before.bytes_in) as f64 / seconds,
            core: same
                .map(|(from, to)| (to.1.cpu_time.saturating_sub(from.1.cpu_time)).as_secs_f64() / seconds),
            thread: same.map(|(from, to)| to.2.saturating_sub(from.2).as_secs_f64() / seconds),
        }
    }
}

impl Member {
    /// Computes a member's figures from three samples.
    pub fn of(place: usize, real: bool, began: &Sample, ordinary: &Sample, end: &Sample) -> Member {
        let used = end.used.get(&place).map(|(_, usage, _)| *usage);
        Member {
            real,
            children: 0,
            ordinary: Rate::of(place, began, ordinary),
            whole: Rate::of(place, began, end),
            rss_kb: used.map(|used| used.rss_kb),
            threads: used.map(|used| used.threads),
            descriptors: used.map(|used| used.descriptors),
        }
    }
}

/// One line of the table, and one row.
struct Line {
    name: String,
    value: Option<f64>,
    unit: &'static str,
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
fn in_force(
    add: &mut impl FnMut(&str, Option<f64>, &'static str),
    what: &str,
    when: &str,
    told: &[&Announcement],
) {
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
            add(&format!("{what} in force at {who} that nothing held up, {when}, {part}"), value, "s");
        }
    }
    for (place, cause) in CAUSES.into_iter().enumerate() {
        let waits = seconds(&mut told.iter().map(|told| told.by_cause[place]));
        let count: usize = told.iter().map(|told| told.by_cause[place].count).sum();
        let since = if cause.holds_up() { "since its end" } else { "since it was told" };
        add(&format!("{what} in force, {cause:?}, {since}, {when}, worst"), worst(waits), "s");
        add(&format!("{what} in force, {cause:?}, {when}, how often"), Some(count as f64), "times");
    }
}

fn lines(found: &Found) -> Vec<Line> {
    let mut lines = Vec::new();
    let mut add = |name: &str, value: Option<f64>, unit: &'static str| {
        lines.push(Line { name: name.to_string(), value, unit });
    };
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
            add(&format!("{what} in force everywhere by control, ordinary, {part}"), value, "s");
        }
        for (part, value) in parts.iter().zip(three(all)) {
            add(&format!("{what} in force everywhere by control, {part}"), value, "s");
        }
        let told = if purges { &found.purges } else { &found.changes };
        let told: Vec<_> = told.iter().filter(within).collect();
        let all = told.iter().filter(|told| told.count >= found.hollow);
        let calm = all.clone().filter(|told| ordinary(&told.at));
        for (part, value) in parts.iter().zip(three(calm.map(|told| told.worst.as_secs_f64()).collect())) {
            add(&format!("{what} in effect at all hollow ones, ordinary, {part}"), value, "s");
        }
        for (when, calm) in [("ordinary", true), ("whole run", false)] {
            let told = told.iter().copied().filter(|told| !calm || ordinary(&told.at));
            in_force(&mut add, what, when, &told.collect::<Vec<_>>());
        }
        let window = if purges { found.purge_window } else { found.change_window };
        let late = told.iter().filter(|told| told.free().is_some_and(|free| free.worst > window)).count();
        add(&format!("{what}s later than allowed at one that nothing held up"), Some(late as f64), "of all");
        let share = all.count() as f64 / told.len().max(1) as f64;
        add(&format!("{what}s in effect at all hollow ones by their entry, share"), Some(share), "of all");
    }
    let real: Vec<_> = found.members.iter().filter(|member| member.real).collect();
    let hollow: Vec<_> = found.members.iter().filter(|member| !member.real).collect();
    for (when, rate) in
        [("ordinary", (|m: &Member| m.ordinary) as fn(&Member) -> Rate), ("whole run", |m| m.whole)]
    {
        for (who, members) in [("real", &real), ("hollow", &hollow)] {
            let rates: Vec<_> = members.iter().map(|member| rate(member)).collect();
            add(&format!("bytes out, {who}, {when}, mean"), mean(rates.iter().map(|rate| rate.out)), "B/s");
            add(&format!("bytes out, {who}, {when}, worst"), worst(rates.iter().map(|rate| rate.out)), "B/s");
            add(&format!("bytes in, {who}, {when}, mean"), mean(rates.iter().map(|rate| rate.back)), "B/s");
            add(&format!("bytes in, {who}, {when}, worst"), worst(rates.iter().map(|rate| rate.back)), "B/s");
        }
        let rates: Vec<_> = found.control.iter().map(rate).collect();
        add(&format!("bytes out, control, {when}, worst"), worst(rates.iter().map(|rate| rate.out)), "B/s");
        add(&format!("bytes in, control, {when}, worst"), worst(rates.iter().map(|rate| rate.back)), "B/s");
        let core = |members: &[&Member]| mean(members.iter().filter_map(|member| rate(member).core));
        let bare: Vec<_> = found.bare.iter().collect();
        let (with, without) = (core(&real), core(&bare));
        add(&format!("processor, real with the section, {when}, mean"), with, "of a core");
        add(&format!("processor, real without it, {when}, mean"), without, "of a core");
        let more = with.zip(without).map(|(with, without)| with - without);
        add(&format!("processor, real, what the section adds, {when}"), more, "of a core");
        let thread = mean(real.iter().filter_map(|member| rate(member).thread));
        add(&format!("processor, real, the machine's thread, {when}, mean"), thread, "of a core");
        let control: Vec<_> = found.control.iter().collect();
        add(&format!("processor, control, {when}, mean"), core(&control), "of a core");
    }
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
            add(&name("out"), worst(greatest.iter().map(|greatest| greatest.out)), "B/s");
            add(&name("in"), worst(greatest.iter().map(|greatest| greatest.back)), "B/s");
            if who != "control" {
                let over = greatest.iter().filter(|greatest| greatest.out > found.bytes_per_second).count();
                let over = (!greatest.is_empty()).then_some(over as f64);
                add(&format!("{who}, {when}, with a minute of more bytes out than allowed"), over, "members");
            }
        }
    }
    add("processor, hollow, share of their thread, ordinary", found.hollow_core.0, "of a core");
    add("processor, hollow, share of their thread, whole run", found.hollow_core.1, "of a core");
    let rss = |members: &[Member]| {
        mean(members.iter().filter_map(|member| member.rss_kb).map(|kb| kb as f64 / 1024.0))
    };
    let real_members: Vec<_> = real.iter().map(|member| **member).collect();
    add("memory, real with the section, mean", rss(&real_members), "MB");
    add("memory, real without it, mean", rss(&found.bare), "MB");
    add("memory, control, mean", rss(&found.control), "MB");
    let own = found.hollow_kb as f64 / 1024.0;
    add("memory, hollow, the whole process by their number", Some(own / found.hollow.max(1) as f64), "MB");
    let threads =
        |members: &[Member]| mean(members.iter().filter_map(|member| member.threads).map(|n| n as f64));
    let held =
        |members: &[Member]| mean(members.iter().filter_map(|member| member.descriptors).map(|n| n as f64));
    add("threads, real with the section, mean", threads(&real_members), "threads");
    add("threads, real without it, mean", threads(&found.bare), "threads");
    add("descriptors, real with the section, mean", held(&real_members), "descriptors");
    add("descriptors, real without it, mean", held(&found.bare), "descriptors");
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
        add(
            &format!("hollow over real of as many children, bytes out, {when}"),
            ratio(|rate| rate.out),
            "times",
        );
        add(
            &format!("hollow over real of as many children, bytes in, {when}"),
            ratio(|rate| rate.back),
            "times",
        );
        let thread = mean(real.iter().filter_map(|member| rate(member).thread));
        let own = if when == "ordinary" { found.hollow_core.0 } else { found.hollow_core.1 };
        add(
            &format!("hollow over real, processor of the machine, all places, {when}"),
            own.zip(thread).map(|(a, b)| a / b),
            "times",
        );
    }
    add("processes", Some(found.processes as f64), "processes");
    add("memory of all processes", Some(found.held_kb as f64 / 1024.0), "MB");
    add("purges told", Some(found.purges.len() as f64), "purges");
    add("changes told", Some(found.changes.len() as f64), "changes");
    add("purges covered by a floor, over all hollow ones", Some(found.by_floor as f64), "purges");
    add("floors in effect, over all hollow ones", Some(found.floors as f64), "floors");
    add("purges published by two control nodes", Some(found.published_twice as f64), "purges");
    add("purges in effect again in one life", Some(found.again as f64), "purges");
    add("lost: passed over", Some(found.passed_over as f64), "purges");
    add("said everywhere too early", Some(found.too_early as f64), "times");
    add("checks of what was said", Some(found.checked as f64), "checks");
    add("violations", Some(found.violations() as f64), "violations");
    lines
}

/// Prints the result of a run.
pub fn print(found: &Found) {
    println!();
    for Line { name, value, unit } in lines(found) {
        println!("{name:72} {:>12} {unit}", value.map_or("-".to_string(), short));
    }
    print_worst(found);
    found.faults.iter().for_each(|(kind, count)| println!("faults: {kind}: {count}"));
    println!("datagrams: {:?}", found.carried);
    found.not_caught_up.iter().for_each(|member| println!("passed over at {member}"));
    println!("seed {}; {}", found.options.seed, found.command);
}

/// Who had the greatest minutes, and for whom a purge took longest.
fn print_worst(found: &Found) {
    let control = found.control.len();
    let mut greatest: Vec<_> =
        found.greatest.iter().enumerate().skip(control).take(found.members.len()).collect();
    greatest.sort_by(|one, other| other.1.out.total_cmp(&one.1.out));
    println!();
    for (place, greatest) in greatest.into_iter().take(5) {
        println!(
            "greatest minute: {} sent {:.2} of its bytes till {:.0} s, {:.1} frames a second; children by the \
             directory {}, then {}",
            found.names[place],
            greatest.out / found.bytes_per_second,
            greatest.at.as_secs_f64(),
            greatest.frames,
            found.members[place - control].children,
            greatest.children,
        );
    }
    let within = found.purges.iter().filter(|told| told.at >= found.began);
    let mut waits: Vec<_> = within.filter_map(|told| Some((told, told.free()?))).collect();
    waits.sort_by_key(|(_, free)| std::cmp::Reverse(free.worst));
    for (told, free) in waits.into_iter().take(5) {
        let (whose, at) =
            (&found.names[control + free.member], told.at.saturating_duration_since(found.began));
        println!(
            "longest: a purge of {:.1} s in force at {whose} after {:.2} s",
            at.as_secs_f64(),
            free.worst.as_secs_f64()
        );
    }
}

/// Converts the result of a run to rows.
pub fn rows(found: &Found) -> Vec<Row> {
    let members = found.members.len() as f64;
    let parameters: BTreeMap<_, _> = [
        ("hollow", f64::from(found.options.hollow)),
        ("real", f64::from(found.options.real)),
        ("control", f64::from(found.options.control)),
        ("minutes", found.options.minutes),
        ("rate", found.rate),
        ("calm", f64::from(u8::from(found.options.calm))),
    ]
    .into_iter()
    .map(|(name, value)| (name.to_string(), value))
    .collect();
    let row = |Line { name, value, unit }: Line| Row {
        series: "run".to_string(),
        x: Size { name: "members".to_string(), value: members },
        y: Figure { name, value, unit: unit.to_string() },
        seed: found.options.seed,
        parameters: parameters.clone(),
        command: found.command.clone(),
        how: How::Measured,
        note: None,
    };
    lines(found).into_iter().map(row).collect()
}
