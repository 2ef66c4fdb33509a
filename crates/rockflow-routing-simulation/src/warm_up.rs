//! One host with a cold cache before a fleet: a cache or a parent that has just started, what all dispatchers together send
//! it, and whether that is more than it tolerates.

use crate::deployment::{endpoint_entry, STREAM_KB_PER_S};
use crate::fleet::{FleetOptions, FleetSimulation, HostResponse, SentAttempt};
use crate::slow_start_host::SlowStartHost;
use rockflow::{CacheStatus, EndpointEntry, Event, HostId, ListScope, Outcome, Role};
use std::time::Duration;

/// The weight of every host.
const LINK_WEIGHT: f64 = 8.0;
/// Hosts of a role besides the new one.
const OTHER_HOSTS: u64 = 3;
const FIRST_CACHE: u64 = 0;
const FIRST_PARENT: u64 = 100;
/// When the new host starts, and when the simulation ends.
const START: Duration = Duration::from_secs(10);
const END: Duration = Duration::from_secs(22);
/// When dispatchers restart, after the start of the new host.
const RESTART_AFTER: Duration = Duration::from_secs(4);
/// How long every attempt takes.
const RESPONSE_TIME: Duration = Duration::from_millis(60);

/// The time between two requests anywhere in the fleet, where a case does not say otherwise.
pub const REQUEST_INTERVAL: Duration = Duration::from_millis(2);

/// How the requests are spread over the dispatchers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Traffic {
    /// Each dispatcher gets the mean.
    Even,
    /// One in five gets three times the mean, the others half of it.
    Uneven,
}

/// Whether dispatchers restart while the new host warms up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Restarts {
    /// None does.
    None,
    /// Seven in ten lose all that they know.
    Most,
}

/// What a simulation varies.
#[derive(Clone, Copy, Debug)]
pub struct WarmUpCase {
    /// The role of the new host.
    pub role: Role,
    /// The size of every response, in kB.
    pub size_kb: f64,
    /// How the requests are spread.
    pub traffic: Traffic,
    /// The time within which the dispatchers learn of the new host. Zero: all at once.
    pub notice_spread: Duration,
    /// Whether dispatchers restart.
    pub restarts: Restarts,
    /// The time between two requests anywhere in the fleet.
    pub request_interval: Duration,
}

/// What came to the new host.
#[derive(Clone, Debug)]
pub struct WarmUpResult {
    /// When each attempt was sent to it, or named it as the source.
    pub sent: Vec<Duration>,
    /// By how many attempts it got more than it tolerates with chance, in the worst window.
    pub max_excess: f64,
    /// The attempts of the worst window over what it tolerates with chance.
    pub max_share_of_bound: f64,
}

/// Whether the new host is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NewHost {
    Unlisted,
    Listed,
}

/// Runs one case.
pub fn simulate(dispatchers: usize, case: WarmUpCase, seed: u64) -> WarmUpResult {
    let mut fleet = FleetSimulation::new(FleetOptions {
        seed,
        dispatchers,
        request_interval: case.request_interval * dispatchers as u32,
        mean_size_kb: case.size_kb,
        object_count: None,
    });
    let new_host = HostId(if case.role == Role::Cache { FIRST_CACHE } else { FIRST_PARENT });
    for dispatcher in 0..dispatchers {
        prepare_dispatcher(&mut fleet, dispatcher, dispatchers, case, new_host);
    }
    fleet.run(END, respond);
    let sent: Vec<Duration> = fleet.attempts_using(new_host).map(|sent| sent.at).collect();
    let host =
        SlowStartHost { started: START, weight: LINK_WEIGHT, attempt_s: case.size_kb / STREAM_KB_PER_S };
    WarmUpResult {
        max_excess: host.max_excess(&sent),
        max_share_of_bound: host.max_share_of_bound(&sent),
        sent,
    }
}

fn prepare_dispatcher(
    fleet: &mut FleetSimulation,
    dispatcher: usize,
    dispatchers: usize,
    case: WarmUpCase,
    new_host: HostId,
) {
    if case.traffic == Traffic::Uneven {
        fleet.traffic_factors[dispatcher] = if dispatcher.is_multiple_of(5) { 3.0 } else { 0.5 };
    }
    fleet.restart_dispatcher(Duration::ZERO, dispatcher, hosts(case.role, NewHost::Unlisted));

    let noticed = START + case.notice_spread.mul_f64(fleet.rng.rand_float());
    let mut entries = hosts(case.role, NewHost::Listed);
    entries.retain(|entry| entry.host == new_host);
    fleet.deliver(noticed, dispatcher, Event::EndpointsListed { scope: ListScope::Changes, entries });

    let phase = fleet.rng.rand_float();
    let own_interval = case.request_interval * dispatchers as u32;
    fleet.start_requests(START.mul_f64(0.5) + own_interval.mul_f64(phase), dispatcher);
    if case.restarts == Restarts::Most && dispatcher % 10 < 7 {
        fleet.restart_dispatcher(START + RESTART_AFTER, dispatcher, hosts(case.role, NewHost::Listed));
    }
}

/// Nothing is cached: a look misses, and whatever may fill does.
fn respond(sent: &SentAttempt) -> HostResponse {
    let (outcome, cache_status) = if sent.is_cached_only() {
        (Outcome::Miss, CacheStatus::Unknown)
    } else {
        (Outcome::Succeeded, CacheStatus::Filled)
    };
    HostResponse { outcome, cache_status, duration: RESPONSE_TIME }
}

/// All hosts of the case.
fn hosts(new_role: Role, new_host: NewHost) -> Vec<EndpointEntry> {
    let mut entries = hosts_of_role(Role::Cache, FIRST_CACHE, new_role, new_host);
    entries.extend(hosts_of_role(Role::Parent, FIRST_PARENT, new_role, new_host));
    entries
}

fn hosts_of_role(role: Role, first: u64, new_role: Role, new_host: NewHost) -> Vec<EndpointEntry> {
    let mut entries = Vec::new();
    for index in 0..=OTHER_HOSTS {
        let is_new = role == new_role && index == 0;
        if is_new && new_host == NewHost::Unlisted {
            continue;
        }
        entries.push(endpoint_entry(first + index, role, LINK_WEIGHT, is_new.then_some(START)));
    }
    entries
}
