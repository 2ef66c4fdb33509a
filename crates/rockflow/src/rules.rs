//! All decisions of rockflow, with their tables and tuned values.
//!
//! A caller makes one `Dispatcher` from the told facts and a seed, hands each `Event` with its time to
//! `Dispatcher::handle`, and carries out the `Action`s that come back, in order. An event updates what is
//! known, then what is wanted; `emit` alone turns the difference to what is present into actions.

use crate::{
    Action, Attempt, AttemptEnd, AttemptNumber, CachePriority, CacheStatus, CacheStatusDetail, Class,
    ClassId, DeploymentConfig, Effect, EndpointEntry, Event, GroupId, HostId, HostStatus, KeyScope,
    ListScope, LocationId, ObjectId, Outcome, Readiness, Request, RequestId, Role, SlowStart, TimerId,
    WeightMeaning,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// Memory of what is asked for, over the longest outer limit; that of health is the limit itself.
const POPULARITY_MEMORY: f64 = 4.0;
/// An object is hot when its share of the traffic reaches this part of an even share for each cache.
const HOT_SHARE: f64 = 0.15;
const SEEN_AGAIN: f64 = 1.2;
/// Caches that a hot object reaches, fewer where that would be all.
const HOT_WIDTH: usize = 2;
/// A host is avoided from this many recent failures on, if they are this share of its answers.
const SICK_FROM: f64 = 2.0;
const SICK_SHARE: f64 = 0.25;
/// How many times worse its odds must be than the best of its like: what strikes all alike lies behind them.
const SICK_ODDS: f64 = 2.0;
/// Share of the requests for which an avoided host is first in hash order that it is tried with.
const TRIAL_SHARE: f64 = 0.25;
/// Part of a cold host's budget that a decaying sum over its span may hold: at most twice that in any span.
const COLD_PART: f64 = 0.4;
/// In-flight slots that a fresh cache gains with each answer.
const FRESH_GAIN: f64 = 0.5;
/// Load, over what a cache's link carries at full pace, up to which the hash order stands.
const CALM_LOAD: f64 = 2.0;
/// Standard deviations by which a part of a cache's load may stand out by chance.
const CHANCE_PART: f64 = 1.0;
/// Memory of the time that hits take, over the longest outer limit; the part of it taken as at full pace.
const SLOW_MEMORY: f64 = 0.2;
const SLOW_PRIOR: f64 = 0.2;
/// Part of the time to the due time that a crowded cache may be expected to take.
const CROWD_PART: f64 = 0.8;
/// A request is large from so many times its class's mean on. The large are starved once their answered share is
/// under this part of the class's.
const LARGE_FROM: f64 = 2.0;
const LARGE_SHARE: f64 = 0.6;
/// Share of late answers at which fills are scarce; their number then starts at this part of those out. A
/// round of late ones takes the next part of it; the least that is let out is a share of the fills asked for.
const SCARCE_SHARE: f64 = 0.15;
const SCARCE_START: f64 = 0.5;
const FILL_CUT: f64 = 0.5;
const FILL_LEAST: f64 = 0.1;
/// How long fills stay scarce after the last late one, over the longest outer limit.
const SCARCE_HOLD: f64 = 0.3;
/// Sending times (mean and deviations where untold) and parts of the due time that an ordinary attempt takes.
const ATTEMPT_SENDING: f64 = 1.25;
const ATTEMPT_FIXED: f64 = 0.5;
const ATTEMPT_DEVIATIONS: f64 = 3.0;
/// Part of the due time that the held-copy retry is left besides its sending.
const RETRY_FIXED: f64 = 0.2;
/// Attempts that a request may take in all, over those that the told limit lets begin.
const UNBEGUN_ATTEMPTS: usize = 2;
/// Part of the time a list may be relied on after which it is asked for again, once to twice.
const ASK_AGAIN: f64 = 0.1;
const SUBSCRIPTION: TimerId = TimerId(0);

/// A sum that fades over its memory; brought up to date when it is read.
#[derive(Clone, Copy, Debug)]
struct Decaying {
    sum: f64,
    at: Duration,
    memory: f64,
}

impl Decaying {
    fn over(memory: Duration) -> Self {
        Decaying { sum: 0.0, at: Duration::ZERO, memory: memory.as_secs_f64().max(1e-6) }
    }

    fn read(&self, now: Duration) -> f64 {
        self.sum * libm::exp(-now.saturating_sub(self.at).as_secs_f64() / self.memory)
    }

    fn add(&mut self, now: Duration, amount: f64) {
        (self.sum, self.at) = ((self.read(now) + amount).max(0.0), now);
    }
}

/// What differs by class: the told figures and the sending times seen.
#[derive(Debug)]
struct Row {
    told: Class,
    /// How many, their sum and the sum of their squares.
    sending: [Decaying; 3],
    /// Asked and served: of all, and of the large.
    all: [Decaying; 2],
    large: [Decaying; 2],
}

#[derive(Debug)]
struct Host {
    listing: EndpointEntry,
    cold: SlowStart,
    out: usize,
    good: Decaying,
    bad: Decaying,
    /// Sending time asked of it, against its budget while it is cold.
    asked: Decaying,
    answers_since_start: f64,
    /// Time that hits took, and their sending time.
    hits: [Decaying; 2],
    /// When it could not be reached, and is taken to have started anew.
    restarted: Option<Duration>,
}

/// What an attempt is for: the ordinary path, a look at what is held and fresh, or a held copy within the grace.
#[derive(Clone, Copy, Debug, PartialEq)]
enum AttemptKind {
    Fetch,
    Look,
    Held,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Present {
    Unsent,
    Out,
    CalledOff,
    /// Whether it may have run.
    Over(bool),
}

#[derive(Debug)]
struct AttemptState {
    plan: Attempt,
    aim: AttemptKind,
    present: Present,
    sent: Duration,
    /// Where its source is.
    from: Option<LocationId>,
}

#[derive(Debug)]
struct Open {
    request: Request,
    due: Duration,
    ends: Duration,
    /// Drawn by chance, for fills let out by lot.
    lot: f64,
    /// Sending time, told or the class's mean; how long an ordinary attempt takes, a fill included.
    work: f64,
    ordinary: Duration,
    attempts: Vec<AttemptState>,
    /// Attempts that ended before a byte of them went out.
    unbegun: usize,
    begun: bool,
    /// Hosts that failed this request, as host or as source; whether the origin did, which no source mends.
    failed: Vec<HostId>,
    barren: bool,
    /// The final answer wanted and not yet given; whether none is owed any more.
    answer: Option<Action>,
    over: bool,
}

impl Open {
    fn had(&self, aim: AttemptKind) -> usize {
        self.attempts.iter().filter(|attempt| attempt.aim == aim).count()
    }

    /// Hosts of attempts of which it is not known that they never ran, and since when; a former holder's too.
    fn maybe_ran(&self) -> impl Iterator<Item = (HostId, Duration)> + '_ {
        let may = |attempt: &&AttemptState| attempt.present != Present::Over(false);
        let own = self.attempts.iter().filter(may).map(|attempt| (attempt.plan.host, attempt.sent));
        own.chain(self.request.previous_attempts.iter().map(|attempt| (attempt.host, attempt.sent)))
    }
}

fn never_ran(end: &AttemptEnd) -> bool {
    let told = [Outcome::Rejected, Outcome::ConnectFailed, Outcome::NotSent, Outcome::Miss];
    !end.first_byte_sent || told.contains(&end.outcome)
}

/// Guards against fills that crowd a full link or a slow source: when they come late, their number is cut
/// till those let out come in time; below one they are let out by lot, as one for each of many dispatchers
/// can be too many. Harm: a burst of answers that are late for another cause costs some misses.
#[derive(Debug)]
struct Gate {
    out: usize,
    limit: f64,
    late: Decaying,
    timely: Decaying,
    last_late: Option<Duration>,
}

impl Gate {
    fn new(health: Decaying) -> Self {
        Gate { out: 0, limit: 1.0, late: health, timely: health, last_late: None }
    }

    /// Whether fills have lately come late. Where few are let out, few can tell: then it lasts longer.
    fn scarce(&self, now: Duration) -> bool {
        let hold = Duration::from_secs_f64(self.late.memory * SCARCE_HOLD / self.limit.min(1.0));
        self.last_late.is_some_and(|late| now < late + hold)
    }

    fn shut(&self, now: Duration, lot: f64) -> bool {
        self.scarce(now) && (self.out as f64 >= self.limit.max(1.0) || lot > self.limit)
    }

    fn weigh(&mut self, now: Duration, in_time: bool) {
        if in_time {
            self.timely.add(now, 1.0);
            self.limit += self.limit.min(1.0 / self.limit);
            return;
        }
        self.late.add(now, 1.0);
        let (late, timely) = (self.late.read(now), self.timely.read(now));
        if self.scarce(now) {
            self.limit *= 1.0 - FILL_CUT / self.limit.max(1.0);
        } else if late >= SICK_FROM && late > SCARCE_SHARE * (late + timely) {
            self.limit = (self.out as f64 * SCARCE_START).max(1.0);
        } else {
            return;
        }
        self.limit = self.limit.max(FILL_LEAST);
        self.last_late = Some(now);
    }
}

/// What fills from the sources of one location come through.
#[derive(Debug)]
struct Way {
    gate: Gate,
    late: Decaying,
    timely: Decaying,
}

impl Way {
    fn new(health: Decaying) -> Self {
        Way { gate: Gate::new(health), late: health, timely: health }
    }

    /// Whether fills from there are known to come in time.
    fn well(&self, now: Duration) -> bool {
        let (late, timely) = (self.late.read(now), self.timely.read(now));
        late + timely >= SICK_FROM && late <= SCARCE_SHARE * (late + timely)
    }
}

pub struct Dispatcher {
    told: DeploymentConfig,
    rows: Vec<Row>,
    hosts: BTreeMap<HostId, Host>,
    listed: bool,
    open: BTreeMap<RequestId, Open>,
    seen: BTreeMap<(ObjectId, u32), Decaying>,
    traffic: Decaying,
    /// By role: the hosts that this dispatcher may use, and the best odds of a good answer among them.
    near: [Vec<HostId>; 3],
    best: [f64; 3],
    health: Decaying,
    /// What comes over the location's link from a source, and what is fetched for a parent that lacks it.
    link: Gate,
    depth: Gate,
    /// By the location of the source, no more than there are told: what strikes fills from there alone.
    ways: BTreeMap<LocationId, Way>,
    /// When an object, or a whole group, was purged.
    purges: BTreeMap<(Option<GroupId>, Option<ObjectId>), Duration>,
    chance: oorandom::Rand64,
    now: Duration,
    actions: Vec<Action>,
}

impl Dispatcher {
    pub fn new(told: DeploymentConfig, seed: u64) -> Self {
        let longest = told.classes.iter().map(|p| p.deadline).max().unwrap_or(Duration::from_secs(1));
        let popularity = Decaying::over(longest.mul_f64(POPULARITY_MEMORY));
        let health = Decaying::over(longest);
        let row = |told: &Class| Row {
            told: told.clone(),
            sending: [popularity; 3],
            all: [popularity; 2],
            large: [popularity; 2],
        };
        Dispatcher {
            rows: told.classes.iter().map(row).collect(),
            told,
            hosts: BTreeMap::new(),
            listed: false,
            open: BTreeMap::new(),
            seen: BTreeMap::new(),
            traffic: popularity,
            near: [const { Vec::new() }; 3],
            best: [0.0; 3],
            health,
            link: Gate::new(health),
            depth: Gate::new(health),
            ways: BTreeMap::new(),
            purges: BTreeMap::new(),
            chance: oorandom::Rand64::new(u128::from(seed)),
            now: Duration::ZERO,
            actions: Vec::new(),
        }
    }

    pub fn start(&mut self) -> Vec<Action> {
        self.told.endpoint_list_max_age.map(|_| Action::Subscribe { on: true }).into_iter().collect()
    }

    /// Takes one event and returns what is to be done, in order.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        match event {
            Event::EndpointsListed { scope, entries } => self.listed(scope, entries),
            Event::RequestArrived(request) => self.asked(request),
            Event::ResponseStarted { request, .. } => {
                self.open.entry(request).and_modify(|open| open.begun = true);
            }
            Event::AttemptEnded(end) => self.attempt_ended(end),
            Event::ClientDisconnected(request) => {
                self.open.entry(request).and_modify(|open| open.over = true);
                self.emit(request);
            }
            Event::ShutdownStarted { deadline: by } => {
                let earlier = |at: &mut Duration| *at = (*at).min(by);
                self.open.values_mut().flat_map(|open| [&mut open.ends, &mut open.due]).for_each(earlier);
            }
            Event::TimerFired(_) => self.actions = self.start(),
            Event::Purged { object, group, age } => self.purged(object, group, age),
            Event::HealthChecked { .. } | Event::MessageReceived { .. } => {}
        }
        std::mem::take(&mut self.actions)
    }

    /// What is held of each host. It changes nothing.
    pub fn views(&self) -> Vec<HostStatus> {
        let view = |(id, host): (&HostId, &Host)| {
            let (good, bad) = (host.good.read(self.now), host.bad.read(self.now));
            let started = host.listing.started.max(host.restarted);
            let cold_until = started.map(|at| at + host.cold.ramp).filter(|_| self.share(host) < 1.0);
            let health = if good + bad > 0.0 { good / (good + bad) } else { 1.0 };
            HostStatus {
                host: *id,
                in_flight: host.out,
                ejected: self.sick(*id),
                health,
                warming_until: cold_until,
            }
        };
        self.hosts.iter().map(view).collect()
    }

    fn listed(&mut self, scope: ListScope, hosts: Vec<EndpointEntry>) {
        if scope == ListScope::Failed {
            // Guards against a lost subscription: an old list counts as told. Asked again well before.
            let within = self.told.endpoint_list_max_age.unwrap_or_default();
            let span = within.mul_f64(ASK_AGAIN * (1.0 + self.chance.rand_float()));
            return self.actions.push(Action::SetTimer { timer: SUBSCRIPTION, delay: span });
        }
        if scope != ListScope::Changes {
            self.hosts.retain(|id, _| hosts.iter().any(|listing| listing.host == *id));
        }
        for listing in hosts {
            let id = listing.host;
            if listing.readiness == Readiness::Gone {
                self.hosts.remove(&id);
                continue;
            }
            let known = self.hosts.remove(&id);
            let restarted = known.as_ref().is_none_or(|host| host.listing.started != listing.started);
            let mut host = known.unwrap_or_else(|| self.new_host(&listing));
            if restarted {
                (host.good, host.bad, host.restarted) = (self.health, self.health, None);
                host.answers_since_start = 0.0;
            }
            if listing.role != Role::Cache {
                self.ways.entry(listing.location).or_insert(Way::new(self.health));
            }
            host.listing = listing;
            self.hosts.insert(id, host);
            if !self.listed {
                // Guards against a restarted dispatcher spending a cold host's budget a second time.
                let (now, budget) = (self.now, self.cold_budget(id).unwrap_or(0.0));
                self.hosts.entry(id).and_modify(|host| host.asked.add(now, budget));
            }
        }
        self.listed = true;
        for role in [Role::Cache, Role::Parent, Role::Origin] {
            let used = |at: &EndpointEntry| role != Role::Cache || at.location == self.told.location;
            let here = |host: &&Host| host.listing.role == role && used(&host.listing);
            let near = self.hosts.values().filter(here).map(|host| host.listing.host);
            self.near[role as usize] = near.collect();
        }
    }

    fn new_host(&self, listing: &EndpointEntry) -> Host {
        let health = self.health;
        let cache = listing.role == Role::Cache;
        let cold = if cache { self.told.cache_slow_start } else { self.told.parent_slow_start };
        Host {
            listing: listing.clone(),
            cold,
            out: 0,
            good: health,
            bad: health,
            asked: Decaying::over(cold.window),
            answers_since_start: 0.0,
            hits: [Decaying { memory: health.memory * SLOW_MEMORY, ..health }; 2],
            restarted: None,
        }
    }

    fn purged(&mut self, object: Option<ObjectId>, group: Option<GroupId>, ago: Duration) {
        let (now, done) = (self.now, self.told.purge_window);
        self.purges.retain(|_, at| now.saturating_sub(*at) <= done);
        // A full table folds into groups, or into all where the group is untold: stricter, never laxer.
        let object = object.filter(|_| self.purges.len() < self.told.max_tracked);
        let at = self.purges.entry((group.filter(|_| object.is_none()), object)).or_default();
        *at = now.saturating_sub(ago).max(*at);
    }

    /// The oldest copy that a purge leaves acceptable, while older ones can exist.
    fn purge_cap(&self, request: &Request) -> Option<Duration> {
        let names = [(None, None), (Some(request.group), None), (None, Some(request.object))];
        let age = self.now.saturating_sub(*names.iter().filter_map(|name| self.purges.get(name)).max()?);
        (age <= self.told.purge_window).then(|| age.max(Duration::from_micros(1)))
    }

    /// Sending time of a class: the mean, and what one of untold size takes at most in the ordinary case.
    fn sending(&self, class: ClassId) -> (f64, f64) {
        let row = &self.rows[class.0];
        let [attempts, time, squares] = row.sending.map(|sum| sum.read(self.now));
        if attempts < 0.5 {
            // Nothing seen yet: the share of the due time that its transfer_stretch leaves to sending.
            let guess = row.told.latency_objective.as_secs_f64() / (1.0 + row.told.transfer_stretch);
            return (guess, guess * (1.0 + ATTEMPT_DEVIATIONS));
        }
        let mean = time / attempts;
        (mean, mean + ATTEMPT_DEVIATIONS * libm::sqrt((squares / attempts - mean * mean).max(0.0)))
    }

    fn learn_sending(&mut self, class: ClassId, seconds: f64) {
        let sums = self.rows[class.0].sending.iter_mut();
        sums.zip([1.0, seconds, seconds * seconds]).for_each(|(sum, amount)| sum.add(self.now, amount));
    }

    /// Books a request as asked (0) or served (1).
    fn book(&mut self, class: ClassId, work: f64, what: usize) {
        let large = work >= LARGE_FROM * self.sending(class).0;
        let row = &mut self.rows[class.0];
        row.all[what].add(self.now, 1.0);
        row.large[what].add(self.now, f64::from(u8::from(large)));
    }

    /// Guards against the largest of a class being turned away whenever much is asked for, as they would come late:
    /// while they are answered far less often than the rest they are taken on the terms of a mean one. It also holds
    /// where a link grew slow. Harm: some come late, and crowd others.
    fn starved(&self, class: ClassId) -> bool {
        let row = &self.rows[class.0];
        let [[asked, served], [large, answered]] =
            [row.all, row.large].map(|sums| sums.map(|sum| sum.read(self.now)));
        large >= SICK_FROM && answered * asked < LARGE_SHARE * served * large
    }

    /// Share of its link that a host can surely give now; told figures only.
    fn share(&self, host: &Host) -> f64 {
        let started = host.listing.started.max(host.restarted).filter(|_| host.listing.role != Role::Origin);
        let ramp = host.cold.ramp.as_secs_f64().max(1e-6);
        let age = |started: Duration| self.now.saturating_sub(started).as_secs_f64() / ramp;
        started
            .map_or(1.0, |at| (host.cold.initial_share + (1.0 - host.cold.initial_share) * age(at)).min(1.0))
    }

    /// Transfers at full pace that a host's link fits, one where untold, for this dispatcher's part.
    fn lanes(&self, host: &Host) -> f64 {
        let location_dispatchers = if host.listing.role == Role::Cache {
            self.told.location_dispatchers
        } else {
            self.told.dispatcher_count
        };
        let link = if self.told.weight_meaning == WeightMeaning::LinkCapacity {
            host.listing.weight.max(1.0)
        } else {
            1.0
        };
        link / location_dispatchers.max(1) as f64
    }

    /// This dispatcher's part of what may be sent to a cold host within its span, in sending time.
    fn cold_budget(&self, id: HostId) -> Option<f64> {
        let (host, cold) = (&self.hosts[&id], self.hosts[&id].cold);
        let whole = cold.overload_multiple * self.share(host) * self.lanes(host) * cold.window.as_secs_f64();
        (self.share(host) < 1.0).then_some(COLD_PART * whole)
    }

    /// Guards cold hosts: within the budget, at a fresh cache under a cap that grows with its answers. Where
    /// a part is less than an attempt, dispatchers take turns by their numbers, a span each, so that a host shared
    /// by many still gets whole attempts, and their sum stays the same.
    fn bears(&self, id: HostId, work: f64) -> bool {
        let host = &self.hosts[&id];
        let Some(budget) = self.cold_budget(id) else { return true };
        // Turns change with the host's share; as powers of two they do so seldom, and those of fewer are among those of
        // more: else each change would deal them anew, and most would get one in the same span.
        let turns = libm::exp2(libm::ceil(libm::log2((work / budget).max(1.0))));
        let turn = (self.now.as_secs_f64() / host.cold.window.as_secs_f64()).floor()
            + self.told.dispatcher_index as f64;
        let cap = (host.cold.initial_share * self.lanes(host)).max(1.0);
        turn % turns < 1.0
            && host.asked.read(self.now) + work <= budget * turns
            && (host.out as f64) < cap + FRESH_GAIN * host.answers_since_start
    }

    /// In flight over what the link carries at present, the attempt to come included; location_dispatchers taken as alike. What
    /// chance may have added is taken off; what the others send shows in how long hits take.
    fn load(&self, id: HostId) -> f64 {
        let host = &self.hosts[&id];
        let others = 1.0 - 1.0 / self.told.location_dispatchers.max(1) as f64;
        // Where the part is less than one transfer, one attempt is no sign of what the others send.
        let chance = CHANCE_PART * libm::sqrt(others) / 2.0 / self.lanes(host).min(1.0);
        let root = libm::sqrt((host.out + 1) as f64 + chance * chance) - chance;
        let [took, work] = host.hits.map(|sum| sum.read(self.now) + SLOW_PRIOR * sum.memory);
        let slow = if others > 0.0 { took / work } else { 0.0 };
        let told = f64::from(u8::from(self.told.weight_meaning == WeightMeaning::LinkCapacity));
        told * (root * root / (self.lanes(host) * self.share(host))).max(slow)
    }

    /// Whether a host fails far more than its like: then the trouble is its own.
    fn sick(&self, id: HostId) -> bool {
        let Some(host) = self.hosts.get(&id) else { return false };
        let (good, bad) = (host.good.read(self.now), host.bad.read(self.now));
        bad >= SICK_FROM
            && bad >= SICK_SHARE * (good + bad)
            && bad * self.best[host.listing.role as usize] > SICK_ODDS * (good + 1.0)
    }

    /// Books to a host's record, and finds the best of its like anew.
    fn mark(&mut self, id: HostId, good: f64, bad: f64) {
        let now = self.now;
        if let Some(host) = self.hosts.get_mut(&id) {
            host.good.add(now, good);
            host.bad.add(now, bad);
            let role = host.listing.role as usize;
            let odds = |id: &HostId| {
                self.hosts.get(id).map_or(0.0, |host| host.good.read(now) / (host.bad.read(now) + 1.0))
            };
            self.best[role] = self.near[role].iter().map(odds).fold(0.0, f64::max);
        }
    }

    /// Ready hosts of a role in the hash order of a part of an object; the same at every dispatcher.
    fn order(&self, role: Role, request: &Request) -> Vec<HostId> {
        let score = |host: &Host| {
            let key = (u128::from(request.object.0) << 32 | u128::from(request.part)).to_be_bytes();
            let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&key, host.listing.host.0);
            let unit = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
            let weight = if self.told.weight_meaning == WeightMeaning::LinkCapacity {
                host.listing.weight.max(1e-3)
            } else {
                1.0
            };
            -weight / libm::log(unit)
        };
        let near = self.near[role as usize].iter().map(|id| &self.hosts[id]);
        let ready = near.filter(|host| host.listing.readiness == Readiness::Ready);
        let mut hosts: Vec<_> = ready.map(|host| (score(host), host.listing.host)).collect();
        hosts.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        hosts.into_iter().map(|(_, id)| id).collect()
    }

    fn asked(&mut self, request: Request) {
        let (now, class) = (self.now, request.class);
        let sized = request.size_kb > 0.0 && self.told.stream_kb_per_s > 0.0;
        let told_work = (request.size_kb / self.told.stream_kb_per_s).min(self.health.memory);
        let (work, usual) = if sized { (told_work, told_work) } else { self.sending(class) };
        if sized {
            self.learn_sending(class, work);
        }
        self.book(class, work, 0);
        self.traffic.add(now, 1.0);
        if self.seen.len() >= self.told.max_tracked {
            self.seen.retain(|_, seen| seen.read(now) > 1.0);
        }
        if self.seen.len() < self.told.max_tracked {
            self.seen
                .entry((request.object, request.part))
                .or_insert(Decaying { sum: 0.0, ..self.traffic })
                .add(now, 1.0);
        }
        let told = &self.rows[class.0].told;
        let (id, ends) = (request.id, now + request.time_left);
        let open = Open {
            request,
            due: (now + told.latency_objective + Duration::from_secs_f64(told.transfer_stretch * work))
                .min(ends),
            ends,
            lot: self.chance.rand_float(),
            work,
            ordinary: Duration::from_secs_f64(ATTEMPT_SENDING * usual)
                + told.latency_objective.mul_f64(ATTEMPT_FIXED),
            attempts: Vec::new(),
            unbegun: 0,
            begun: false,
            failed: Vec::new(),
            barren: false,
            answer: None,
            over: false,
        };
        self.open.insert(id, open);
        self.plan(id);
        self.emit(id);
    }

    /// May one more attempt go to this host, given what earlier attempts may have done?
    fn may_repeat(&self, open: &Open, host: HostId) -> bool {
        match self.rows[open.request.class.0].told.effect {
            Effect::Idempotent => true,
            Effect::AtMostOnce => open.maybe_ran().next().is_none(),
            Effect::IdempotencyKey { scope, .. } => {
                let group = |id: &HostId| {
                    self.hosts.get(id).map(|host| match scope {
                        KeyScope::All => 0,
                        KeyScope::Location => host.listing.location.0,
                        KeyScope::Cell => host.listing.cell.0,
                    })
                };
                let fits = self.repeat_by(open).is_none_or(|by| self.now < by);
                fits && open.maybe_ran().all(|(ran, _)| group(&ran) == group(&host))
            }
        }
    }

    /// When a repeat must have gone out so that it is dropped; none: nothing may have run, or any time will do. Not
    /// to the end of the remembered time: an attempt takes a while.
    fn repeat_by(&self, open: &Open) -> Option<Duration> {
        match self.rows[open.request.class.0].told.effect {
            Effect::IdempotencyKey { deduplication_window, .. } => {
                let until = open.maybe_ran().map(|(_, sent)| sent + deduplication_window).min()?;
                Some(until.saturating_sub(open.ordinary))
            }
            _ => None,
        }
    }

    /// Decides the next attempt of a request that has none out, or its end: what is given up is answered at once.
    fn plan(&mut self, id: RequestId) {
        let Some(open) = self.open.get(&id) else { return };
        let busy = open.attempts.iter().any(|attempt| !matches!(attempt.present, Present::Over(_)));
        if open.over || open.begun || busy {
            return;
        }
        // Guards against a tight limit used up by attempts that never went out; but not without end.
        let had = open.attempts.len() + open.request.previous_attempts.len();
        let left =
            had - open.unbegun < self.told.max_attempts && had < UNBEGUN_ATTEMPTS * self.told.max_attempts;
        let allowed = left && self.now < open.ends;
        let next = allowed.then(|| self.next_attempt(open)).flatten();
        let dismissible = match self.rows[open.request.class.0].told.effect {
            Effect::Idempotent | Effect::IdempotencyKey { scope: KeyScope::All, .. } => true,
            _ => open.maybe_ran().next().is_none(),
        };
        // Spread by chance, so that clients don't come back together.
        let (sent, spread) = (self.now, self.chance.rand_float());
        let pause = self.told.max_retry_after.map(|pause| pause.mul_f64(spread));
        let open = self.open.get_mut(&id).expect("looked up above");
        match next {
            Some((aim, plan)) => {
                let from = plan.source.and_then(|id| self.hosts.get(&id)).map(|host| host.listing.location);
                open.attempts.push(AttemptState { plan, aim, present: Present::Unsent, sent, from });
            }
            None if dismissible => open.answer = Some(Action::Reject { request: id, retry_after: pause }),
            None => open.answer = Some(Action::Fail { request: id }),
        }
    }

    fn next_attempt(&self, open: &Open) -> Option<(AttemptKind, Attempt)> {
        let (request, told) = (&open.request, &self.rows[open.request.class.0].told);
        let graced = told.cacheable && told.grace > Duration::ZERO && open.had(AttemptKind::Held) == 0;
        let failed = open.attempts.last().filter(|attempt| graced && attempt.aim == AttemptKind::Fetch);
        let (host, source, aim) = if let Some(attempt) = failed {
            // The held-copy retry: the same cache, which may hold one, unless the cache is what failed.
            let fit = self.fit(self.order(Role::Cache, request), open, open.work);
            let same = Some(attempt.plan.host).filter(|id| fit.contains(id));
            (same.or_else(|| Some(self.pick_cache(open)?.0))?, None, AttemptKind::Held)
        } else {
            let (host, crowded) = match self.pick_cache(open) {
                Some(pick) => pick,
                // Exception: with no cache of the location ready, straight to where fills come from.
                None if self.told.direct_source_access && self.order(Role::Cache, request).is_empty() => {
                    (self.pick_source(open)?, false)
                }
                None => return None,
            };
            // Exception: while fills are scarce, a look first; only what is missed takes a place for a fill.
            // It asks the parent too, unless the link is full or the parent cold: hits would eat its budget.
            let source = self.pick_source(open);
            let way = source.and_then(|id| self.way(id));
            let gates = [Some(&self.link), way.map(|way| &way.gate)];
            let link = gates.into_iter().flatten().any(|gate| gate.scarce(self.now));
            let depth = self.depth.scarce(self.now);
            let deep = open
                .attempts
                .iter()
                .any(|attempt| attempt.aim == AttemptKind::Look && attempt.plan.source.is_some());
            let afresh = told.cacheable && !crowded && open.had(AttemptKind::Fetch) == 0;
            let cold = source.is_some_and(|id| self.share(&self.hosts[&id]) < 1.0);
            let shallow = afresh && open.had(AttemptKind::Look) == 0 && (link || cold);
            let look = shallow || afresh && depth && !deep && !cold;
            let link_full = gates.into_iter().flatten().any(|gate| gate.shut(self.now, open.lot));
            let full = link_full || !look && self.depth.shut(self.now, open.lot);
            // Exception: a crowded cache is asked only for what it holds; fills would crowd the hits out.
            let bare = told.cacheable && (crowded || full && !shallow) || open.barren;
            match source.filter(|_| !bare) {
                source if look && (shallow || !full) => {
                    let parent = |id: &HostId| !shallow && self.hosts[id].listing.role == Role::Parent;
                    (host, source.filter(parent), AttemptKind::Look)
                }
                Some(source) if source == host => (host, None, AttemptKind::Fetch),
                Some(source) => (host, Some(source), AttemptKind::Fetch),
                None if !graced && !open.attempts.is_empty() => return None,
                None => (host, None, AttemptKind::Held),
            }
        };
        if !self.may_repeat(open, host) || aim != AttemptKind::Fetch && !told.cacheable {
            return None;
        }
        let widest = told.fresh_lifetime + if aim == AttemptKind::Held { told.grace } else { Duration::ZERO };
        let cap = self.purge_cap(request);
        let oldest = (widest > Duration::ZERO).then(|| cap.map_or(widest, |cap| cap.min(widest))).or(cap);
        let attempt = Attempt {
            host,
            source,
            timeout: self.attempt_timeout(open, aim),
            send_by: self.repeat_by(open),
            cache_priority: match self.seen(request) > SEEN_AGAIN {
                _ if !told.cacheable => CachePriority::NoStore,
                true => CachePriority::Medium,
                false => CachePriority::Low,
            },
            max_age: oldest.filter(|_| told.cacheable),
            coalesce: self.told.coalescing && told.cacheable && aim == AttemptKind::Fetch,
            cached_at_source_only: aim == AttemptKind::Look,
            no_store_at_parent: false,
            revalidate: told.cacheable && told.fresh_lifetime > Duration::ZERO && aim == AttemptKind::Fetch,
        };
        Some((aim, attempt))
    }

    /// An attempt's time-out leaves room for a retry, but lets an ordinary attempt finish. Where a held copy can serve
    /// the room is before the due time, else before the client gives up.
    fn attempt_timeout(&self, open: &Open, aim: AttemptKind) -> Option<Duration> {
        let told = &self.rows[open.request.class.0].told;
        let graced =
            told.grace > Duration::ZERO && aim != AttemptKind::Held && open.had(AttemptKind::Held) == 0;
        let until = if graced { open.due } else { open.ends };
        let room = Duration::from_secs_f64(ATTEMPT_SENDING * open.work)
            + told.latency_objective.mul_f64(RETRY_FIXED);
        let room = if aim == AttemptKind::Held { Duration::ZERO } else { room };
        let limit = until.saturating_sub(self.now + room).max(open.ordinary);
        (told.effect == Effect::Idempotent).then(|| limit.min(open.ends.saturating_sub(self.now)))
    }

    /// The cache for an attempt, and whether it is too crowded for a fill.
    fn pick_cache(&self, open: &Open) -> Option<(HostId, bool)> {
        let (request, told) = (&open.request, &self.rows[open.request.class.0].told);
        let (mean, _) = self.sending(request.class);
        let order = self.order(Role::Cache, request);
        let width = self.width(request, order.len());
        let usable = self.fit(order, open, mean);
        let first = usable.iter().copied().take(width);
        let first = first.min_by(|a, b| self.load(*a).total_cmp(&self.load(*b)));
        if let Some(calm) = first.filter(|id| self.load(*id) <= CALM_LOAD) {
            return Some((calm, false));
        }
        // Exception: a crowded cache passes the request on in hash order to one whose link still has room.
        if let Some(idle) = usable.iter().copied().find(|id| self.load(*id) <= 1.0) {
            return Some((idle, false));
        }
        // A sending time learned from answers grows with crowding: half the due time for an untold size.
        let due = told.latency_objective.as_secs_f64();
        let work = if request.size_kb > 0.0 { open.work } else { due * ATTEMPT_FIXED };
        let work = if self.starved(request.class) { work.min(mean) } else { work };
        let most = |part: f64| CROWD_PART * (told.transfer_stretch + part * due / work.max(1e-3));
        first.filter(|id| self.load(*id) <= most(1.0)).map(|id| (id, self.load(id) > most(ATTEMPT_FIXED)))
    }

    fn seen(&self, request: &Request) -> f64 {
        self.seen.get(&(request.object, request.part)).map_or(0.0, |seen| seen.read(self.now))
    }

    /// How many caches an object is spread over: two when this dispatcher sees it often, but never all.
    fn width(&self, request: &Request, caches: usize) -> usize {
        let seen = self.seen(request);
        let hot = seen > SEEN_AGAIN && seen * caches as f64 >= HOT_SHARE * self.traffic.read(self.now);
        let most = if hot { HOT_WIDTH } else { 1 };
        most.min(caches.saturating_sub(1)).max(1)
    }

    /// The first parent in hash order that can serve, else the origin.
    fn pick_source(&self, open: &Open) -> Option<HostId> {
        let (request, mean) = (&open.request, self.sending(open.request.class).0);
        let sources = self.fit(self.order(Role::Parent, request), open, mean);
        let origin = || self.order(Role::Origin, request).into_iter().find(|id| !open.failed.contains(id));
        // Exception: past a location where a fill has no place, in hash order to one whose fills come in time.
        let shut = |id: &HostId| self.way(*id).is_some_and(|way| way.gate.shut(self.now, open.lot));
        let free = |id: &HostId| self.way(*id).is_none_or(|way| !way.gate.scarce(self.now));
        let first = sources.first().copied();
        let other = first.filter(shut).and_then(|_| sources.iter().copied().find(free));
        other.or(first).or_else(origin)
    }

    fn way(&self, source: HostId) -> Option<&Way> {
        self.ways.get(&self.hosts.get(&source)?.listing.location)
    }

    /// Those that can take an attempt now: the well ones, or if there are none the sick. Trials go by lot, to the
    /// first in hash order only: many dispatchers must not be a load of their own.
    fn fit(&self, order: Vec<HostId>, open: &Open, work: f64) -> Vec<HostId> {
        let fits = |id: &HostId| self.bears(*id, work) && !open.failed.contains(id);
        let tried = order.first().copied().filter(|_| (open.lot / TRIAL_SHARE).fract() < TRIAL_SHARE);
        let well = |id: &HostId| !self.sick(*id) || tried == Some(*id);
        let (well, sick): (Vec<_>, Vec<_>) = order.into_iter().filter(fits).partition(well);
        Some(well).filter(|well| !well.is_empty()).unwrap_or(sick)
    }

    fn attempt_ended(&mut self, end: AttemptEnd) {
        let Some(open) = self.open.get_mut(&end.request) else { return };
        let Some(attempt) = open.attempts.get_mut(usize::from(end.attempt.0)) else { return };
        if matches!(attempt.present, Present::Over(_)) {
            return;
        }
        attempt.present = Present::Over(!never_ran(&end));
        let (plan, from) = (attempt.plan, attempt.from);
        open.unbegun += usize::from(!end.first_byte_sent);
        open.over |= end.request_finished;
        let (class, work) = (open.request.class, open.work);
        if end.outcome == Outcome::Succeeded && end.request_finished {
            self.book(class, work, 1);
        }
        let failed = self.judge(&end, plan, from);
        self.open.entry(end.request).and_modify(|open| {
            open.failed.extend(failed);
            open.barren |= end.cache_status == CacheStatus::OriginFailed;
        });
        self.plan(end.request);
        self.emit(end.request);
    }

    /// Books an outcome by what the answer says, and returns what this request should leave out from now on.
    fn judge(&mut self, end: &AttemptEnd, plan: Attempt, from: Option<LocationId>) -> Option<HostId> {
        let now = self.now;
        let open = &self.open[&end.request];
        let (class, in_time, sized) = (open.request.class, now <= open.due, open.request.size_kb > 0.0);
        let answered = matches!(end.outcome, Outcome::Succeeded | Outcome::Miss);
        let untold = self.told.cache_status_detail == CacheStatusDetail::None;
        let (work, took, slow) = (open.work, end.duration.as_secs_f64(), end.duration > open.ordinary);
        if let Some(host) = self.hosts.get_mut(&plan.host) {
            host.out = host.out.saturating_sub(1);
            if end.outcome == Outcome::Succeeded && end.cache_status == CacheStatus::Hit && sized {
                host.hits.iter_mut().zip([took, work]).for_each(|(sum, amount)| sum.add(now, amount));
            }
            if answered {
                host.answers_since_start += 1.0;
            }
        }
        let fill_attempt = plan.source.is_some() && !plan.cached_at_source_only;
        if let Some(way) = from.and_then(|at| self.ways.get_mut(&at)) {
            way.gate.out = way.gate.out.saturating_sub(1);
        }
        self.link.out = self.link.out.saturating_sub(usize::from(plan.source.is_some()));
        self.depth.out = self.depth.out.saturating_sub(usize::from(fill_attempt));
        if end.outcome == Outcome::Succeeded && !(sized && self.told.stream_kb_per_s > 0.0) {
            self.learn_sending(class, end.duration.as_secs_f64());
        }
        // Guards against restarts that the list tells late: what could not be reached may come back cold. One
        // failure will do, as each may see little of a host. Harm: one merely out of reach gets little.
        let lost = match (end.outcome, end.cache_status) {
            (Outcome::ConnectFailed | Outcome::ConnectionLost, _) => Some(plan.host),
            (Outcome::Rejected, CacheStatus::SourceUnreachable) => plan.source,
            _ => None,
        };
        if let Some(host) = lost.and_then(|id| self.hosts.get_mut(&id)) {
            (host.restarted, host.answers_since_start) = (Some(now), 0.0);
        }
        let filled = matches!(end.cache_status, CacheStatus::Filled | CacheStatus::FilledByOrigin);
        let past = plan.source.is_some() && end.cache_status != CacheStatus::Hit;
        let shared = past
            && (end.outcome == Outcome::TimedOut && end.first_byte_sent
                || untold && matches!(end.outcome, Outcome::HostError | Outcome::Rejected));
        let (fill, behind) = (f64::from(u8::from(untold || filled)), f64::from(u8::from(past)));
        let (host, source) = (Some(plan.host), plan.source);
        // Good and bad to the host, good and bad to the source, and what this request leaves out.
        let (good, bad, source_good, source_bad, failed) = match (end.outcome, end.cache_status) {
            // Slow, and nothing tells where: both are marked; what is its own shows beside its like.
            (Outcome::Succeeded, _) if slow => (0.5, 0.5, 0.5 * fill, 0.5 * behind, None),
            (Outcome::Succeeded, _) => (1.0, 0.0, fill, 0.0, None),
            (Outcome::Miss, _) => (1.0, 0.0, 0.0, 0.0, source.filter(|_| fill_attempt)),
            (Outcome::Cancelled, _) => (0.0, 0.0, 0.0, 0.0, None),
            // A connection's fault: the same host, which may hold by now what was spoilt, is asked once more.
            (Outcome::NotSent, _) => (0.0, 0.0, 0.0, 0.0, host.filter(|_| end.attempt.0 > 0)),
            (Outcome::MalformedResponse, _) => (0.0, 1.0, 0.0, 0.0, host.filter(|_| end.attempt.0 > 0)),
            (_, CacheStatus::NoFillCapacity) => (0.0, 0.0, 0.0, 0.0, host),
            // The parent is not at fault, and another would ask the same origin.
            (_, CacheStatus::OriginFailed) => (1.0, 0.0, 0.0, 0.0, None),
            (_, CacheStatus::SourceRejected | CacheStatus::SourceUnreachable | CacheStatus::SourceMiss) => {
                (1.0, 0.0, 0.0, 1.0, source)
            }
            _ if shared => (0.0, 0.5, 0.0, 0.5, source),
            _ => (0.0, 1.0, 0.0, 0.0, host),
        };
        self.mark(plan.host, good, bad);
        let origin = source.is_some_and(|id| self.near[Role::Origin as usize].contains(&id));
        let late = match end.outcome {
            Outcome::Succeeded => !in_time,
            Outcome::TimedOut => end.first_byte_sent,
            // A parent that refuses or is down is told apart from what lies behind it, where that is told.
            _ => end.cache_status == CacheStatus::OriginFailed || (untold || origin) && source_bad > 0.0,
        };
        // What the parent held tells of the link, what it had to fetch of what lies behind.
        let own = [host, source].into_iter().flatten().any(|id| self.sick(id));
        let weighed = late && !own || end.outcome == Outcome::Succeeded && in_time;
        if let Some(at) = from.filter(|_| weighed) {
            // What strikes the sources of one location alone is a trouble on the way there, not behind them; where
            // nothing is told of fills, lateness has no place.
            let common = untold || !self.ways.iter().any(|(other, way)| *other != at && way.well(now));
            let told = matches!(end.outcome, Outcome::Succeeded | Outcome::TimedOut) && past;
            let over_link = told && (plan.cached_at_source_only || end.cache_status == CacheStatus::Filled);
            if let Some(way) = self.ways.get_mut(&at) {
                if late { &mut way.late } else { &mut way.timely }.add(now, 1.0);
                if !late || !common {
                    way.gate.weigh(now, !late);
                }
            }
            if over_link && (!late || common) {
                self.link.weigh(now, !late);
            }
            if fill_attempt && (!late || common) {
                self.depth.weigh(now, !late);
            }
        }
        if let Some(source) = source {
            self.mark(source, source_good, source_bad);
        }
        failed
    }

    /// The only place where actions on requests come from: the difference between what is wanted and what is.
    fn emit(&mut self, id: RequestId) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let class = open.request.class;
        let answer = open.answer.take().filter(|_| !open.over);
        open.over |= answer.is_some();
        let mut sent = Vec::new();
        for (no, attempt) in open.attempts.iter_mut().enumerate() {
            match attempt.present {
                Present::Unsent if !open.over => {
                    attempt.present = Present::Out;
                    sent.push((attempt.plan, attempt.from));
                    self.actions.push(Action::SendAttempt { request: id, attempt: attempt.plan });
                }
                Present::Out if self.told.cancellation && !open.begun && open.over => {
                    attempt.present = Present::CalledOff;
                    self.actions
                        .push(Action::CancelAttempt { request: id, attempt: AttemptNumber(no as u16) });
                }
                _ => {}
            }
        }
        self.actions.extend(answer);
        let ended = |attempt: &AttemptState| matches!(attempt.present, Present::Over(_) | Present::Unsent);
        if open.over && open.attempts.iter().all(ended) {
            self.open.remove(&id);
        }
        let (now, (mean, _)) = (self.now, self.sending(class));
        for (plan, from) in sent {
            if let Some(way) = from.and_then(|at| self.ways.get_mut(&at)) {
                way.gate.out += 1;
            }
            self.link.out += usize::from(plan.source.is_some());
            self.depth.out += usize::from(plan.source.is_some() && !plan.cached_at_source_only);
            self.hosts.entry(plan.host).and_modify(|host| host.out += 1);
            for id in [Some(plan.host), plan.source].into_iter().flatten() {
                self.hosts.entry(id).and_modify(|host| host.asked.add(now, mean));
            }
        }
    }
}
