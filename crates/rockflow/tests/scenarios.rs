//! Plays the text scenarios. A line is `facts ..` or `at TIME EVENT`, each with `-> ACTION` for every action that
//! must come of it, in order (`-> drop` takes any that are left), or `Nx` before a line, or `times N` .. `done`; `#` is a comment.
//! Timers run by themselves. A host is a name (c cache, p parent, o origin, then a number), `$x` (bound when first
//! seen, the same from then on), `!$x` (another one) or `any`; `%` in an id is the round of the loop.

use rockflow::{
    Action, AttemptEnd, AttemptNumber, CacheStatus, CacheStatusDetail, CellId, Class, ClassId,
    DeploymentConfig, Dispatcher, Effect, EndpointEntry, Event, GroupId, HostId, KeyScope, ListScope,
    LocationId, ObjectId, Outcome, PreviousAttempt, Readiness, Request, RequestId, Role, SlowStart, TimerId,
    WeightMeaning,
};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use test_case::test_case;

const TIMES: [(&str, u64); 3] = [("us", 1), ("ms", 1_000), ("s", 1_000_000)];

fn span(text: &str) -> Duration {
    let unit = TIMES.iter().find(|(unit, _)| text.ends_with(unit) && !text.ends_with(&format!("m{unit}")));
    let (unit, micros) =
        unit.or(TIMES.iter().find(|(unit, _)| text.ends_with(unit))).expect("a unit of time");
    let number: f64 = text.trim_end_matches(unit).parse().unwrap_or_else(|_| panic!("no time: {text}"));
    Duration::from_micros((number * *micros as f64) as u64)
}

fn host(name: &str) -> HostId {
    let number: u64 = name[1..].parse().unwrap_or_else(|_| panic!("no host: {name}"));
    HostId(u64::from(name.as_bytes()[0]) * 1000 + number)
}

fn words<'a>(line: &'a [&'a str]) -> impl Fn(&str) -> Option<&'a str> {
    move |key| line.iter().find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
}

fn number(line: &[&str], key: &str, default: u64) -> u64 {
    words(line)(key).map_or(default, |text| text.parse().unwrap_or_else(|_| panic!("no number: {key}")))
}

fn facts(line: &[&str]) -> DeploymentConfig {
    let get = words(line);
    let remembered = span(get("remembered").unwrap_or("5s"));
    let labelled = |scope| Effect::IdempotencyKey { scope, deduplication_window: remembered };
    let effect = match get("effect").unwrap_or("redoable") {
        "redoable" => Effect::Idempotent,
        "irreversible" => Effect::AtMostOnce,
        "labelled-all" => labelled(KeyScope::All),
        "labelled-location" => labelled(KeyScope::Location),
        "labelled-cell" => labelled(KeyScope::Cell),
        other => panic!("no effect: {other}"),
    };
    let class = |due: u64, deadline: u64, fresh: u64, grace: u64| Class {
        effect,
        latency_objective: Duration::from_millis(due),
        transfer_stretch: 2.0,
        deadline: Duration::from_secs(deadline),
        priority_weight: 1.0,
        late_priority_weight: 0.2,
        fresh_lifetime: Duration::from_secs(fresh),
        grace: Duration::from_secs(grace),
        cacheable: get("cacheable") != Some("no"),
    };
    let cold = |share: f64| SlowStart {
        initial_share: share,
        ramp: Duration::from_secs(20),
        overload_multiple: 2.0,
        window: Duration::from_secs(2),
    };
    DeploymentConfig {
        location: LocationId(1),
        location_dispatchers: number(line, "seats", 1) as usize,
        dispatcher_count: number(line, "dispatchers", 2) as usize,
        dispatcher_index: number(line, "number", 0) as usize,
        classes: vec![class(500, 5, 0, 0), class(300, 3, 10, 20)],
        weight_meaning: if get("weights") == Some("unknown") {
            WeightMeaning::Unknown
        } else {
            WeightMeaning::LinkCapacity
        },
        cache_slow_start: cold(0.25),
        parent_slow_start: cold(0.1),
        purge_window: Duration::from_secs(6),
        stream_kb_per_s: 1000.0,
        cache_status_detail: if get("notes") == Some("none") {
            CacheStatusDetail::None
        } else {
            CacheStatusDetail::All
        },
        coalescing: true,
        direct_source_access: get("direct") == Some("yes"),
        hedging: get("second") != Some("no"),
        cancellation: get("cancel") != Some("no"),
        health_checks: false,
        max_attempts: number(line, "legs", 8) as usize,
        max_tracked: number(line, "held", 1000) as usize,
        max_retry_after: get("pause").map(span),
        endpoint_list_max_age: get("ask").map(span),
    }
}

/// `HOST@TIME`: an attempt that another may have begun.
fn former(word: &str) -> PreviousAttempt {
    let (name, sent) = word.split_once('@').expect("a host and a time");
    PreviousAttempt { host: host(name), sent: span(sent) }
}

fn listing(word: &str) -> EndpointEntry {
    let (name, rest) = word.split_once(':').unwrap_or((word, ""));
    let attributes: Vec<&str> = rest.split(',').collect();
    let get = words(&attributes);
    let readiness = match () {
        _ if attributes.contains(&"draining") => Readiness::Draining,
        _ if attributes.contains(&"gone") => Readiness::Gone,
        _ => Readiness::Ready,
    };
    let role = match &name[..1] {
        "c" => Role::Cache,
        "p" => Role::Parent,
        _ => Role::Origin,
    };
    EndpointEntry {
        host: host(name),
        cell: CellId(number(&attributes, "cell", 0) as u16),
        location: LocationId(number(&attributes, "at", 1) as u16),
        role,
        readiness,
        weight: number(&attributes, "weight", 10) as f64,
        started: get("started").map(span),
    }
}

const OUTCOMES: [(&str, Outcome); 10] = [
    ("ok", Outcome::Succeeded),
    ("error", Outcome::HostError),
    ("away", Outcome::Rejected),
    ("timeout", Outcome::TimedOut),
    ("unreached", Outcome::ConnectFailed),
    ("broken", Outcome::ConnectionLost),
    ("spoilt", Outcome::MalformedResponse),
    ("off", Outcome::Cancelled),
    ("unsent", Outcome::NotSent),
    ("miss", Outcome::Miss),
];
const NOTES: [(&str, CacheStatus); 6] = [
    ("hit", CacheStatus::Hit),
    ("filled", CacheStatus::Filled),
    ("source-refused", CacheStatus::SourceRejected),
    ("source-unreached", CacheStatus::SourceUnreachable),
    ("no-place", CacheStatus::NoFillCapacity),
    ("origin-failed", CacheStatus::OriginFailed),
];

fn named<T: Copy>(line: &[&str], names: &[(&str, T)]) -> Option<T> {
    names.iter().find(|(name, _)| line.contains(name)).map(|(_, value)| *value)
}

#[derive(Default)]
struct Player {
    dispatcher: Option<Dispatcher>,
    attempts: BTreeMap<RequestId, Vec<HostId>>,
    bound: BTreeMap<String, HostId>,
    timers: Vec<(Duration, TimerId)>,
    actions: VecDeque<Action>,
}

impl Player {
    fn handle(&mut self, now: Duration, event: Event) {
        for action in self.dispatcher.as_mut().expect("facts come first").handle(now, event) {
            match action {
                Action::SetTimer { timer, delay } => self.timers.push((now + delay, timer)),
                Action::SendAttempt { request, attempt } => {
                    self.attempts.entry(request).or_default().push(attempt.host);
                    self.actions.push_back(action);
                }
                other => self.actions.push_back(other),
            }
        }
    }

    fn pass(&mut self, until: Duration) {
        self.timers.sort();
        while let Some((at, timer)) = self.timers.first().copied().filter(|(at, _)| *at <= until) {
            self.timers.remove(0);
            self.handle(at, Event::TimerFired(timer));
            self.timers.sort();
        }
    }

    fn event(&self, line: &[&str]) -> Option<Event> {
        let get = words(line);
        let group = GroupId(number(line, "group", 0));
        let request =
            RequestId(line.get(1).and_then(|word| word.strip_prefix('q')?.parse().ok()).unwrap_or(0));
        let attempt = AttemptNumber(number(line, "leg", 0) as u16);
        Some(match line[0] {
            "pass" => return None,
            "list" => {
                let scope = match line[1] {
                    "whole" => ListScope::Full,
                    "remembered" => ListScope::Restored,
                    "changes" => ListScope::Changes,
                    _ => ListScope::Failed,
                };
                Event::EndpointsListed {
                    scope,
                    entries: line[2..].iter().map(|word| listing(word)).collect(),
                }
            }
            "ask" => Event::RequestArrived(Request {
                id: request,
                class: ClassId(number(line, "product", 0) as usize),
                object: ObjectId(number(line, "obj", 7)),
                part: number(line, "part", 0) as u32,
                group,
                time_left: span(get("left").unwrap_or("5s")),
                size_kb: number(line, "size", 100) as f64,
                previous_attempts: get("former")
                    .into_iter()
                    .flat_map(|attempts| attempts.split(','))
                    .map(former)
                    .collect(),
            }),
            "end" => Event::AttemptEnded(AttemptEnd {
                request,
                attempt,
                host: self
                    .attempts
                    .get(&request)
                    .and_then(|attempts| attempts.get(attempt.0 as usize))
                    .copied()
                    .unwrap_or(HostId(0)),
                outcome: named(line, &OUTCOMES).expect("an outcome"),
                duration: Duration::from_millis(50),
                request_finished: line.contains(&"over"),
                cache_status: named(line, &NOTES).unwrap_or(CacheStatus::Unknown),
                fill_wait: Duration::ZERO,
                first_byte_sent: !line.contains(&"unbegun"),
            }),
            "left" => Event::ClientDisconnected(request),
            "ending" => Event::ShutdownStarted { deadline: span(get("by").expect("a time")) },
            "began" => Event::ResponseStarted { request, attempt },
            "timer" => Event::TimerFired(TimerId(number(line, "id", 0) as u32)),
            "purge" => {
                let object = get("obj").map(|text| ObjectId(text.parse().expect("an object")));
                Event::Purged { object, group: Some(group), age: span(get("ago").unwrap_or("0ms")) }
            }
            other => panic!("no event: {other}"),
        })
    }

    fn matches(&mut self, pattern: &str, found: HostId) -> bool {
        if let Some(name) = pattern.strip_prefix("!$") {
            return self.bound.get(name).is_some_and(|bound| *bound != found);
        }
        match pattern.strip_prefix('$') {
            Some(name) => *self.bound.entry(name.to_string()).or_insert(found) == found,
            None => pattern == "any" || host(pattern) == found,
        }
    }

    fn expect(&mut self, line: &[&str]) -> Result<(), String> {
        if line[0] == "drop" {
            self.actions.clear();
            return Ok(());
        }
        let action = self.actions.pop_front().ok_or("no action came")?;
        let is = |request: RequestId| line.get(1).is_some_and(|word| *word == format!("q{}", request.0));
        let as_told = match &action {
            Action::SendAttempt { request, attempt } if line[0] == "send" => {
                let from = match (line.iter().position(|word| *word == "from"), attempt.source) {
                    (Some(at), Some(source)) => line[at + 1] != "own" && self.matches(line[at + 1], source),
                    (Some(at), None) => line[at + 1] == "own",
                    (None, _) => true,
                };
                let get = words(line);
                let oldest = get("oldest").is_none_or(|text| match text {
                    "any" => attempt.max_age.is_none(),
                    text => attempt.max_age == Some(span(text)),
                });
                let under = get("under")
                    .is_none_or(|text| attempt.timeout.is_some_and(|timeout| timeout < span(text)));
                let by = get("by").is_none_or(|text| match text {
                    "any" => attempt.send_by.is_none(),
                    text => attempt.send_by == Some(span(text)),
                });
                let renew = get("renew").is_none_or(|text| attempt.revalidate == (text == "yes"));
                let held = get("held").is_none_or(|text| attempt.cached_at_source_only == (text == "yes"));
                let keep = get("keep")
                    .is_none_or(|text| format!("{:?}", attempt.cache_priority).to_lowercase() == text);
                is(*request)
                    && self.matches(line[2], attempt.host)
                    && from
                    && oldest
                    && under
                    && by
                    && renew
                    && keep
                    && held
            }
            Action::CancelAttempt { request, attempt } if line[0] == "off" => {
                is(*request) && attempt.0 as u64 == number(line, "leg", 0)
            }
            Action::Reject { request, retry_after } if line[0] == "dismiss" => {
                is(*request) && retry_after.is_some() == line.contains(&"pause")
            }
            Action::Fail { request } => line[0] == "terminate" && is(*request),
            Action::Subscribe { on: true } => line[0] == "subscribe",
            _ => false,
        };
        if as_told {
            Ok(())
        } else {
            Err(format!("came: {action:?}"))
        }
    }

    fn play(&mut self, line: &[&str]) -> Result<(), String> {
        match line[0] {
            "facts" => {
                let mut dispatcher = Dispatcher::new(facts(line), 1);
                self.actions.extend(dispatcher.start());
                self.dispatcher = Some(dispatcher);
            }
            "at" => {
                let now = span(line[1]);
                self.pass(now);
                if let Some(event) = self.event(&line[2..]) {
                    self.handle(now, event);
                }
            }
            other => return Err(format!("no such line: {other}")),
        }
        Ok(())
    }
}

/// The lines with their numbers, loops unrolled.
fn unroll(text: &str) -> Vec<(usize, String)> {
    let (mut lines, mut body, mut times) = (Vec::new(), Vec::new(), 1);
    for (at, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or("").trim();
        let single = line.split_once("x ").and_then(|(n, rest)| Some((n.parse().ok()?, rest)));
        if let Some(rounds) = line.strip_prefix("times ") {
            times = rounds.parse().expect("a number of rounds");
            continue;
        } else if let Some((rounds, rest)) = single {
            times = rounds;
            body.push((at + 1, rest));
        } else if line != "done" && !line.is_empty() {
            body.push((at + 1, line));
        }
        if times == 1 || line == "done" || single.is_some() {
            let round =
                |i: usize| body.iter().map(move |(at, line)| (*at, line.replace('%', &i.to_string())));
            lines.extend((0..times).flat_map(round));
            (body, times) = (Vec::new(), 1);
        }
    }
    lines
}

#[test_case("ordinary")]
#[test_case("held-copy")]
#[test_case("sources")]
#[test_case("purges")]
#[test_case("drains")]
#[test_case("cold")]
#[test_case("effects")]
#[test_case("ending")]
#[test_case("silence")]
#[test_case("avoided")]
#[test_case("crowded")]
#[test_case("scarce")]
#[test_case("ways")]
#[test_case("answers")]
#[test_case("discovery")]
#[test_case("oddities")]
fn scenario(name: &str) {
    let path = format!("{}/tests/scenarios/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("a scenario");
    for part in text.split("\n---\n") {
        let mut player = Player::default();
        for (at, line) in unroll(part) {
            let told = |why| format!("{name}, {:?}, line {at} ({line}): {why}", part.lines().next());
            let mut steps = line.split("->").map(|step| step.split_whitespace().collect::<Vec<_>>());
            player.play(&steps.next().expect("an event")).unwrap_or_else(|why| panic!("{}", told(why)));
            for step in steps {
                player.expect(&step).unwrap_or_else(|why| panic!("{}", told(why)));
            }
            assert!(player.actions.is_empty(), "{}", told(format!("not expected: {:?}", player.actions)));
        }
    }
}
