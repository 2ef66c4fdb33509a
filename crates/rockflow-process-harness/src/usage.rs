//! The resources that a process uses, by the kernel's `/proc`.

use nix::unistd::{sysconf, SysconfVar};
use std::time::Duration;

/// Used where the system does not say how many clock ticks a second has.
const DEFAULT_TICKS_PER_SECOND: i64 = 100;
/// The fields of `stat` between the process's name and its times in user and system mode.
const FIELDS_BEFORE_TIMES: usize = 11;

/// The resources that a process uses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Resident memory, in KiB.
    pub rss_kb: u64,
    /// The greatest resident memory so far, in KiB.
    pub max_rss_kb: u64,
    /// Running threads.
    pub threads: u64,
    /// Open file descriptors.
    pub descriptors: usize,
    /// Processor time in user and system mode, of all its threads, those that have ended included.
    pub cpu_time: Duration,
}

impl Usage {
    /// The resources of the process with the given id; `None` if there is none, or if it has ended.
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

/// The processor time in one of the kernel's `stat` files.
fn cpu_time(path: &str) -> Option<Duration> {
    let stat = std::fs::read_to_string(path).ok()?;
    // The name, in brackets, may hold anything; what follows it is the third field.
    let (_, fields) = stat.rsplit_once(')')?;
    let ticks = fields
        .split_whitespace()
        .skip(FIELDS_BEFORE_TIMES)
        .take(2)
        .filter_map(|word| word.parse::<u64>().ok());
    let ticks_per_second =
        sysconf(SysconfVar::CLK_TCK).ok().flatten().unwrap_or(DEFAULT_TICKS_PER_SECOND) as f64;
    Some(Duration::from_secs_f64(ticks.sum::<u64>() as f64 / ticks_per_second))
}

/// The processor time of a process's running threads of the given name; `None` if there are none.
pub fn cpu_time_of_threads(id: u32, name: &str) -> Option<Duration> {
    let threads = std::fs::read_dir(format!("/proc/{id}/task")).ok()?.filter_map(Result::ok);
    let times = threads.filter_map(|thread| {
        let folder = thread.path();
        let named = std::fs::read_to_string(folder.join("comm")).ok()?;
        cpu_time(folder.join("stat").to_str()?).filter(|_| named.trim_end() == name)
    });
    times.reduce(|sum, time| sum + time)
}

/// The names of a process's running threads.
pub fn thread_names(id: u32) -> Vec<String> {
    let threads = std::fs::read_dir(format!("/proc/{id}/task")).into_iter().flatten().filter_map(Result::ok);
    let names = threads.filter_map(|thread| std::fs::read_to_string(thread.path().join("comm")).ok());
    names.map(|name| name.trim_end().to_string()).collect()
}
