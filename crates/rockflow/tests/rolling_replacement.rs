//! Replaces all caches of a location within seven seconds, while each dispatcher is notified of the changes late and in
//! a different order.
//!
//! Guards against lost requests and overload during a rolling replacement: every request gets one final answer in time,
//! no attempt goes to a host that the dispatcher knows to drain, no new host is overloaded, and requests succeed again
//! once the last change of the list has arrived.

use rockflow::{CacheStatus, EndpointEntry, Event, HostId, ListScope, ObjectId, Outcome, Readiness, Role};
use rockflow_routing_simulation::{
    endpoint_entry, FinalAnswerKind, FleetOptions, FleetSimulation, HostResponse, SentAttempt, SlowStartHost,
    DEADLINE, STREAM_KB_PER_S,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use test_case::test_case;

const DISPATCHERS: usize = 30;
const CACHES: u64 = 6;
/// The host id of the first new cache; the successor of cache `n` has this id plus `n`.
const FIRST_NEW_CACHE: u64 = 50;
/// The capacity of a cache's link, in transfers at full rate.
const LINK_WEIGHT: f64 = 6.0;
const SIZE_KB: f64 = 50.0;
const OBJECTS: u64 = 400;
const REQUEST_INTERVAL: Duration = Duration::from_millis(150);
const RESPONSE_TIME: Duration = Duration::from_millis(60);
const MISS_TIME: Duration = Duration::from_millis(2);
const REFUSAL_TIME: Duration = Duration::from_millis(1);
/// When the replacement of the first cache begins. By then the fleet is in a steady state.
const REPLACEMENTS_START: Duration = Duration::from_secs(20);
/// Time between the replacements of two successive caches.
const REPLACEMENT_INTERVAL: Duration = Duration::from_millis(1100);
/// Time from the start of a cache's drain until it is gone.
const DRAIN_TIME: Duration = Duration::from_millis(700);
/// Time from when a cache is gone until its successor starts.
const START_DELAY: Duration = Duration::from_millis(400);
/// The longest time until a dispatcher is notified of a change.
const MAX_NOTIFICATION_DELAY: Duration = Duration::from_secs(4);
/// When every dispatcher has been notified of the last change: the last replacement begins within 6 s, and its
/// successor starts within another 2 s.
const LAST_NOTIFICATION: Duration =
    Duration::from_secs(REPLACEMENTS_START.as_secs() + 6 + 2 + MAX_NOTIFICATION_DELAY.as_secs());
const SIMULATION_END: Duration = Duration::from_secs(LAST_NOTIFICATION.as_secs() + 15);

/// When dispatchers are notified of a change.
#[derive(Clone, Copy, PartialEq)]
enum NotificationTiming {
    Immediate,
    /// After a random delay, drawn separately for each dispatcher and change.
    Delayed,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct HostAtDispatcher {
    dispatcher: usize,
    host: HostId,
}

struct Simulation {
    fleet: FleetSimulation,
    /// When a dispatcher was notified that a host drains.
    drain_notified_at: BTreeMap<HostAtDispatcher, Duration>,
}

/// An entry of the endpoint list that changes at a time.
struct Change {
    at: Duration,
    entry: EndpointEntry,
}

/// When a cache starts to drain.
fn drain_start(cache: u64) -> Duration {
    REPLACEMENTS_START + REPLACEMENT_INTERVAL * cache as u32
}

/// When the successor of a cache starts.
fn successor_start(cache: u64) -> Duration {
    drain_start(cache) + DRAIN_TIME + START_DELAY
}

fn old_cache(cache: u64) -> EndpointEntry {
    endpoint_entry(cache, Role::Cache, LINK_WEIGHT, None)
}

/// The changes of the endpoint list by which a cache is replaced, in order of time.
fn changes(cache: u64) -> [Change; 3] {
    let old = |readiness| EndpointEntry { readiness, ..old_cache(cache) };
    let start = successor_start(cache);
    let successor = endpoint_entry(FIRST_NEW_CACHE + cache, Role::Cache, LINK_WEIGHT, Some(start));
    [
        Change { at: drain_start(cache), entry: old(Readiness::Draining) },
        Change { at: drain_start(cache) + DRAIN_TIME, entry: old(Readiness::Gone) },
        Change { at: start, entry: successor },
    ]
}

/// Whether a cache is running at a time.
fn is_up(host: HostId, at: Duration) -> bool {
    if host.0 < CACHES {
        at < drain_start(host.0) + DRAIN_TIME
    } else {
        at >= successor_start(host.0 - FIRST_NEW_CACHE)
    }
}

/// The simulated caches. A copy that was filled once stays cached.
#[derive(Default)]
struct Caches {
    copies: BTreeSet<(HostId, ObjectId)>,
}

impl Caches {
    fn respond(&mut self, sent: &SentAttempt) -> HostResponse {
        let host = sent.attempt.host;
        let (outcome, cache_status, duration) = if !is_up(host, sent.at) {
            (Outcome::ConnectFailed, CacheStatus::Unknown, REFUSAL_TIME)
        } else if self.copies.contains(&(host, sent.object)) {
            (Outcome::Succeeded, CacheStatus::Hit, RESPONSE_TIME)
        } else if sent.is_cached_only() {
            (Outcome::Miss, CacheStatus::Unknown, MISS_TIME)
        } else {
            self.copies.insert((host, sent.object));
            (Outcome::Succeeded, CacheStatus::Filled, RESPONSE_TIME)
        };
        HostResponse { outcome, cache_status, duration }
    }
}

impl Simulation {
    fn run(timing: NotificationTiming, seed: u64) -> Self {
        let fleet = FleetSimulation::new(FleetOptions {
            seed,
            dispatchers: DISPATCHERS,
            request_interval: REQUEST_INTERVAL,
            mean_size_kb: SIZE_KB,
            object_count: Some(OBJECTS),
        });
        let mut simulation = Simulation { fleet, drain_notified_at: BTreeMap::new() };
        let parents = (100..104).map(|id| endpoint_entry(id, Role::Parent, 4.0 * LINK_WEIGHT, None));
        let hosts: Vec<EndpointEntry> = (0..CACHES).map(old_cache).chain(parents).collect();
        for dispatcher in 0..DISPATCHERS {
            simulation.fleet.restart_dispatcher(Duration::ZERO, dispatcher, hosts.clone());
            let start_offset = simulation.fleet.rng.rand_float();
            simulation.fleet.start_requests(REQUEST_INTERVAL.mul_f64(start_offset), dispatcher);
            for cache in 0..CACHES {
                simulation.notify_of_replacement(timing, dispatcher, cache);
            }
        }
        let mut caches = Caches::default();
        simulation.fleet.run(SIMULATION_END, |sent| caches.respond(sent));
        simulation
    }

    /// Schedules the notifications of one replacement at a dispatcher. They arrive in order; relative to those of other
    /// replacements the order is random.
    fn notify_of_replacement(&mut self, timing: NotificationTiming, dispatcher: usize, cache: u64) {
        let mut notified_at = REPLACEMENTS_START;
        for Change { at, entry } in changes(cache) {
            let delay = match timing {
                NotificationTiming::Immediate => Duration::ZERO,
                NotificationTiming::Delayed => MAX_NOTIFICATION_DELAY.mul_f64(self.fleet.rng.rand_float()),
            };
            notified_at = notified_at.max(at + delay);
            if entry.readiness == Readiness::Draining {
                self.drain_notified_at.insert(HostAtDispatcher { dispatcher, host: entry.host }, notified_at);
            }
            let event = Event::EndpointsListed { scope: ListScope::Changes, entries: vec![entry] };
            self.fleet.deliver(notified_at, dispatcher, event);
        }
    }

    /// The share of successes among the requests that arrived from `from` until before `to`.
    fn success_rate(&self, from: Duration, to: Duration) -> f64 {
        let requests = || self.fleet.requests.values().filter(|request| (from..to).contains(&request.at));
        let succeeded = requests().filter(|request| request.has_answer(FinalAnswerKind::Succeeded));
        succeeded.count() as f64 / requests().count() as f64
    }

    fn assert_one_final_answer_in_time(&self, seed: u64) {
        for request in self.fleet.requests.values().filter(|request| request.at + DEADLINE < SIMULATION_END) {
            let [answer] = request.final_answers[..] else { panic!("seed {seed}: {request:?}") };
            assert!(answer.at <= request.at + DEADLINE, "seed {seed}: {request:?}");
        }
    }

    fn assert_nothing_sent_to_known_drains(&self, seed: u64) {
        for sent in &self.fleet.sent {
            let key = HostAtDispatcher { dispatcher: sent.dispatcher, host: sent.attempt.host };
            let notified_at = self.drain_notified_at.get(&key);
            assert!(notified_at.is_none_or(|notified_at| sent.at < *notified_at), "seed {seed}: {sent:?}");
        }
    }

    /// The highest work that a new cache received in a window, relative to the work that it tolerates.
    fn max_relative_work_of_new_caches(&self) -> f64 {
        let relative_work = |cache: u64| {
            let started = successor_start(cache);
            let host = HostId(FIRST_NEW_CACHE + cache);
            let sent = self.fleet.sent.iter().filter(|sent| sent.attempt.host == host && sent.at >= started);
            let sent: Vec<Duration> = sent.map(|sent| sent.at).collect();
            let attempt_s = SIZE_KB / STREAM_KB_PER_S;
            SlowStartHost { started, weight: LINK_WEIGHT, attempt_s }.max_relative_work(&sent)
        };
        (0..CACHES).map(relative_work).fold(0.0, f64::max)
    }
}

#[test_case(NotificationTiming::Immediate; "notified immediately")]
#[test_case(NotificationTiming::Delayed; "notified late, each dispatcher in a different order")]
fn replacing_all_caches_fails_few_requests_and_only_temporarily(timing: NotificationTiming) {
    for seed in 1..=5 {
        let simulation = Simulation::run(timing, seed);
        simulation.assert_one_final_answer_in_time(seed);
        simulation.assert_nothing_sent_to_known_drains(seed);
        let max_work = simulation.max_relative_work_of_new_caches();
        let last_notification = if timing == NotificationTiming::Delayed {
            LAST_NOTIFICATION
        } else {
            LAST_NOTIFICATION - MAX_NOTIFICATION_DELAY
        };
        let before = simulation.success_rate(REPLACEMENTS_START / 2, REPLACEMENTS_START);
        let during = simulation.success_rate(REPLACEMENTS_START, last_notification);
        let after = simulation.success_rate(last_notification + DEADLINE, SIMULATION_END - DEADLINE);
        println!(
            "seed {seed}: {before:.3} succeeded before, {during:.3} during, {after:.3} after; \
             relative work {max_work:.2}"
        );
        assert!(before > 0.99 && after > 0.99, "seed {seed}: {before} before, {after} after");
        // At their start, the new caches together tolerate three tenths of the requested work.
        assert!(during > 0.85, "seed {seed}: {during} during");
        assert!(
            (0.3..=1.0).contains(&max_work),
            "seed {seed}: a new cache received {max_work} times the work that it tolerates"
        );
    }
}
