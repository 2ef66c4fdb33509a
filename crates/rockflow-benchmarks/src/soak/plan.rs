//! What a run does, decided by its seed alone.

use rockflow_process_harness::Signal;
use std::time::Duration;

/// The longest deadline of the example's classes counts as this at most, and the kill comes so much later.
const LONGEST_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// The kill at its earliest, counted from the first SIGTERM.
pub(super) const KILL_AFTER: Duration = LONGEST_COUNTED_DEADLINE.saturating_add(KILL_MARGIN);
/// Descriptors that the configuration allows: of many, and so few that a crowd can take more than a third.
const MANY_DESCRIPTORS: usize = 1024;
const FEW_DESCRIPTORS: usize = 160;

/// How a host behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HostProfile {
    /// Answers within milliseconds.
    Healthy,
    /// Answers late.
    Slow,
    /// Leaves many attempts unanswered.
    Hanging,
    /// Resets connections, before and in the middle of answers.
    Resetting,
    /// Answers twice, or with an answer that nobody asked for.
    SendingExtraAnswers,
    /// Answers with what can't be read, or breaks off.
    Corrupting,
    /// Answers `full`, `absent`, `failed` or `moot`.
    Refusing,
}

/// What becomes of the discovery service in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DiscoveryFault {
    None,
    /// It says nothing more on open streams from then on.
    Silent,
    /// It breaks off in the middle of its next event.
    BreaksOff,
    /// Another address, by a new configuration and SIGHUP.
    Moves,
}

/// How the program ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    /// SIGTERM, and the kill at its earliest.
    Graceful,
    /// SIGTERM as soon as it listens.
    WhileStarting,
    /// Killed outright and started again at the same address at once, then SIGTERM.
    KilledAndRestarted,
}

/// A signal, and when it is sent, counted from the first SIGTERM.
pub(super) struct TimedSignal {
    pub(super) at: Duration,
    pub(super) signal: Signal,
}

/// What a run does.
pub struct Plan {
    /// The seed that decided it.
    pub seed: u64,
    pub(super) clients: usize,
    pub(super) descriptors: usize,
    /// More connections than a third of the descriptors.
    pub(super) is_crowd: bool,
    /// From the first request to the first SIGTERM.
    pub(super) load_time: Duration,
    pub(super) ending: Ending,
    /// Further signals after the first SIGTERM.
    pub(super) signals: Vec<TimedSignal>,
    /// New connections come for so long after SIGTERM.
    pub(super) connects_after_term: Duration,
    pub(super) caches: Vec<HostProfile>,
    pub(super) parent: HostProfile,
    pub(super) origin: HostProfile,
    pub(super) discovery: DiscoveryFault,
    /// When the discovery fault begins, counted from the first request.
    pub(super) discovery_fault_at: Duration,
    /// When the last cache begins to drain, counted from the first request.
    pub(super) drain_at: Duration,
    /// When the cold cache joins.
    pub(super) cold_cache_joins_at: Duration,
    /// Between two purges.
    pub(super) purge_interval: Duration,
    /// Whether the class `notices` may be executed at most once.
    pub(super) is_at_most_once: bool,
}

impl Plan {
    /// The plan of a seed.
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
            // About the moment of the stop, or long before.
            drain_at: rng.random_part_of(load_time + Duration::from_millis(600)),
            cold_cache_joins_at: rng.random_part_of(load_time + Duration::from_millis(600)),
            purge_interval: Duration::from_millis(rng.between(30, 200)),
            is_at_most_once: rng.chance(0.5),
        }
    }

    /// A run without faults of its own: what it reports is the program's doing.
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

/// Up to four signals between the first SIGTERM and the end.
fn random_signals(rng: &mut Random) -> Vec<TimedSignal> {
    let kinds = [Signal::SIGHUP, Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP];
    let count = rng.between(0, kinds.len() as u64) as usize;
    let at = |rng: &mut Random| Duration::from_millis(rng.between(0, 1500));
    let mut signals: Vec<_> =
        kinds.into_iter().take(count).map(|signal| TimedSignal { at: at(rng), signal }).collect();
    signals.sort_by_key(|timed| timed.at);
    signals
}

/// Random numbers of a run.
pub(super) struct Random(oorandom::Rand64);

impl Random {
    pub(super) fn new(seed: u64) -> Random {
        Random(oorandom::Rand64::new(u128::from(seed)))
    }

    /// A number between two, both included.
    pub(super) fn between(&mut self, low: u64, high: u64) -> u64 {
        self.0.rand_range(low..high + 1)
    }

    pub(super) fn chance(&mut self, probability: f64) -> bool {
        self.0.rand_float() < probability
    }

    pub(super) fn random_u64(&mut self) -> u64 {
        self.0.rand_u64()
    }

    fn random_part_of(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.0.rand_float())
    }
}
