//! The warm-up of a cache or a parent that has just started with an empty cache: the attempts that all dispatchers of a
//! fleet together send to it, and whether they exceed what it tolerates.

use crate::deployment::{endpoint_entry, STREAM_KB_PER_S};
use crate::fleet::{FleetOptions, FleetSimulation, HostResponse, SentAttempt};
use crate::slow_start_host::SlowStartHost;
use rockflow::{CacheStatus, EndpointEntry, Event, HostId, ListScope, Outcome, Role};
use std::time::Duration;

/// The weight of every host: the number of simultaneous transfers at full rate.
const LINK_WEIGHT: f64 = 8.0;
/// The number of hosts of each role besides the new one.
const OTHER_HOSTS: u64 = 3;
/// The lowest host number of the caches. The new cache has it if the new host is a cache.
const FIRST_CACHE: u64 = 0;
/// The lowest host number of the parents. The new parent has it if the new host is a parent.
const FIRST_PARENT: u64 = 100;
/// When the new host starts.
const START: Duration = Duration::from_secs(10);
/// When the simulation ends.
const END: Duration = Duration::from_secs(22);
/// The time from the start of the new host to the restart of dispatchers.
const RESTART_AFTER: Duration = Duration::from_secs(4);
/// The time that every attempt takes.
const RESPONSE_TIME: Duration = Duration::from_millis(60);

/// The usual value of [`WarmUpCase::request_interval`].
pub const REQUEST_INTERVAL: Duration = Duration::from_millis(2);

/// How requests are distributed over the dispatchers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Traffic {
    /// Every dispatcher receives the mean rate of requests.
    Even,
    /// One dispatcher in five receives three times the mean rate, each other one half of it.
    Uneven,
}

/// Whether dispatchers restart while the new host warms up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Restarts {
    /// No dispatcher restarts.
    None,
    /// Seven dispatchers in ten restart and retain only the endpoint list.
    Most,
}

/// The parameters of one simulation.
#[derive(Clone, Copy, Debug)]
pub struct WarmUpCase {
    /// The role of the new host: cache or parent.
    pub role: Role,
    /// The size of every response, in kB.
    pub size_kb: f64,
    /// How requests are distributed over the dispatchers.
    pub traffic: Traffic,
    /// The time from the start of the new host within which the dispatchers are informed of it, each at a random moment.
    /// Zero: all are informed at its start.
    pub notice_spread: Duration,
    /// Whether dispatchers restart while the new host warms up.
    pub restarts: Restarts,
    /// The mean time between two requests in the whole fleet.
    pub request_interval: Duration,
}

/// The attempts that used the new host, compared with what it tolerates.
#[derive(Clone, Debug)]
pub struct WarmUpResult {
    /// The time of each attempt that was sent to the new host or named it as the source, in ascending order.
    pub sent: Vec<Duration>,
    /// The result of [`SlowStartHost::max_excess`].
    pub max_excess: f64,
    /// The result of [`SlowStartHost::max_share_of_bound`].
    pub max_share_of_bound: f64,
}

/// Whether the new host is on the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NewHost {
    Unlisted,
    Listed,
}

/// Simulates one case with the given number of dispatchers. The same seed yields the same result.
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

/// Schedules the events of one dispatcher: its start, the listing of the new host, its requests and its restart.
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

    let informed_at = START + case.notice_spread.mul_f64(fleet.rng.rand_float());
    let mut entries = hosts(case.role, NewHost::Listed);
    entries.retain(|entry| entry.host == new_host);
    fleet.deliver(informed_at, dispatcher, Event::EndpointsListed { scope: ListScope::Changes, entries });

    let phase = fleet.rng.rand_float();
    let dispatcher_interval = case.request_interval * dispatchers as u32;
    fleet.start_requests(START.mul_f64(0.5) + dispatcher_interval.mul_f64(phase), dispatcher);
    if case.restarts == Restarts::Most && dispatcher % 10 < 7 {
        fleet.restart_dispatcher(START + RESTART_AFTER, dispatcher, hosts(case.role, NewHost::Listed));
    }
}

/// Responds as hosts with empty caches: an attempt for a cached object only is a miss, and any other attempt fills the
/// object.
fn respond(sent: &SentAttempt) -> HostResponse {
    let (outcome, cache_status) = if sent.is_cached_only() {
        (Outcome::Miss, CacheStatus::Unknown)
    } else {
        (Outcome::Succeeded, CacheStatus::Filled)
    };
    HostResponse { outcome, cache_status, duration: RESPONSE_TIME }
}

/// The entries of all hosts of a case.
fn hosts(new_role: Role, new_host: NewHost) -> Vec<EndpointEntry> {
    let mut entries = hosts_of_role(Role::Cache, FIRST_CACHE, new_role, new_host);
    entries.extend(hosts_of_role(Role::Parent, FIRST_PARENT, new_role, new_host));
    entries
}

/// The entries of the hosts of one role, numbered from `first`.
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
