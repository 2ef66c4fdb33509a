//! The plan of a run, which is determined by its seed alone.

use rockflow_process_harness::Signal;
use std::time::Duration;

/// The longest deadline of the classes in the example configuration, as far as it delays the kill: longer deadlines
/// count as this one.
const LONGEST_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// The time from the longest counted deadline to the kill.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// When the program is killed if it still runs, counted from the first SIGTERM. This is the earliest time at which the
/// service allows the kill.
pub(super) const KILL_AFTER: Duration = LONGEST_COUNTED_DEADLINE.saturating_add(KILL_MARGIN);
/// The limit of descriptors in the configuration of a run without too many clients.
const MANY_DESCRIPTORS: usize = 1024;
/// A limit of descriptors of which the clients of a crowd take more than a third.
const FEW_DESCRIPTORS: usize = 160;

/// How long after the load, while the program is being stopped, a drain or the join of a cache may still happen.
const MAX_DELAY_AFTER_LOAD: Duration = Duration::from_millis(600);

/// The behaviour of a host in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HostProfile {
    /// Answers within milliseconds.
    Healthy,
    /// Answers with a delay of up to several hundred milliseconds.
    Slow,
    /// Leaves many attempts unanswered.
    Hanging,
    /// Resets connections, before and in the middle of answers.
    Resetting,
    /// Sends answers twice, or answers for ids that were not requested.
    SendingExtraAnswers,
    /// Sends answers that can't be parsed or are incomplete.
    Corrupting,
    /// Answers many attempts with `full`, `absent`, `failed` or `moot`.
    Refusing,
}

/// The fault of the discovery service in a run. The timelines show the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DiscoveryFault {
    /// No fault.
    None,
    /// Open streams send nothing more but stay open.
    Silent,
    /// The stream that sends the next event closes in the middle of it.
    BreaksOff,
    /// The service moves to another address, of which the dispatcher learns by a new configuration and SIGHUP.
    Moves,
}

/// How the program is stopped in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    /// SIGTERM after the load, and a kill if the program still runs after the longest allowed time.
    Graceful,
    /// SIGTERM as soon as the program listens, and the kill as in `Graceful`.
    WhileStarting,
    /// A kill during the load, an immediate restart at the same address, and then as in `Graceful`.
    KilledAndRestarted,
}

/// A signal with its time, counted from the first SIGTERM.
pub(super) struct TimedSignal {
    pub(super) at: Duration,
    pub(super) signal: Signal,
}

/// The plan of a run.
pub struct Plan {
    /// The seed that determines the plan and the random numbers of clients and hosts.
    pub seed: u64,
    pub(super) clients: usize,
    /// The limit of descriptors in the configuration.
    pub(super) descriptors: usize,
    /// Whether the run has more clients than a third of the descriptors, so that new connections may be closed unread.
    pub(super) is_crowd: bool,
    /// The time from the first request to the first SIGTERM.
    pub(super) load_time: Duration,
    pub(super) ending: Ending,
    /// Further signals after the first SIGTERM.
    pub(super) signals: Vec<TimedSignal>,
    /// How long after the first SIGTERM clients still open new connections.
    pub(super) connects_after_term: Duration,
    pub(super) caches: Vec<HostProfile>,
    pub(super) parent: HostProfile,
    pub(super) origin: HostProfile,
    pub(super) discovery: DiscoveryFault,
    /// When the discovery fault begins, counted from the first request.
    pub(super) discovery_fault_at: Duration,
    /// When the last cache begins to drain, counted from the first request.
    pub(super) drain_at: Duration,
    /// When a new cache, which is empty, joins; counted from the first request.
    pub(super) cold_cache_joins_at: Duration,
    /// The time between two purges.
    pub(super) purge_interval: Duration,
    /// Whether the class `notices` may be executed at most once.
    pub(super) is_at_most_once: bool,
}

impl Plan {
    /// Draws the plan of a seed.
    pub fn from_seed(seed: u64) -> Plan {
        let mut rng = Random::new(seed);
        let is_crowd = rng.chance(0.25);
        let load_time = Duration::from_millis(rng.between(500, 1500));
        let ending = match rng.between(0, 9) {
            0 => Ending::WhileStarting,
            1 | 2 => Ending::KilledAndRestarted,
            _ => Ending::Graceful,
        };
        let mut caches = vec![HostProfile::Healthy];
        caches.extend((0..2).map(|_| random_profile(&mut rng)));
        Plan {
            seed,
            clients: if is_crowd { rng.between(54, 80) } else { rng.between(4, 40) } as usize,
            descriptors: if is_crowd { FEW_DESCRIPTORS } else { MANY_DESCRIPTORS },
            is_crowd,
            load_time,
            ending,
            signals: random_signals(&mut rng),
            connects_after_term: Duration::from_millis(rng.between(200, 400)),
            caches,
            parent: if rng.chance(0.5) { HostProfile::Healthy } else { random_profile(&mut rng) },
            origin: if rng.chance(0.5) { HostProfile::Healthy } else { random_profile(&mut rng) },
            discovery: match rng.between(0, 5) {
                0 => DiscoveryFault::Silent,
                1 => DiscoveryFault::BreaksOff,
                2 => DiscoveryFault::Moves,
                _ => DiscoveryFault::None,
            },
            discovery_fault_at: rng.random_part_of(load_time),
            drain_at: rng.random_part_of(load_time + MAX_DELAY_AFTER_LOAD),
            cold_cache_joins_at: rng.random_part_of(load_time + MAX_DELAY_AFTER_LOAD),
            purge_interval: Duration::from_millis(rng.between(30, 200)),
            is_at_most_once: rng.chance(0.5),
        }
    }

    /// A plan in which no peer is faulty, so that every violation in the report is caused by the program.
    pub fn without_faults(seed: u64) -> Plan {
        Plan {
            clients: 12,
            descriptors: MANY_DESCRIPTORS,
            is_crowd: false,
            load_time: Duration::from_millis(1500),
            ending: Ending::Graceful,
            signals: Vec::new(),
            caches: vec![HostProfile::Healthy; 3],
            parent: HostProfile::Healthy,
            origin: HostProfile::Healthy,
            discovery: DiscoveryFault::None,
            drain_at: Duration::from_millis(200),
            purge_interval: Duration::from_millis(100),
            is_at_most_once: true,
            ..Plan::from_seed(seed)
        }
    }
}

/// Draws one of the profiles, all with the same probability.
fn random_profile(rng: &mut Random) -> HostProfile {
    let profiles = [
        HostProfile::Healthy,
        HostProfile::Slow,
        HostProfile::Hanging,
        HostProfile::Resetting,
        HostProfile::SendingExtraAnswers,
        HostProfile::Corrupting,
        HostProfile::Refusing,
    ];
    profiles[rng.between(0, profiles.len() as u64 - 1) as usize]
}

/// Draws up to four signals within 1.5 s after the first SIGTERM, in the order of their times.
fn random_signals(rng: &mut Random) -> Vec<TimedSignal> {
    let kinds = [Signal::SIGHUP, Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP];
    let count = rng.between(0, kinds.len() as u64) as usize;
    let at = |rng: &mut Random| Duration::from_millis(rng.between(0, 1500));
    let mut signals: Vec<_> =
        kinds.into_iter().take(count).map(|signal| TimedSignal { at: at(rng), signal }).collect();
    signals.sort_by_key(|timed| timed.at);
    signals
}

/// A generator of random numbers for plans, clients and hosts.
pub(super) struct Random(oorandom::Rand64);

impl Random {
    pub(super) fn new(seed: u64) -> Random {
        Random(oorandom::Rand64::new(u128::from(seed)))
    }

    /// A number from `low` to `high`, both included.
    pub(super) fn between(&mut self, low: u64, high: u64) -> u64 {
        self.0.rand_range(low..high + 1)
    }

    /// Draws whether an event of the given probability happens.
    pub(super) fn chance(&mut self, probability: f64) -> bool {
        self.0.rand_float() < probability
    }

    pub(super) fn random_u64(&mut self) -> u64 {
        self.0.rand_u64()
    }

    /// A random duration from zero to `span`.
    fn random_part_of(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.0.rand_float())
    }
}
