//! The actor of the module: the only holder of the decisions. It orders events, runs timers and the attempts'
//! time limits, and carries out actions. It decides nothing.

use crate::backpressure::MAX_PURGES;
use crate::clock::Clock;
use crate::connection_pool::ConnectionPool;
use crate::endpoint::{id_from_name, Endpoint};
use crate::host::Host;
use crate::mailbox::{Mailbox, Wake};
use crate::messages::*;
use crate::purge::{Purge, PurgeTimestamp};
use crate::send_permit::SendPermit;
use crate::status::OutcomeCounts;
use crate::timer;
use may::coroutine;
use rockflow::{
    Action, Attempt, AttemptEnd, AttemptNumber, CacheStatus, ClassId, DeploymentConfig, Dispatcher, Event,
    GroupId, HostId, ListScope, ObjectId, Outcome, Readiness, Request, RequestId, TimerId,
};
use rockflow_protocol::client::{ClientRequest, Response};
use rockflow_protocol::upstream::{self, FetchRequest};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tracing::{debug, error, info};

/// Purges below which it is not looked whether they still bind.
const LEAST_LOOK: usize = 64;

struct AttemptOut {
    host: HostId,
    source: Option<HostId>,
    /// Where its host is reached, also once that is no longer listed.
    mail: Option<Arc<Mailbox<HostMessage>>>,
    sent: Duration,
    out: bool,
    pass: Arc<SendPermit>,
}

impl AttemptOut {
    fn never_mind(&self, key: AttemptKey, unheard: bool) {
        if let Some(mail) = &self.mail {
            mail.send(HostMessage::Cancel { key, unheard });
        }
    }
}

struct Open {
    /// Place of the class.
    class: usize,
    ask: Box<ClientRequest>,
    client: Arc<Mailbox<ClientMessage>>,
    ends: Duration,
    answered: bool,
    attempts: Vec<AttemptOut>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Attempt(AttemptKey),
    /// An attempt that has not begun by now may not begin any more.
    Begin(AttemptKey),
    /// The module is late with a request's answer.
    Outer(RequestId),
    Timer(TimerId),
    Probe(u64),
}

struct Peer {
    entry: Endpoint,
    mail: Option<Arc<Mailbox<HostMessage>>>,
}

/// What the module's actor is given.
pub struct Dependencies {
    pub clock: Clock,
    pub deployment: DeploymentConfig,
    pub classes: Vec<String>,
    pub seed: u64,
    /// Names of the values of a load report; none where probes bring none.
    pub report: Vec<String>,
    pub pool: Arc<ConnectionPool>,
    /// Set once a list of hosts is known: from then on requests can be decided.
    pub ready: Arc<AtomicBool>,
    /// How late after a request's end its answer still counts.
    pub slack: Duration,
    pub mail: Arc<Mailbox<DecisionMessage>>,
}

pub struct DecisionActor {
    given: Dependencies,
    decisions: Dispatcher,
    /// Probes that are out: whom they ask, and since when.
    probes: BTreeMap<u64, (HostId, Duration)>,
    next_probe: u64,
    /// The purges that may still bind, for decisions that start anew; with so many it is looked which do.
    purges: Vec<Purge>,
    look_at: usize,
    open: BTreeMap<RequestId, Open>,
    /// The ids under which clients wait.
    calls: BTreeSet<String>,
    peers: BTreeMap<HostId, Peer>,
    due: BinaryHeap<Reverse<(Duration, Due)>>,
    events: VecDeque<Event>,
    /// Whoever waits till the decisions have heard of these events; one at the most, as no word is taken ahead of it.
    waits: Option<CompletionCallback<()>>,
    until: Option<Duration>,
    /// How requests ended, by place of the class.
    ended: Vec<OutcomeCounts>,
    /// Those that the decisions left unanswered till their time was up.
    overdue: u64,
}

impl DecisionActor {
    /// With what is known at the start, so that the first request finds it decided by.
    pub fn new(given: Dependencies, known: Vec<Endpoint>, purges: Vec<Purge>) -> Self {
        let mut module = DecisionActor {
            decisions: Dispatcher::new(given.deployment.clone(), given.seed),
            overdue: 0,
            ended: vec![OutcomeCounts::default(); given.classes.len()],
            given,
            probes: BTreeMap::new(),
            next_probe: 0,
            purges: Vec::new(),
            look_at: LEAST_LOOK,
            open: BTreeMap::new(),
            calls: BTreeSet::new(),
            peers: BTreeMap::new(),
            due: BinaryHeap::new(),
            events: VecDeque::new(),
            waits: None,
            until: None,
        };
        let actions = module.decisions.start();
        actions.into_iter().for_each(|action| module.act(action));
        module.list(ListScope::Restored, known);
        module.purge(purges);
        module
    }

    pub fn run(&mut self) {
        self.given.mail.wake_by(Wake::Park(coroutine::current()));
        loop {
            let wait = catch_unwind(AssertUnwindSafe(|| self.step())).unwrap_or_else(|_| {
                self.begin_anew();
                Some(Duration::ZERO)
            });
            match wait {
                Some(Duration::ZERO) => {}
                Some(wait) => timer::park(wait),
                None => coroutine::park(),
            }
        }
    }

    /// Takes the next word, or says how long there is nothing to do; none: until a word comes.
    fn step(&mut self) -> Option<Duration> {
        self.decide();
        // Guards against a delay of our own that makes answers late which are here already: they go first, as
        // long as what is due is not late for it.
        let patience = if self.given.mail.is_empty() { Duration::ZERO } else { self.given.slack / 2 };
        self.ring(self.given.clock.now().saturating_sub(patience));
        if let Some(word) = self.given.mail.take() {
            self.hear(word);
            return Some(Duration::ZERO);
        }
        self.due.peek().map(|Reverse((at, _))| at.saturating_sub(self.given.clock.now()))
    }

    /// Guards against a panic of the decisions that leaves requests unanswered: each gets its answer, and the
    /// decisions start again with the list as it stands and the purges that bind. Whoever waits for these is told then.
    fn begin_anew(&mut self) {
        error!(open = self.open.len(), "the module panicked; its queries are terminated and it starts anew");
        self.events.clear();
        self.calls.clear();
        for open in std::mem::take(&mut self.open) {
            let (id, open) = open;
            for (no, attempt) in open.attempts.iter().enumerate().filter(|(_, attempt)| attempt.out) {
                attempt.pass.withdraw();
                attempt.never_mind((id, AttemptNumber(no as u16)), false);
            }
            if !open.answered {
                self.ended[open.class].failed += 1;
                open.client.send(ClientMessage::Answer(id, Response::Failed));
            }
        }
        self.decisions = Dispatcher::new(self.given.deployment.clone(), self.given.seed);
        let hosts = self.peers.values().map(|peer| peer.entry.entry.clone()).collect();
        self.events.push_back(Event::EndpointsListed { scope: ListScope::Restored, entries: hosts });
        let purges = std::mem::take(&mut self.purges);
        self.purge(purges);
    }

    fn decide(&mut self) {
        while let Some(event) = self.events.pop_front() {
            let actions = self.decisions.handle(self.given.clock.now(), event);
            actions.into_iter().for_each(|action| self.act(action));
        }
        if let Some(done) = self.waits.take() {
            done(());
        }
    }

    fn hear(&mut self, word: DecisionMessage) {
        match word {
            DecisionMessage::RequestReceived { request, ask, client, arrived } => {
                self.ask(request, ask, client, arrived)
            }
            DecisionMessage::ClientDisconnected(request) => {
                if let Some(open) = self.open.get_mut(&request) {
                    if !std::mem::replace(&mut open.answered, true) {
                        self.calls.remove(&open.ask.call_id);
                        self.ended[open.class].disconnected += 1;
                    }
                    self.events.push_back(Event::ClientDisconnected(request));
                    // Also where nothing may be called off: what has not begun need not begin.
                    self.withdraw(|(id, _), _, _| id == request);
                    self.forget(request);
                }
            }
            DecisionMessage::ShutdownStarted { until } => {
                self.until = Some(until);
                // Their attempts end by then, and the decisions answer them as if their own time were up.
                for (id, open) in self.open.iter_mut().filter(|(_, open)| open.ends > until) {
                    open.ends = until;
                    let out = open.attempts.iter().enumerate().filter(|(_, attempt)| attempt.out);
                    let attempts = out.map(|(no, _)| Due::Attempt((*id, AttemptNumber(no as u16))));
                    self.due.extend(attempts.map(|attempt| Reverse((until, attempt))));
                    self.due.push(Reverse((until + self.given.slack / 2, Due::Outer(*id))));
                }
                self.events.push_back(Event::ShutdownStarted { deadline: until });
            }
            DecisionMessage::ResponseReceived { key, answer } => self.answered(key, answer),
            DecisionMessage::AttemptFailed { key, outcome } => {
                self.end_attempt(key, outcome, None, Duration::ZERO)
            }
            DecisionMessage::HealthCheckAnswered { tag, answer } => {
                let well = answer.status == upstream::Status::Healthy;
                let named = |name: &String| answer.load.iter().find(|(known, _)| known == name);
                let report =
                    self.given.report.iter().map(|name| named(name).map_or(0.0, |(_, value)| *value));
                let report = if answer.load.is_empty() { Vec::new() } else { report.collect() };
                self.end_probe(tag, if well { Outcome::Succeeded } else { Outcome::HostError }, report);
            }
            DecisionMessage::HealthCheckFailed { tag, outcome } => self.end_probe(tag, outcome, Vec::new()),
            DecisionMessage::EndpointsChanged { scope, entries, done } => {
                if scope != ListScope::Changes || !entries.is_empty() {
                    self.list(scope, entries);
                }
                self.decide_news(done);
            }
            DecisionMessage::PurgesReceived { purges, done } => self.purged(purges, done),
            DecisionMessage::PurgeEverything(slot) => {
                if let Some((made, tell)) = slot.take() {
                    self.purged(vec![Purge::everything(PurgeTimestamp::Local(made))], Some(Box::new(tell)));
                }
            }
            DecisionMessage::ReportStatus { mut survey, reply } => {
                survey.host_statuses = self.decisions.host_statuses();
                survey.outcomes = self.ended.clone();
                (survey.open_requests, survey.queued_messages) = (self.open.len(), self.given.mail.len());
                survey.overdue = self.overdue;
                reply(survey);
            }
        }
    }

    fn ask(
        &mut self,
        id: RequestId,
        ask: Box<ClientRequest>,
        client: Arc<Mailbox<ClientMessage>>,
        arrived: Duration,
    ) {
        let Some(class) = self.given.classes.iter().position(|name| *name == ask.class) else {
            return client.send(ClientMessage::Answer(id, Response::Invalid(404, "unknown class")));
        };
        // Guards against work for a client that left while its request waited here.
        if client.is_closed() {
            self.ended[class].disconnected += 1;
            return;
        }
        // Guards against two requests under one id, whose answers could not be told apart on their way.
        if !self.calls.insert(ask.call_id.clone()) {
            return client.send(ClientMessage::Answer(id, Response::Invalid(409, "id in use")));
        }
        // No client waits longer than its class's outer limit, whatever its header says.
        let most = self.given.deployment.classes.get(class).map(|class| class.deadline);
        let patience = most.map_or(ask.time_limit, |most| ask.time_limit.min(most));
        let ends = (arrived + patience).min(self.until.unwrap_or(Duration::MAX));
        let request = Request {
            id,
            class: ClassId(class),
            object: ObjectId(id_from_name(&ask.object)),
            part: ask.part,
            group: GroupId(ask.group),
            time_left: ends.saturating_sub(self.given.clock.now()),
            size_kb: ask.size_kb,
            previous_attempts: Vec::new(),
        };
        self.due.push(Reverse((ends + self.given.slack / 2, Due::Outer(id))));
        self.open.insert(id, Open { class, ask, client, ends, answered: false, attempts: Vec::new() });
        self.events.push_back(Event::RequestArrived(request));
    }

    fn list(&mut self, scope: ListScope, entries: Vec<Endpoint>) {
        // Those to which nothing new may go, as hosts or as sources.
        let mut leaving = BTreeSet::new();
        if scope != ListScope::Changes {
            let named = |id: &HostId| entries.iter().any(|entry| entry.entry.host == *id);
            leaving.extend(self.peers.keys().copied().filter(|id| !named(id)));
            leaving.clone().into_iter().for_each(|id| self.retire(id));
        }
        for entry in &entries {
            let (id, gone) = (entry.entry.host, entry.entry.readiness == Readiness::Gone);
            let moved = self.peers.get(&id).is_some_and(|peer| peer.entry.address != entry.address);
            if moved || entry.entry.readiness != Readiness::Ready {
                leaving.insert(id);
            }
            if gone || moved {
                self.retire(id);
            }
            if !gone {
                let mail = self.peers.remove(&id).and_then(|peer| peer.mail);
                self.peers.insert(id, Peer { entry: entry.clone(), mail });
            }
        }
        if !self.peers.is_empty() {
            self.given.ready.store(true, Ordering::Relaxed);
        }
        let hosts = entries.into_iter().map(|entry| entry.entry).collect();
        self.events.push_back(Event::EndpointsListed { scope, entries: hosts });
        if !leaving.is_empty() {
            self.withdraw(|_, _, attempt| {
                leaving.contains(&attempt.host)
                    || attempt.source.is_some_and(|source| leaving.contains(&source))
            });
        }
    }

    /// Takes back attempts that have not begun, so that they are decided anew by what is known now.
    fn withdraw(&mut self, which: impl Fn(AttemptKey, &Open, &AttemptOut) -> bool) {
        let mut keys = Vec::new();
        for (id, open) in &self.open {
            let attempts = open
                .attempts
                .iter()
                .enumerate()
                .map(|(no, attempt)| ((*id, AttemptNumber(no as u16)), attempt));
            let attempts = attempts.filter(|(key, attempt)| {
                attempt.out && which(*key, open, attempt) && attempt.pass.withdraw()
            });
            keys.extend(attempts.map(|(key, _)| key));
        }
        for key in keys {
            self.open[&key.0].attempts[usize::from(key.1 .0)].never_mind(key, false);
            self.end_attempt(key, Outcome::NotSent, None, Duration::ZERO);
        }
    }

    fn purged(&mut self, purges: Vec<Purge>, done: Option<CompletionCallback<()>>) {
        self.purge(purges);
        self.decide_news(done);
    }

    /// Whoever waits is told once the decisions go by it: by those that begin anew, where these panic.
    fn decide_news(&mut self, done: Option<CompletionCallback<()>>) {
        self.waits = done;
        debug!(events = self.events.len(), "news for the decisions");
        self.decide();
    }

    fn purge(&mut self, purges: Vec<Purge>) {
        let clock = self.given.clock;
        self.events.extend(purges.iter().map(|purge| Event::Purged {
            object: purge.object,
            group: purge.group,
            age: purge.purged_at.age(clock),
        }));
        // What has not begun was decided without these purges.
        self.withdraw(|_, open, _| {
            let (object, group) = (ObjectId(id_from_name(&open.ask.object)), GroupId(open.ask.group));
            purges.iter().any(|purge| purge.concerns(object, group))
        });
        self.purges.extend(purges);
        if self.purges.len() >= self.look_at {
            self.fold();
            self.look_at = LEAST_LOOK.max(2 * self.purges.len());
        }
    }

    /// Forgets purges that bind no more. Guards against those without end: one of everything, as young as the youngest,
    /// stands for all. Stricter.
    fn fold(&mut self) {
        let (clock, within) = (self.given.clock, self.given.deployment.purge_window);
        self.purges.retain(|old| old.purged_at.age(clock) <= within);
        if self.purges.len() <= MAX_PURGES {
            return;
        }
        let youngest =
            self.purges.iter().map(|purge| purge.purged_at).min_by_key(|purged_at| purged_at.age(clock));
        self.purges = youngest.map(Purge::everything).into_iter().collect();
    }

    fn retire(&mut self, id: HostId) {
        if let Some(mail) = self.peers.remove(&id).and_then(|peer| peer.mail) {
            mail.send(HostMessage::Retire);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::SendAttempt { request, attempt } => self.send(request, attempt),
            Action::CancelAttempt { request, attempt } => {
                self.call_off((request, attempt), Outcome::Cancelled)
            }
            Action::Reject { request, retry_after } => {
                self.answer(request, Response::Rejected { retry_after })
            }
            Action::Fail { request } => self.answer(request, Response::Failed),
            Action::SetTimer { timer, delay } => {
                self.due.push(Reverse((self.given.clock.now() + delay, Due::Timer(timer))));
            }
            Action::Log(text) => info!(text, "module"),
            Action::CheckHealth { host } => self.probe(host),
            Action::CloseIdleConnections { host } => {
                if let Some(mail) = self.peers.get(&host).and_then(|peer| peer.mail.as_ref()) {
                    mail.send(HostMessage::CloseIdle);
                }
            }
            // The board is followed all the time: what it has told is the answer.
            Action::Subscribe { .. } | Action::RequestEndpointList => {
                let hosts = self.peers.values().map(|peer| peer.entry.entry.clone()).collect();
                self.events.push_back(Event::EndpointsListed { scope: ListScope::Full, entries: hosts });
            }
            Action::SendMessage { .. } => debug!("dispatchers share nothing on these sockets"),
        }
    }

    fn send(&mut self, id: RequestId, attempt: Attempt) {
        let now = self.given.clock.now();
        let mail = self.mail_of(attempt.host);
        let Some(open) = self.open.get_mut(&id) else {
            return error!(request = id.0, "leg of an unknown query");
        };
        let key = (id, AttemptNumber(open.attempts.len() as u16));
        let left = open.ends.saturating_sub(now);
        let wait = attempt.timeout.map_or(left, |limit| limit.min(left));
        let by = attempt.send_by.map_or(now + wait, |by| by.min(now + wait));
        let pass = SendPermit::new(by, open.client.clone());
        let (host, source, sent) = (attempt.host, attempt.source, now);
        open.attempts.push(AttemptOut {
            host,
            source,
            mail: mail.clone(),
            sent,
            out: true,
            pass: pass.clone(),
        });
        self.due.push(Reverse((now + wait, Due::Attempt(key))));
        if by < now + wait {
            self.due.push(Reverse((by, Due::Begin(key))));
        }
        let source =
            attempt.source.and_then(|source| self.peers.get(&source)).map(|peer| peer.entry.name.as_str());
        // Guards against a fill that is left out, which would be another attempt than the one decided.
        if attempt.source.is_some() && source.is_none() {
            return self.end_attempt(key, Outcome::NotSent, None, Duration::ZERO);
        }
        let filled = source.is_some();
        let line = FetchRequest {
            id: &open.ask.call_id,
            class: &open.ask.class,
            object: &open.ask.object,
            part: open.ask.part,
            timeout: wait,
            source,
            cache_priority: attempt.cache_priority as u8,
            max_age: attempt.max_age,
            coalesce: filled && attempt.coalesce,
            cached_at_source_only: filled && attempt.cached_at_source_only,
            no_store_at_parent: filled && attempt.no_store_at_parent,
            revalidate: filled && attempt.revalidate,
            cached_tag: open.ask.cached_tag.as_deref(),
        };
        let (id, seen) = (open.ask.call_id.clone(), line.cached_tag.is_some());
        let order = HostMessage::Send(OutgoingAttempt { key, id, line: line.encode(), seen, pass });
        match mail {
            Some(mail) => mail.send(order),
            None => self.end_attempt(key, Outcome::NotSent, None, Duration::ZERO),
        }
    }

    /// The mailbox of a listed host, whose actor starts with the first order.
    fn mail_of(&mut self, id: HostId) -> Option<Arc<Mailbox<HostMessage>>> {
        let peer = self.peers.get_mut(&id)?;
        let (entry, pool) = (&peer.entry, &self.given.pool);
        let mail = peer.mail.get_or_insert_with(|| {
            let (mail, pool) = (Mailbox::new(), pool.clone());
            let host = Host { name: entry.name.clone(), address: entry.address, pool, mail: mail.clone() };
            may::go!(move || host.run());
            mail
        });
        Some(mail.clone())
    }

    fn probe(&mut self, host: HostId) {
        let (tag, now) = (self.next_probe, self.given.clock.now());
        self.next_probe += 1;
        self.probes.insert(tag, (host, now));
        self.due.push(Reverse((now + self.given.pool.connect_limit, Due::Probe(tag))));
        let load = !self.given.report.is_empty();
        match self.mail_of(host) {
            Some(mail) => mail.send(HostMessage::CheckHealth { tag, load }),
            None => self.end_probe(tag, Outcome::NotSent, Vec::new()),
        }
    }

    fn end_probe(&mut self, tag: u64, outcome: Outcome, report: Vec<f32>) {
        let Some((host, sent)) = self.probes.remove(&tag) else { return };
        let took = self.given.clock.now().saturating_sub(sent);
        self.events.push_back(Event::HealthChecked { host, outcome, duration: took, load_report: report });
    }

    /// Gives an attempt up: its host hears of it, and its outcome is known at once.
    fn call_off(&mut self, key: AttemptKey, outcome: Outcome) {
        let Some(open) = self.open.get(&key.0) else { return };
        let Some(attempt) = open.attempts.get(usize::from(key.1 .0)).filter(|attempt| attempt.out) else {
            return;
        };
        attempt.pass.withdraw();
        attempt.never_mind(key, outcome == Outcome::TimedOut);
        self.end_attempt(key, outcome, None, Duration::ZERO);
    }

    fn answered(&mut self, key: AttemptKey, answer: upstream::HostResponse) {
        let Some(open) = self.open.get(&key.0) else { return };
        if !open.attempts.get(usize::from(key.1 .0)).is_some_and(|attempt| attempt.out) {
            return;
        }
        let outcome = match answer.status {
            upstream::Status::Data | upstream::Status::NotModified => Outcome::Succeeded,
            upstream::Status::NotFound => Outcome::Miss,
            upstream::Status::Overloaded => Outcome::Rejected,
            upstream::Status::NotExecuted => Outcome::NotSent,
            _ => Outcome::HostError,
        };
        let (note, waited) = (answer.cache_note, answer.fill_wait);
        let tag = answer.tag;
        match answer.status {
            upstream::Status::Data => self.answer(key.0, Response::Succeeded { tag, body: answer.body }),
            upstream::Status::NotModified => self.answer(key.0, Response::NotModified { tag }),
            _ => {}
        }
        self.end_attempt(key, outcome, note, waited);
    }

    /// The one final answer of a request; whatever would follow it is dropped.
    fn answer(&mut self, id: RequestId, answer: Response) {
        let Some(open) = self.open.get_mut(&id).filter(|open| !open.answered) else { return };
        open.answered = true;
        self.calls.remove(&open.ask.call_id);
        let ended = &mut self.ended[open.class];
        match &answer {
            Response::Succeeded { .. } | Response::NotModified { .. } => ended.succeeded += 1,
            Response::Rejected { .. } => ended.rejected += 1,
            _ => ended.failed += 1,
        }
        open.client.send(ClientMessage::Answer(id, answer));
        self.forget(id);
    }

    fn end_attempt(
        &mut self,
        key: AttemptKey,
        outcome: Outcome,
        note: Option<upstream::CacheNote>,
        waited: Duration,
    ) {
        let now = self.given.clock.now();
        let Some(open) = self.open.get_mut(&key.0) else { return };
        let Some(attempt) = open.attempts.get_mut(usize::from(key.1 .0)).filter(|attempt| attempt.out) else {
            return;
        };
        attempt.out = false;
        self.events.push_back(Event::AttemptEnded(AttemptEnd {
            request: key.0,
            attempt: key.1,
            host: attempt.host,
            outcome,
            duration: now.saturating_sub(attempt.sent),
            request_finished: open.answered,
            cache_status: note.map_or(CacheStatus::Unknown, told),
            fill_wait: waited,
            first_byte_sent: attempt.pass.begun(),
        }));
        self.forget(key.0);
    }

    /// Drops a request that is answered and has no attempt out.
    fn forget(&mut self, id: RequestId) {
        if self
            .open
            .get(&id)
            .is_some_and(|open| open.answered && open.attempts.iter().all(|attempt| !attempt.out))
        {
            self.open.remove(&id);
        }
    }

    /// Whatever was due by then.
    fn ring(&mut self, by: Duration) {
        while let Some(Reverse((at, due))) = self.due.peek().copied() {
            if at > by {
                return;
            }
            self.due.pop();
            match due {
                Due::Attempt(key) => self.call_off(key, Outcome::TimedOut),
                Due::Begin(late) => self.withdraw(|key, _, _| key == late),
                Due::Probe(tag) => self.end_probe(tag, Outcome::TimedOut, Vec::new()),
                Due::Timer(timer) => self.events.push_back(Event::TimerFired(timer)),
                Due::Outer(id) => {
                    // Guards against a request that nothing answers in time, or before the program's end:
                    // the module is told as if the client left.
                    if self.open.get(&id).is_some_and(|open| !open.answered) {
                        error!(
                            request = id.0,
                            leaving = self.until.is_some(),
                            "no answer from the module in time"
                        );
                        self.overdue += 1;
                        self.answer(id, Response::Failed);
                        self.events.push_back(Event::ClientDisconnected(id));
                    }
                }
            }
            self.decide();
        }
    }
}

fn told(note: upstream::CacheNote) -> CacheStatus {
    match note {
        upstream::CacheNote::Hit => CacheStatus::Hit,
        upstream::CacheNote::Filled => CacheStatus::Filled,
        upstream::CacheNote::FilledByOrigin => CacheStatus::FilledByOrigin,
        upstream::CacheNote::Coalesced => CacheStatus::Coalesced,
        upstream::CacheNote::Stale => CacheStatus::Stale,
        upstream::CacheNote::SourceRejected => CacheStatus::SourceRejected,
        upstream::CacheNote::SourceUnreachable => CacheStatus::SourceUnreachable,
        upstream::CacheNote::SourceMiss => CacheStatus::SourceMiss,
        upstream::CacheNote::NoFillCapacity => CacheStatus::NoFillCapacity,
        upstream::CacheNote::OriginFailed => CacheStatus::OriginFailed,
    }
}
