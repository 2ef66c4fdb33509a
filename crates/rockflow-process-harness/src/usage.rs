//! Reads the resources that a process uses from the kernel's `/proc` file system.

use nix::unistd::{sysconf, SysconfVar};
use std::collections::BTreeMap;
use std::time::Duration;

/// Clock ticks a second, for a system that does not report its own number.
const DEFAULT_TICKS_PER_SECOND: i64 = 100;
/// The number of fields in a `stat` file between the process name and the times in user and system mode.
const FIELDS_BEFORE_TIMES: usize = 11;

/// The resources that a process used at the time of reading.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Resident memory, in KiB.
    pub rss_kb: u64,
    /// The peak of the resident memory since the process started, in KiB.
    pub max_rss_kb: u64,
    /// The number of threads that have not ended.
    pub threads: u64,
    /// The number of open file descriptors; 0 if the caller may not list them.
    pub descriptors: usize,
    /// Processor time in user and system mode of all threads, including those that have ended.
    pub cpu_time: Duration,
}

impl Usage {
    /// Reads the usage of the process with the given id; `None` if there is no such process, or if it has exited.
    pub fn of(id: u32) -> Option<Usage> {
        let folder = format!("/proc/{id}");
        let status = std::fs::read_to_string(format!("{folder}/status")).ok()?;
        let number = |name: &str| -> Option<u64> {
            let line = status.lines().find_map(|line| line.strip_prefix(name))?;
            line.split_whitespace().next()?.parse().ok()
        };
        Some(Usage {
            rss_kb: number("VmRSS:")?,
            max_rss_kb: number("VmHWM:")?,
            threads: number("Threads:")?,
            descriptors: std::fs::read_dir(format!("{folder}/fd")).map_or(0, Iterator::count),
            cpu_time: cpu_time(&format!("{folder}/stat"))?,
        })
    }
}

/// The processor time in a `stat` file of a process or thread; `None` if the file can't be read.
fn cpu_time(path: &str) -> Option<Duration> {
    let stat = std::fs::read_to_string(path).ok()?;
    // The process name is in brackets and may itself hold brackets and spaces, so the fields are counted from the last
    // closing bracket. The first one after it is field 3 of the file.
    let (_, fields) = stat.rsplit_once(')')?;
    let ticks = fields
        .split_whitespace()
        .skip(FIELDS_BEFORE_TIMES)
        .take(2)
        .filter_map(|field| field.parse::<u64>().ok());
    let ticks_per_second =
        sysconf(SysconfVar::CLK_TCK).ok().flatten().unwrap_or(DEFAULT_TICKS_PER_SECOND) as f64;
    Some(Duration::from_secs_f64(ticks.sum::<u64>() as f64 / ticks_per_second))
}

/// The total processor time of the running threads with the given name; `None` if the process has none.
pub fn cpu_time_of_threads(id: u32, name: &str) -> Option<Duration> {
    let threads = std::fs::read_dir(format!("/proc/{id}/task")).ok()?.filter_map(Result::ok);
    let times = threads.filter_map(|thread| {
        let folder = thread.path();
        let thread_name = std::fs::read_to_string(folder.join("comm")).ok()?;
        cpu_time(folder.join("stat").to_str()?).filter(|_| thread_name.trim_end() == name)
    });
    times.reduce(|sum, time| sum + time)
}

/// For how long each running thread of a process was ready to run but had no processor, by thread id. Empty if there is no
/// such process, or if the kernel doesn't keep these times.
pub fn processor_waits(id: u32) -> BTreeMap<u32, Duration> {
    let threads = std::fs::read_dir(format!("/proc/{id}/task")).into_iter().flatten().filter_map(Result::ok);
    let waits = threads.filter_map(|thread| {
        let thread_id = thread.file_name().to_str()?.parse().ok()?;
        let statistics = std::fs::read_to_string(thread.path().join("schedstat")).ok()?;
        // The fields are the time on a processor, the time of waiting for one, and the number of time slices.
        let nanoseconds = statistics.split_whitespace().nth(1)?.parse().ok()?;
        Some((thread_id, Duration::from_nanos(nanoseconds)))
    });
    waits.collect()
}

/// The names of the running threads of a process, which the kernel cuts to 15 bytes; empty if there is no such process.
pub fn thread_names(id: u32) -> Vec<String> {
    let threads = std::fs::read_dir(format!("/proc/{id}/task")).into_iter().flatten().filter_map(Result::ok);
    let names = threads.filter_map(|thread| std::fs::read_to_string(thread.path().join("comm")).ok());
    names.map(|name| name.trim_end().to_string()).collect()
}
