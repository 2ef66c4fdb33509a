//! All decisions of rockflow, with their tables and tuned values.
//!
//! A caller makes one `Dispatcher` from the told facts and a seed, hands each `Event` with its time to
//! `Dispatcher::handle`, and carries out the `Action`s that come back, in order. The types on both sides stand
//! in `interface.rs`. An event updates what is known, then the wanted state of the queries it touches; `emit`
//! alone turns the difference between wanted and present into actions.

use crate::interface::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// Memory of health and of what a host carries, over the longest outer limit.
const HEALTH_MEMORY: f64 = 1.0;
/// Memory of what is asked for, over the longest outer limit.
const POPULARITY_MEMORY: f64 = 4.0;
/// An object is hot when its share of the traffic reaches this part of an even share for each cache.
const HOT_SHARE: f64 = 0.05;
/// Caches that a hot object reaches, fewer where that would be all.
const HOT_WIDTH: usize = 2;
/// A host is avoided from this many recent failures on, if they are this share of its answers.
const SICK_FROM: f64 = 2.0;
const SICK_SHARE: f64 = 0.25;
/// Pause between trials of an avoided host, over the longest outer limit.
const TRIAL_PAUSE: f64 = 0.05;
/// Part of an avoided host's failures that one good answer clears.
const CURE: f64 = 0.3;
/// Part of a cold host's budget that a decaying sum over its span may hold: at most twice that in any span.
const COLD_PART: f64 = 0.4;
/// In-flight slots that a fresh cache gains with each answer.
const FRESH_GAIN: f64 = 0.5;
/// Load, over what a cache's link carries at full pace, up to which the hash order stands.
const CALM_LOAD: f64 = 2.0;
/// Part of that below which another cache counts as idle enough to take a query out of the hash order.
const IDLE_PART: f64 = 0.5;
/// How strongly late answers of late lower the crowding that is accepted, and how far at most.
const LATE_WEIGHT: f64 = 2.0;
const LEAST_CROWD: f64 = 0.2;
/// Part of the time to the due time that a crowded cache may be expected to take.
const CROWD_PART: f64 = 0.8;
/// Share of late answers among legs with a source at which fills count as scarce; their number then starts at
/// this part of those out, falls to this part with each late one, and grows while this part of it is used.
const SCARCE_SHARE: f64 = 0.15;
const SCARCE_START: f64 = 0.5;
const FILL_CUT: f64 = 0.97;
const FILL_USED: f64 = 0.8;
/// How long fills stay scarce after the last late one, over the longest outer limit.
const SCARCE_HOLD: f64 = 0.3;
/// Sending times, and parts of the fixed due time, that a leg is given and that its retry needs.
const LEG_SENDING: f64 = 1.25;
const LEG_FIXED: f64 = 0.5;
const RETRY_SENDING: f64 = 1.1;
const RETRY_FIXED: f64 = 0.3;
/// Standard deviations of the time taken that a leg of untold size is given.
const LEG_DEVIATIONS: f64 = 3.0;
/// Legs that fetch, at most, for one query.
const FETCH_LEGS: usize = 3;

/// A sum that fades; brought up to date when it is read.
#[derive(Clone, Copy, Debug, Default)]
struct Decaying {
    sum: f64,
    at: Duration,
}

impl Decaying {
    fn read(&self, now: Duration, memory: Duration) -> f64 {
        self.sum * libm::exp(-now.saturating_sub(self.at).as_secs_f64() / memory.as_secs_f64().max(1e-6))
    }

    fn add(&mut self, now: Duration, memory: Duration, amount: f64) {
        *self = Decaying { sum: (self.read(now, memory) + amount).max(0.0), at: now };
    }
}

/// What differs by product: the told figures and the sending time seen so far.
#[derive(Debug)]
struct Row {
    told: Product,
    legs: Decaying,
    time: Decaying,
    square: Decaying,
}

#[derive(Debug)]
struct Host {
    listing: Listing,
    out: usize,
    good: Decaying,
    bad: Decaying,
    /// Sending time of what was sent here, for the cold budget and for what a host of unknown size carries.
    asked: Decaying,
    carried: Decaying,
    answers_since_start: f64,
    last_answer: Duration,
    next_trial: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Present {
    Unsent,
    Out,
    CalledOff,
    Over(Outcome),
}

#[derive(Debug)]
struct LegState {
    plan: Leg,
    wanted: bool,
    present: Present,
    sent: Duration,
    /// How long an ordinary leg of this kind takes; after it the host's silence is looked into.
    ordinary: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Answer {
    Given,
    Dismissed,
    Terminated,
}

#[derive(Debug)]
struct Open {
    query: Query,
    due: Duration,
    ends: Duration,
    /// Sending time: told, or the mean of the product.
    work: f64,
    legs: Vec<LegState>,
    begun: bool,
    looked: bool,
    held_tried: bool,
    /// Hosts that failed this query, as host or as source.
    failed: Vec<HostId>,
    /// A cache and a source of which one has failed, until the next leg tells which.
    suspects: Option<(HostId, HostId)>,
    wanted_answer: Option<Answer>,
    answered: bool,
}

pub struct Dispatcher {
    told: Deployment,
    rows: Vec<Row>,
    hosts: BTreeMap<HostId, Host>,
    listed: bool,
    open: BTreeMap<QueryId, Open>,
    seen: BTreeMap<(ObjectId, u32), Decaying>,
    traffic: Decaying,
    late: Decaying,
    timely: Decaying,
    /// Legs out that name a source, how many may be while fills are scarce, and until when they are.
    fills_out: usize,
    fill_limit: f64,
    scarce_until: Duration,
    purged_objects: BTreeMap<ObjectId, Duration>,
    purged_groups: BTreeMap<GroupId, Duration>,
    timers: BTreeMap<TimerId, (QueryId, LegNo)>,
    last_timer: u32,
    chance: oorandom::Rand64,
    now: Duration,
    longest: Duration,
    actions: Vec<Action>,
}

impl Dispatcher {
    pub fn new(told: Deployment, seed: u64) -> Self {
        let row = |told: &Product| Row {
            told: told.clone(),
            legs: Decaying::default(),
            time: Decaying::default(),
            square: Decaying::default(),
        };
        let longest = told.products.iter().map(|p| p.outer_limit).max().unwrap_or(Duration::from_secs(1));
        Dispatcher {
            rows: told.products.iter().map(row).collect(),
            told,
            hosts: BTreeMap::new(),
            listed: false,
            open: BTreeMap::new(),
            seen: BTreeMap::new(),
            traffic: Decaying::default(),
            late: Decaying::default(),
            timely: Decaying::default(),
            fills_out: 0,
            fill_limit: 1.0,
            scarce_until: Duration::ZERO,
            purged_objects: BTreeMap::new(),
            purged_groups: BTreeMap::new(),
            timers: BTreeMap::new(),
            last_timer: 0,
            chance: oorandom::Rand64::new(u128::from(seed)),
            now: Duration::ZERO,
            longest,
            actions: Vec::new(),
        }
    }

    /// What is to be done before the first event.
    pub fn start(&mut self) -> Vec<Action> {
        self.told.ask_within.map(|_| Action::Subscribe { on: true }).into_iter().collect()
    }

    /// Takes one event and returns what is to be done, in order.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        match event {
            Event::Listed { scope, hosts } => self.listed(scope, hosts),
            Event::Asked(query) => self.asked(query),
            Event::LegBegan { query, .. } => {
                if let Some(open) = self.open.get_mut(&query) {
                    open.begun = true;
                }
            }
            Event::LegEnded(end) => self.leg_ended(end),
            Event::ClientLeft(query) => {
                if let Some(open) = self.open.get_mut(&query) {
                    open.wanted_answer = Some(Answer::Given);
                    open.answered = true;
                }
                self.emit(query);
            }
            Event::TimerDue(TimerId(0)) if self.told.ask_within.is_some() => {
                self.actions.push(Action::Subscribe { on: true });
            }
            Event::TimerDue(timer) => self.look_into(timer),
            Event::Purged { object, group, ago } => self.purged(object, group, ago),
            Event::Probed { .. } | Event::Told { .. } => {}
        }
        std::mem::take(&mut self.actions)
    }

    // What is known.

    fn memory(&self, ratio: f64) -> Duration {
        self.longest.mul_f64(ratio)
    }

    fn listed(&mut self, scope: ListScope, hosts: Vec<Listing>) {
        if scope == ListScope::Failed {
            // Guards against a lost subscription: an old list counts as told. Asked again well within that time.
            let span =
                self.told.ask_within.unwrap_or(self.longest).mul_f64(0.1 + 0.1 * self.chance.rand_float());
            return self.actions.push(Action::SetTimer { timer: TimerId(0), span });
        }
        if scope != ListScope::Changes {
            self.hosts.retain(|id, _| hosts.iter().any(|l| l.host == *id));
        }
        for listing in hosts {
            let id = listing.host;
            if listing.readiness == Readiness::Gone {
                self.hosts.remove(&id);
                continue;
            }
            let fresh = self.hosts.get(&id).is_none_or(|h| h.listing.started != listing.started);
            let host = self.hosts.entry(id).or_insert_with(|| Host {
                listing: listing.clone(),
                out: 0,
                good: Decaying::default(),
                bad: Decaying::default(),
                asked: Decaying::default(),
                carried: Decaying::default(),
                answers_since_start: 0.0,
                last_answer: Duration::ZERO,
                next_trial: Duration::ZERO,
            });
            host.listing = listing;
            if fresh {
                (host.good, host.bad) = Default::default();
                host.answers_since_start = 0.0;
                if !self.listed {
                    // Guards against a restarted dispatcher spending a cold host's budget a second time.
                    let budget = self.cold_budget(id).unwrap_or(0.0);
                    let span = self.cold(id).span;
                    self.hosts.get_mut(&id).unwrap().asked.add(self.now, span, budget);
                }
            }
        }
        self.listed = true;
        // Legs at hosts that are gone will not come back: called off, and planned anew when that is confirmed.
        let mut touched = Vec::new();
        for (id, open) in &mut self.open {
            let redoable = self.rows[open.query.product.0].told.effect == Effect::Redoable;
            for leg in &mut open.legs {
                let lost = !self.hosts.contains_key(&leg.plan.host);
                if lost && redoable && !open.begun && leg.present == Present::Out {
                    leg.wanted = false;
                    touched.push(*id);
                }
            }
        }
        touched.into_iter().for_each(|id| self.emit(id));
    }

    fn purged(&mut self, object: Option<ObjectId>, group: GroupId, ago: Duration) {
        let at = self.now.saturating_sub(ago);
        // Older copies can exist for the told time; twice that covers clocks and notices that lag.
        let oldest = self.now.saturating_sub(self.told.purge_done * 2);
        self.purged_objects.retain(|_, t| *t >= oldest);
        self.purged_groups.retain(|_, t| *t >= oldest);
        match object {
            // A full table folds into groups: stricter than needed, never laxer.
            Some(object) if self.purged_objects.len() < self.told.most_held => {
                let t = self.purged_objects.entry(object).or_default();
                *t = at.max(*t);
            }
            _ => {
                let t = self.purged_groups.entry(group).or_default();
                *t = at.max(*t);
            }
        }
    }

    /// The oldest copy that a purge leaves acceptable, while older ones can exist.
    fn purge_cap(&self, query: &Query) -> Option<Duration> {
        let object = self.purged_objects.get(&query.object);
        let at = object.into_iter().chain(self.purged_groups.get(&query.group)).max()?;
        let age = self.now.saturating_sub(*at);
        (age <= self.told.purge_done * 2).then(|| age.max(Duration::from_micros(1)))
    }

    fn mean_work(&self, product: ProductId) -> f64 {
        let (row, memory) = (&self.rows[product.0], self.memory(POPULARITY_MEMORY));
        let legs = row.legs.read(self.now, memory);
        match legs > 0.5 {
            true => row.time.read(self.now, memory) / legs,
            // Nothing seen yet: the share of the due time that its stretch leaves to sending.
            false => row.told.due.as_secs_f64() / (1.0 + row.told.stretch),
        }
    }

    /// What a leg of this product takes at most, in the ordinary case and with its size untold.
    fn long_work(&self, product: ProductId) -> f64 {
        let (row, memory) = (&self.rows[product.0], self.memory(POPULARITY_MEMORY));
        let (legs, mean) = (row.legs.read(self.now, memory), self.mean_work(product));
        let variance =
            if legs > 0.5 { row.square.read(self.now, memory) / legs - mean * mean } else { mean * mean };
        mean + LEG_DEVIATIONS * libm::sqrt(variance.max(0.0))
    }

    fn learn_work(&mut self, product: ProductId, seconds: f64) {
        let (now, memory) = (self.now, self.memory(POPULARITY_MEMORY));
        let row = &mut self.rows[product.0];
        row.legs.add(now, memory, 1.0);
        row.time.add(now, memory, seconds);
        row.square.add(now, memory, seconds * seconds);
    }

    // Hosts.

    fn cold(&self, id: HostId) -> ColdStart {
        match self.hosts[&id].listing.role {
            Role::Cache => self.told.cold_cache,
            _ => self.told.cold_parent,
        }
    }

    /// Share of its link that a host can surely give now; told figures only.
    fn share(&self, id: HostId) -> f64 {
        let (host, cold) = (&self.hosts[&id], self.cold(id));
        let Some(started) = host.listing.started.filter(|_| host.listing.role != Role::Origin) else {
            return 1.0;
        };
        let age = self.now.saturating_sub(started).as_secs_f64() / cold.ramp.as_secs_f64().max(1e-6);
        (cold.share + (1.0 - cold.share) * age).min(1.0)
    }

    /// Transfers at full pace that a host's link fits: told, or the most that one of its role is seen to carry.
    fn lanes(&self, id: HostId) -> f64 {
        let host = &self.hosts[&id];
        if self.told.weights == Weights::Link {
            return host.listing.weight.max(1.0);
        }
        let memory = self.memory(HEALTH_MEMORY);
        let alike = self.hosts.values().filter(|h| h.listing.role == host.listing.role);
        let most = alike.map(|h| h.carried.read(self.now, memory) / memory.as_secs_f64()).fold(0.0, f64::max);
        (most * self.seats(id) as f64).max(1.0)
    }

    fn seats(&self, id: HostId) -> usize {
        match self.hosts[&id].listing.role {
            Role::Cache => self.told.seats.max(1),
            _ => self.told.dispatchers.max(1),
        }
    }

    /// This dispatcher's part of what may be sent to a cold host within its span, in sending time.
    fn cold_budget(&self, id: HostId) -> Option<f64> {
        let (share, cold) = (self.share(id), self.cold(id));
        let whole = cold.multiple * share * self.lanes(id) * cold.span.as_secs_f64();
        (share < 1.0).then(|| COLD_PART * whole / self.seats(id) as f64)
    }

    fn affords(&self, id: HostId, work: f64) -> bool {
        let asked = self.hosts[&id].asked.read(self.now, self.cold(id).span);
        self.cold_budget(id).is_none_or(|budget| asked + work <= budget)
    }

    /// In flight over what the link carries at present, the leg to come included; all seats taken as alike.
    fn load(&self, id: HostId) -> f64 {
        if self.told.weights != Weights::Link {
            return 0.0;
        }
        (self.hosts[&id].out + 1) as f64 * self.seats(id) as f64 / (self.lanes(id) * self.share(id))
    }

    /// A fresh cache has a cap on what is in flight, which grows with its answers.
    fn has_slot(&self, id: HostId) -> bool {
        let host = &self.hosts[&id];
        let start = (self.cold(id).share * self.lanes(id) / self.seats(id) as f64).max(1.0);
        self.share(id) >= 1.0 || (host.out as f64) < start + FRESH_GAIN * host.answers_since_start
    }

    fn sick(&self, id: HostId) -> bool {
        let (host, memory) = (&self.hosts[&id], self.memory(HEALTH_MEMORY));
        let (good, bad) = (host.good.read(self.now, memory), host.bad.read(self.now, memory));
        bad >= SICK_FROM && bad >= SICK_SHARE * (good + bad)
    }

    fn well(&self, id: HostId) -> bool {
        !self.sick(id) || self.hosts[&id].next_trial <= self.now
    }

    /// Drops avoided hosts, those due for a trial excepted. If most of them look bad the trouble may lie behind
    /// them all, and none is shut out.
    fn without_sick(&self, hosts: Vec<HostId>) -> Vec<HostId> {
        let sick = hosts.iter().filter(|id| self.sick(**id)).count();
        if sick * 2 > hosts.len() {
            return hosts;
        }
        hosts.into_iter().filter(|id| self.well(*id)).collect()
    }

    /// Ready hosts of a role in the hash order of a part of an object; the same at every dispatcher.
    fn order(&self, role: Role, query: &Query) -> Vec<HostId> {
        let score = |id: &HostId, host: &Host| {
            let mut key = [0u8; 20];
            key[..8].copy_from_slice(&query.object.0.to_be_bytes());
            key[8..12].copy_from_slice(&query.part.to_be_bytes());
            key[12..].copy_from_slice(&id.0.to_be_bytes());
            let unit = ((xxhash_rust::xxh3::xxh3_64(&key) >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
            let weight = if self.told.weights == Weights::Link { host.listing.weight.max(1e-3) } else { 1.0 };
            -weight / libm::log(unit)
        };
        let here = |host: &Host| {
            host.listing.readiness == Readiness::Ready
                && host.listing.role == role
                && (role != Role::Cache || host.listing.location == self.told.location)
        };
        let mut hosts: Vec<_> =
            self.hosts.iter().filter(|(_, h)| here(h)).map(|(id, h)| (score(id, h), *id)).collect();
        hosts.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        hosts.into_iter().map(|(_, id)| id).collect()
    }

    // Queries.

    fn asked(&mut self, query: Query) {
        let (now, memory) = (self.now, self.memory(POPULARITY_MEMORY));
        let Some(row) = self.rows.get(query.product.0) else {
            return self.actions.push(Action::Terminate { query: query.id });
        };
        let told_size = query.size_kb > 0.0 && self.told.stream_kb_per_s > 0.0;
        let work = match told_size {
            true => query.size_kb / self.told.stream_kb_per_s,
            false => self.mean_work(query.product),
        };
        let due = now + row.told.due + Duration::from_secs_f64(row.told.stretch * work);
        if told_size {
            self.learn_work(query.product, work);
        }
        self.traffic.add(now, memory, 1.0);
        if self.seen.len() >= self.told.most_held {
            self.seen.retain(|_, s| s.read(now, memory) > 1.0);
        }
        if self.seen.len() < self.told.most_held {
            self.seen.entry((query.object, query.part)).or_default().add(now, memory, 1.0);
        }
        let (id, ends) = (query.id, now + query.time_left);
        let open = Open {
            query,
            due: due.min(ends),
            ends,
            work,
            legs: Vec::new(),
            begun: false,
            looked: false,
            held_tried: false,
            failed: Vec::new(),
            suspects: None,
            wanted_answer: None,
            answered: false,
        };
        self.open.insert(id, open);
        self.plan(id);
        self.emit(id);
    }

    /// May one more leg go to this host, given what earlier legs may have done?
    fn may_repeat(&self, open: &Open, host: HostId) -> bool {
        let ran = |leg: &&LegState| !matches!(leg.present, Present::Over(o) if never_ran(o));
        let mut maybe = open.legs.iter().filter(ran);
        match self.rows[open.query.product.0].told.effect {
            Effect::Redoable => true,
            Effect::Irreversible => maybe.next().is_none(),
            Effect::Labelled { scope, remembered } => maybe.all(|leg| {
                let (Some(a), Some(b)) = (self.hosts.get(&leg.plan.host), self.hosts.get(&host)) else {
                    return false;
                };
                // The remembered time is not used up to its end: a leg takes a while to arrive.
                self.now < leg.sent + remembered.mul_f64(0.9)
                    && match scope {
                        LabelScope::All => true,
                        LabelScope::Location => a.listing.location == b.listing.location,
                        LabelScope::Cell => a.listing.cell == b.listing.cell,
                    }
            }),
        }
    }

    /// Decides the next leg of a query that has none out, or its end.
    fn plan(&mut self, id: QueryId) {
        let Some(open) = self.open.get(&id) else { return };
        let busy = open.legs.iter().any(|l| !matches!(l.present, Present::Over(_)));
        if open.wanted_answer.is_some() || open.begun || busy {
            return;
        }
        let leg = match open.legs.len() < self.told.leg_limit && self.now < open.ends {
            true => self.next_leg(open),
            false => None,
        };
        let dismissible = match self.rows[open.query.product.0].told.effect {
            Effect::Redoable => true,
            Effect::Labelled { scope: LabelScope::All, .. } => true,
            _ => open.legs.iter().all(|l| matches!(l.present, Present::Over(o) if never_ran(o))),
        };
        let (now, ordinary) = (self.now, self.ordinary(open));
        let open = self.open.get_mut(&id).unwrap();
        match leg {
            Some(plan) => {
                let fresh = self.rows[open.query.product.0].told.fresh;
                let held =
                    plan.source == Source::None && (open.looked || plan.oldest.is_none_or(|o| o > fresh));
                open.held_tried |= held;
                open.looked |= plan.source == Source::None;
                let present = Present::Unsent;
                open.legs.push(LegState { plan, wanted: true, present, sent: now, ordinary });
            }
            None if dismissible => open.wanted_answer = Some(Answer::Dismissed),
            None => open.wanted_answer = Some(Answer::Terminated),
        }
    }

    fn next_leg(&self, open: &Open) -> Option<Leg> {
        let (query, told) = (&open.query, &self.rows[open.query.product.0].told);
        let last = open.legs.last();
        let cap = self.purge_cap(query);
        let failed = matches!(last, Some(l) if l.plan.source != Source::None);
        let held = failed && told.cacheable && told.grace > Duration::ZERO && !open.held_tried;
        let mut look = false;
        let (host, source) = if held {
            // The held-copy retry: same cache, which may hold one, unless it is what failed.
            let same = last.map(|l| l.plan.host).filter(|h| !open.failed.contains(h) && self.usable(*h));
            (same.or_else(|| Some(self.pick_cache(open)?.0))?, Source::None)
        } else {
            if open.legs.iter().filter(|l| l.plan.source != Source::None).count() >= FETCH_LEGS {
                return None;
            }
            match self.pick_cache(open) {
                // Exception: a crowded cache is asked only for what it holds. Fills that wait on a full link or a
                // slow source would crowd the hits out; a miss comes back at once. Harm: misses are given up.
                Some((cache, true)) if told.cacheable => (cache, Source::None),
                // Exception: while fills are scarce, a look first; only what is missed takes a place for a fill.
                Some((cache, _)) if told.cacheable && self.now < self.scarce_until => {
                    look = !open.looked;
                    let full = self.fills_out as f64 >= self.fill_limit;
                    (cache, if look || full { Source::None } else { self.pick_source(open) })
                }
                Some((cache, _)) => (cache, self.pick_source(open)),
                // Exception: with no cache of the location listed as ready, straight to where fills come from.
                None if self.told.direct && self.order(Role::Cache, query).is_empty() => {
                    let origin = self.order(Role::Origin, query).first().copied();
                    match (self.pick_source(open), origin) {
                        (Source::Host(host), Some(origin)) if host != origin => (host, Source::Host(origin)),
                        (Source::Host(host), _) => (host, Source::Host(host)),
                        (Source::None, _) => return None,
                    }
                }
                None => return None,
            }
        };
        let held = source == Source::None && !look;
        if !self.may_repeat(open, host) || held && (open.held_tried || !told.cacheable) {
            return None;
        }
        let widest = told.fresh + if held { told.grace } else { Duration::ZERO };
        let oldest = match (widest > Duration::ZERO, cap) {
            (true, cap) => Some(cap.unwrap_or(widest).min(widest)),
            (false, cap) => cap,
        };
        Some(Leg {
            host,
            source,
            limit: self.leg_limit(open, held),
            keep: if told.cacheable { Keep::Low } else { Keep::Not },
            oldest: oldest.filter(|_| told.cacheable),
            join: self.told.joins && told.cacheable && !held,
            held_at_source: false,
            unkept_at_parent: false,
            renew: told.cacheable && told.fresh > Duration::ZERO && !held,
        })
    }

    /// How long an ordinary leg takes, a fill included.
    fn ordinary(&self, open: &Open) -> Duration {
        let sized = open.query.size_kb > 0.0 && self.told.stream_kb_per_s > 0.0;
        let work = if sized { open.work } else { self.long_work(open.query.product) };
        Duration::from_secs_f64(LEG_SENDING * work)
            + self.rows[open.query.product.0].told.due.mul_f64(LEG_FIXED)
    }

    /// A leg's time-out leaves room for a retry, but lets an ordinary leg finish. Where a held copy can serve
    /// the room is before the due time, else before the client gives up.
    fn leg_limit(&self, open: &Open, held: bool) -> Option<Duration> {
        let told = &self.rows[open.query.product.0].told;
        let room = Duration::from_secs_f64(RETRY_SENDING * open.work) + told.due.mul_f64(RETRY_FIXED);
        let room = if held { Duration::ZERO } else { room };
        let until = if told.grace > Duration::ZERO && !open.held_tried { open.due } else { open.ends };
        let limit = until.saturating_sub(self.now + room).max(self.ordinary(open));
        (told.effect == Effect::Redoable).then(|| limit.min(open.ends.saturating_sub(self.now)))
    }

    /// Guards against hosts that take queries and answer none: a leg over its ordinary time at a host that has
    /// answered nothing since is called off and planned anew. Slow but answering hosts are left alone. Harm: on
    /// a host with next to no traffic one slow leg looks like silence.
    fn look_into(&mut self, timer: TimerId) {
        let Some((id, no)) = self.timers.remove(&timer) else { return };
        let Some(open) = self.open.get_mut(&id) else { return };
        let redoable = self.rows[open.query.product.0].told.effect == Effect::Redoable;
        let Some(leg) = open.legs.get_mut(no.0 as usize).filter(|l| l.present == Present::Out) else {
            return;
        };
        let silent = self.hosts.get(&leg.plan.host).is_some_and(|h| h.last_answer <= leg.sent);
        if silent && redoable && self.told.cancel && !open.begun {
            let host = leg.plan.host;
            leg.wanted = false;
            open.failed.push(host);
            self.mark(host, 0.0, 1.0);
            self.emit(id);
        }
    }

    fn usable(&self, id: HostId) -> bool {
        self.hosts.get(&id).is_some_and(|h| h.listing.readiness == Readiness::Ready) && self.has_slot(id)
    }

    /// The cache for a leg, and whether it is too crowded for a fill.
    fn pick_cache(&self, open: &Open) -> Option<(HostId, bool)> {
        let query = &open.query;
        let mean = self.mean_work(query.product);
        let order = self.order(Role::Cache, query);
        let width = self.width(query, order.len());
        let fits = |id: &HostId| self.affords(*id, mean) && self.has_slot(*id) && !open.failed.contains(id);
        let near: Vec<_> = order.iter().take(width).copied().collect();
        let usable: Vec<_> = self.without_sick(order).into_iter().filter(fits).collect();
        let least = |ids: &mut dyn Iterator<Item = HostId>| {
            ids.min_by(|a, b| self.load(*a).total_cmp(&self.load(*b)))
        };
        let calm = |id: &HostId| self.load(*id) <= CALM_LOAD;
        let first = least(&mut usable.iter().copied().filter(|id| near.contains(id)));
        // Exception: a crowded cache passes the query on in hash order to one that is idle enough.
        let idle = |id: &HostId| self.load(*id) <= CALM_LOAD * IDLE_PART;
        let calm_one = first.filter(calm).or_else(|| usable.iter().copied().find(idle)).map(|id| (id, false));
        calm_one.or_else(|| {
            let told = &self.rows[query.product.0].told;
            let memory = self.memory(HEALTH_MEMORY);
            let (late, timely) = (self.late.read(self.now, memory), self.timely.read(self.now, memory));
            let eased = (1.0 - LATE_WEIGHT * late / (late + timely + 1.0)).max(LEAST_CROWD);
            let most = CROWD_PART * eased * (told.stretch + told.due.as_secs_f64() / open.work.max(1e-3));
            first.filter(|id| self.load(*id) <= most).map(|id| (id, true))
        })
    }

    /// How many caches an object is spread over: two when this dispatcher sees it often, but never all.
    fn width(&self, query: &Query, caches: usize) -> usize {
        let memory = self.memory(POPULARITY_MEMORY);
        let seen = self.seen.get(&(query.object, query.part)).map_or(0.0, |s| s.read(self.now, memory));
        let hot = seen > 1.5 && seen * caches as f64 >= HOT_SHARE * self.traffic.read(self.now, memory);
        if hot {
            HOT_WIDTH.min(caches.saturating_sub(1)).max(1)
        } else {
            1
        }
    }

    /// The first parent in hash order that can serve, else the origin, else only what the cache holds: while no
    /// source fills, waiting fills would crowd the hits out of the caches and push the origin further down.
    fn pick_source(&self, open: &Open) -> Source {
        let mean = self.mean_work(open.query.product);
        let mut sources = self.order(Role::Parent, &open.query);
        sources.extend(self.order(Role::Origin, &open.query));
        let fits = |id: &HostId| self.well(*id) && self.affords(*id, mean) && !open.failed.contains(id);
        sources.into_iter().find(fits).map_or(Source::None, Source::Host)
    }

    fn leg_ended(&mut self, end: LegEnd) {
        let Some(open) = self.open.get_mut(&end.query) else { return };
        let Some(leg) = open.legs.get_mut(end.leg.0 as usize) else { return };
        if matches!(leg.present, Present::Over(_)) {
            return;
        }
        leg.present = Present::Over(end.outcome);
        let (plan, sent) = (leg.plan, leg.sent);
        if end.over {
            open.wanted_answer = Some(Answer::Given);
            open.answered = true;
        }
        self.judge(&end, plan, sent);
        self.plan(end.query);
        self.emit(end.query);
    }

    fn mark(&mut self, id: HostId, good: f64, bad: f64) {
        let (now, memory) = (self.now, self.memory(HEALTH_MEMORY));
        let cured = if good > 0.0 && self.hosts.contains_key(&id) && self.sick(id) { CURE } else { 0.0 };
        if let Some(host) = self.hosts.get_mut(&id) {
            host.good.add(now, memory, good);
            let cured = cured * host.bad.read(now, memory);
            host.bad.add(now, memory, bad - cured);
        }
    }

    /// Books an outcome to the host or to the source, by what the answer says and by who has been silent.
    fn judge(&mut self, end: &LegEnd, plan: Leg, sent: Duration) {
        let (now, memory) = (self.now, self.memory(HEALTH_MEMORY));
        let product = self.open[&end.query].query.product;
        let source = match plan.source {
            Source::Host(source) if source != plan.host => Some(source),
            _ => None,
        };
        let answered = matches!(end.outcome, Outcome::Succeeded | Outcome::Miss);
        let mean = self.mean_work(product);
        let in_time = now <= self.open[&end.query].due;
        let mut silent = true;
        if let Some(host) = self.hosts.get_mut(&plan.host) {
            host.out = host.out.saturating_sub(1);
            silent = host.last_answer <= sent;
            if answered {
                host.last_answer = now;
                host.answers_since_start += 1.0;
                host.carried.add(now, memory, mean);
            }
        }
        if source.is_some() {
            self.fills_out = self.fills_out.saturating_sub(1);
            match end.outcome {
                Outcome::Succeeded => self.weigh_fill(in_time),
                Outcome::TimedOut if !silent => self.weigh_fill(false),
                _ => {}
            }
        }
        let sized = self.told.stream_kb_per_s > 0.0 && self.open[&end.query].query.size_kb > 0.0;
        if end.outcome == Outcome::Succeeded && !sized {
            self.learn_work(product, end.took.as_secs_f64());
        }
        // A hit asked nothing of the source: its cold budget comes back, unless a renewal may have run behind.
        if let (Some(source), Note::Hit, false) = (source, end.note, plan.renew) {
            let span = self.hosts.get(&source).map(|_| self.cold(source).span);
            if let (Some(span), Some(host)) = (span, self.hosts.get_mut(&source)) {
                host.asked.add(now, span, -mean);
            }
        }
        let suspects = self.open.get_mut(&end.query).and_then(|o| o.suspects.take());
        if let Some((cache, suspect)) = suspects.filter(|(cache, _)| *cache == plan.host) {
            // The same cache with another source, or none, tells which of the two had failed.
            let (cache_part, source_part) = if answered { (-0.5, 0.5) } else { (0.5, -0.5) };
            self.mark(cache, 0.0, cache_part);
            self.mark(suspect, 0.0, source_part);
        }
        let mut failed = Vec::new();
        match (end.outcome, end.note) {
            (Outcome::Succeeded, _) => {
                self.mark(plan.host, 1.0, 0.0);
                let filled = matches!(end.note, Note::Filled | Note::FilledByOrigin);
                let share = if self.told.notes == Notes::None { 0.3 } else { f64::from(u8::from(filled)) };
                if let Some(source) = source.filter(|_| share > 0.0) {
                    self.mark(source, share, 0.0);
                    self.hosts.entry(source).and_modify(|h| h.last_answer = now);
                }
            }
            (Outcome::Miss, _) => {
                self.mark(plan.host, 1.0, 0.0);
                failed.extend(source);
            }
            (Outcome::CalledOff | Outcome::NotSent, _) | (_, Note::NoPlace) => failed.push(plan.host),
            (_, Note::SourceRefused | Note::SourceUnreached | Note::SourceLacks | Note::OriginFailed) => {
                self.mark(plan.host, 1.0, 0.0);
                source.into_iter().for_each(|s| self.mark(s, 0.0, 1.0));
                failed.extend(source);
            }
            (Outcome::TimedOut, _) if !silent => {
                // The host answered others meanwhile: what was slow lies behind it, if that was silent too.
                // Where nothing tells hits from fills that can't be known.
                let untold = self.told.notes == Notes::None;
                let mute = |s: &HostId| untold || self.hosts.get(s).is_some_and(|h| h.last_answer <= sent);
                source.filter(mute).into_iter().for_each(|s| self.mark(s, 0.0, 1.0));
                failed.extend(source);
            }
            (Outcome::HostError | Outcome::TurnedAway, _)
                if self.told.notes == Notes::None && source.is_some() =>
            {
                self.mark(plan.host, 0.0, 0.5);
                source.into_iter().for_each(|s| self.mark(s, 0.0, 0.5));
                failed.extend(source);
                if let Some(open) = self.open.get_mut(&end.query) {
                    open.suspects = source.map(|s| (plan.host, s));
                }
            }
            _ => {
                self.mark(plan.host, 0.0, 1.0);
                failed.push(plan.host);
            }
        }
        self.open.get_mut(&end.query).unwrap().failed.extend(failed);
    }

    /// Guards against fills that crowd each other on a full link or at a slow source: when legs with a source
    /// come late, their number is cut until those that are let through come in time.
    fn weigh_fill(&mut self, in_time: bool) {
        let (now, memory) = (self.now, self.memory(HEALTH_MEMORY));
        let scarce = now < self.scarce_until;
        if in_time {
            self.timely.add(now, memory, 1.0);
            if self.fills_out as f64 + 1.0 >= FILL_USED * self.fill_limit {
                self.fill_limit += 1.0 / self.fill_limit;
            }
            return;
        }
        self.late.add(now, memory, 1.0);
        let (late, timely) = (self.late.read(now, memory), self.timely.read(now, memory));
        if scarce {
            self.fill_limit = (self.fill_limit * FILL_CUT).max(1.0);
        } else if late >= SICK_FROM && late > SCARCE_SHARE * (late + timely) {
            self.fill_limit = (self.fills_out as f64 * SCARCE_START).max(1.0);
        } else {
            return;
        }
        self.scarce_until = now + self.memory(SCARCE_HOLD);
    }

    /// The only place where actions on queries come from: the difference between what is wanted and what is.
    fn emit(&mut self, id: QueryId) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let product = open.query.product;
        let over = open.wanted_answer.is_some();
        let mut sent = Vec::new();
        for (no, leg) in open.legs.iter_mut().enumerate() {
            match leg.present {
                Present::Unsent if leg.wanted && !over => {
                    leg.present = Present::Out;
                    sent.push(leg.plan);
                    self.actions.push(Action::Send { query: id, leg: leg.plan });
                    self.last_timer = self.last_timer.checked_add(1).unwrap_or(1);
                    let timer = TimerId(self.last_timer);
                    self.timers.insert(timer, (id, LegNo(no as u16)));
                    self.actions.push(Action::SetTimer { timer, span: leg.ordinary });
                }
                Present::Out if self.told.cancel && (over && !open.begun || !leg.wanted) => {
                    leg.present = Present::CalledOff;
                    self.actions.push(Action::CallOff { query: id, leg: LegNo(no as u16) });
                }
                _ => {}
            }
        }
        if let (Some(answer), false) = (open.wanted_answer, open.answered) {
            open.answered = true;
            match answer {
                Answer::Given => {}
                Answer::Dismissed => {
                    let spread = 0.5 + 0.5 * self.chance.rand_float();
                    let pause = self.told.longest_pause.map(|p| p.mul_f64(spread));
                    self.actions.push(Action::Dismiss { query: id, pause });
                }
                Answer::Terminated => self.actions.push(Action::Terminate { query: id }),
            }
        }
        if open.answered && open.legs.iter().all(|l| matches!(l.present, Present::Over(_) | Present::Unsent))
        {
            self.open.remove(&id);
        }
        let mean = self.mean_work(product);
        for plan in sent {
            let source = if let Source::Host(s) = plan.source { Some(s) } else { None };
            self.fills_out += usize::from(source.is_some_and(|s| s != plan.host));
            for host in [Some(plan.host), source.filter(|s| *s != plan.host)].into_iter().flatten() {
                self.book(host, mean, host == plan.host);
            }
        }
    }

    fn book(&mut self, id: HostId, work: f64, as_host: bool) {
        if !self.hosts.contains_key(&id) {
            return;
        }
        let (now, span, trial) = (self.now, self.cold(id).span, self.memory(TRIAL_PAUSE));
        let sick = self.sick(id);
        let host = self.hosts.get_mut(&id).unwrap();
        host.asked.add(now, span, work);
        host.out += usize::from(as_host);
        if sick {
            host.next_trial = now + trial;
        }
    }
}

fn never_ran(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::TurnedAway | Outcome::NotConnected | Outcome::NotSent | Outcome::Miss)
}
