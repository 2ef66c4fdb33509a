//! Results of a run as a table and as rows.

use super::lines::{lines, Line};
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
