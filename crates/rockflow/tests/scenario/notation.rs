//! Parses the notation of scenarios: words, durations, hosts, configurations and events.

use rockflow::{
    AttemptEnd, AttemptNumber, CacheStatus, CacheStatusDetail, CellId, Class, ClassId, DeploymentConfig,
    Effect, EndpointEntry, Event, GroupId, HostId, KeyScope, ListScope, LocationId, ObjectId, Outcome,
    PreviousAttempt, Readiness, Request, RequestId, Role, SlowStart, TimerId, WeightMeaning,
};
use std::time::Duration;

/// Suffixes of durations, with their length in microseconds. `s` comes last, as it is also the end of the others.
const TIME_UNITS: [(&str, f64); 3] = [("us", 1.0), ("ms", 1_000.0), ("s", 1_000_000.0)];

const OUTCOMES: [(&str, Outcome); 10] = [
    ("ok", Outcome::Succeeded),
    ("error", Outcome::HostError),
    ("rejected", Outcome::Rejected),
    ("timeout", Outcome::TimedOut),
    ("connect-failed", Outcome::ConnectFailed),
    ("connection-lost", Outcome::ConnectionLost),
    ("malformed", Outcome::MalformedResponse),
    ("cancelled", Outcome::Cancelled),
    ("not-sent", Outcome::NotSent),
    ("miss", Outcome::Miss),
];

const CACHE_STATUSES: [(&str, CacheStatus); 7] = [
    ("hit", CacheStatus::Hit),
    ("filled", CacheStatus::Filled),
    ("source-rejected", CacheStatus::SourceRejected),
    ("source-unreachable", CacheStatus::SourceUnreachable),
    ("source-miss", CacheStatus::SourceMiss),
    ("no-fill-capacity", CacheStatus::NoFillCapacity),
    ("origin-failed", CacheStatus::OriginFailed),
];

/// A line of a scenario, with its number from 1 within the scenario.
pub struct Line {
    pub number: usize,
    pub text: String,
}

/// The words of an event, an action or a host's attributes.
#[derive(Clone, Copy)]
pub struct Words<'a>(pub &'a [&'a str]);

impl<'a> Words<'a> {
    /// The value of `key=value`.
    pub fn value(&self, key: &str) -> Option<&'a str> {
        self.0.iter().find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
    }

    pub fn number(&self, key: &str, default: u64) -> u64 {
        self.value(key).map_or(default, |text| {
            text.parse().unwrap_or_else(|_| panic!("expected a number: {key}={text}"))
        })
    }

    pub fn has(&self, word: &str) -> bool {
        self.0.contains(&word)
    }

    /// The value of the first choice whose name is among the words.
    fn choice<T: Copy>(&self, choices: &[(&str, T)]) -> Option<T> {
        choices.iter().find(|(name, _)| self.has(name)).map(|(_, value)| *value)
    }

    /// The request `qN` of the second word; request 0 if the word is missing or something else.
    fn request(&self) -> RequestId {
        let number = self.0.get(1).and_then(|word| word.strip_prefix('q')?.parse().ok());
        RequestId(number.unwrap_or(0))
    }
}

pub fn parse_duration(text: &str) -> Duration {
    let unit = TIME_UNITS.iter().find(|(unit, _)| text.ends_with(unit));
    let (unit, micros) = unit.unwrap_or_else(|| panic!("duration without a unit: {text}"));
    let number: f64 =
        text.trim_end_matches(unit).parse().unwrap_or_else(|_| panic!("expected a duration: {text}"));
    Duration::from_micros((number * micros) as u64)
}

pub fn parse_host(name: &str) -> HostId {
    let number: u64 = name[1..].parse().unwrap_or_else(|_| panic!("expected a host name: {name}"));
    HostId(u64::from(name.as_bytes()[0]) * 1000 + number)
}

pub fn parse_config(words: Words) -> DeploymentConfig {
    DeploymentConfig {
        location: LocationId(1),
        location_dispatchers: words.number("location-dispatchers", 1) as usize,
        dispatcher_count: words.number("dispatchers", 2) as usize,
        dispatcher_index: words.number("index", 0) as usize,
        classes: parse_classes(words),
        weight_meaning: match words.value("weights") {
            Some("unknown") => WeightMeaning::Unknown,
            _ => WeightMeaning::LinkCapacity,
        },
        cache_slow_start: slow_start(0.25),
        parent_slow_start: slow_start(0.1),
        purge_window: Duration::from_secs(6),
        stream_kb_per_s: 1000.0,
        cache_status_detail: match words.value("cache-status") {
            Some("none") => CacheStatusDetail::None,
            _ => CacheStatusDetail::All,
        },
        coalescing: true,
        direct_source_access: words.value("direct") == Some("yes"),
        hedging: words.value("hedging") != Some("no"),
        cancellation: words.value("cancel") != Some("no"),
        health_checks: false,
        max_attempts: words.number("attempts", 8) as usize,
        max_tracked: words.number("max-tracked", 1000) as usize,
        max_retry_after: words.value("retry-after").map(parse_duration),
        endpoint_list_max_age: words.value("list-max-age").map(parse_duration),
    }
}

fn slow_start(initial_share: f64) -> SlowStart {
    SlowStart {
        initial_share,
        ramp: Duration::from_secs(20),
        overload_multiple: 2.0,
        window: Duration::from_secs(2),
    }
}

/// Two classes: copies of class 0 are fresh until they are purged, those of class 1 have a freshness lifetime and a
/// grace.
fn parse_classes(words: Words) -> Vec<Class> {
    let without_lifetime = Class {
        effect: parse_effect(words),
        latency_objective: Duration::from_millis(500),
        transfer_stretch: 2.0,
        deadline: Duration::from_secs(5),
        priority_weight: 1.0,
        late_priority_weight: 0.2,
        fresh_lifetime: Duration::ZERO,
        grace: Duration::ZERO,
        cacheable: words.value("cacheable") != Some("no"),
    };
    let with_lifetime = Class {
        latency_objective: Duration::from_millis(300),
        deadline: Duration::from_secs(3),
        fresh_lifetime: Duration::from_secs(10),
        grace: Duration::from_secs(20),
        ..without_lifetime.clone()
    };
    vec![without_lifetime, with_lifetime]
}

fn parse_effect(words: Words) -> Effect {
    let deduplication_window = parse_duration(words.value("window").unwrap_or("5s"));
    let with_key = |scope| Effect::IdempotencyKey { scope, deduplication_window };
    match words.value("effect").unwrap_or("idempotent") {
        "idempotent" => Effect::Idempotent,
        "at-most-once" => Effect::AtMostOnce,
        "idempotency-key-all" => with_key(KeyScope::All),
        "idempotency-key-location" => with_key(KeyScope::Location),
        "idempotency-key-cell" => with_key(KeyScope::Cell),
        other => panic!("unknown effect: {other}"),
    }
}

/// The event of a line. `None` for `wait`: time passes without an event.
pub fn parse_event(
    words: Words,
    host_of_attempt: impl Fn(RequestId, AttemptNumber) -> HostId,
) -> Option<Event> {
    let request = words.request();
    let attempt = AttemptNumber(words.number("attempt", 0) as u16);
    Some(match words.0[0] {
        "wait" => return None,
        "list" => parse_list(words),
        "request" => Event::RequestArrived(parse_request(words)),
        "end" => Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            host: host_of_attempt(request, attempt),
            outcome: words.choice(&OUTCOMES).expect("the event has an outcome"),
            duration: Duration::from_millis(50),
            request_finished: words.has("finished"),
            cache_status: words.choice(&CACHE_STATUSES).unwrap_or(CacheStatus::Unknown),
            fill_wait: Duration::ZERO,
            first_byte_sent: !words.has("no-byte-sent"),
        }),
        "disconnect" => Event::ClientDisconnected(request),
        "shutdown" => Event::ShutdownStarted {
            deadline: parse_duration(words.value("by").expect("the event has `by=TIME`")),
        },
        "response-started" => Event::ResponseStarted { request, attempt },
        "timer" => Event::TimerFired(TimerId(words.number("id", 0) as u32)),
        "purge" => Event::Purged {
            object: words.value("object").map(|text| ObjectId(text.parse().expect("the object is a number"))),
            group: Some(GroupId(words.number("group", 0))),
            age: parse_duration(words.value("age").unwrap_or("0ms")),
        },
        other => panic!("unknown event: {other}"),
    })
}

fn parse_list(words: Words) -> Event {
    let scope = match words.0[1] {
        "full" => ListScope::Full,
        "restored" => ListScope::Restored,
        "changes" => ListScope::Changes,
        "failed" => ListScope::Failed,
        other => panic!("unknown scope of an endpoint list: {other}"),
    };
    Event::EndpointsListed { scope, entries: words.0[2..].iter().map(|word| parse_entry(word)).collect() }
}

fn parse_entry(word: &str) -> EndpointEntry {
    let (name, rest) = word.split_once(':').unwrap_or((word, ""));
    let attributes: Vec<&str> = rest.split(',').collect();
    let attributes = Words(&attributes);
    let readiness = if attributes.has("draining") {
        Readiness::Draining
    } else if attributes.has("gone") {
        Readiness::Gone
    } else {
        Readiness::Ready
    };
    let role = match &name[..1] {
        "c" => Role::Cache,
        "p" => Role::Parent,
        _ => Role::Origin,
    };
    EndpointEntry {
        host: parse_host(name),
        cell: CellId(attributes.number("cell", 0) as u16),
        location: LocationId(attributes.number("location", 1) as u16),
        role,
        readiness,
        weight: attributes.number("weight", 10) as f64,
        started: attributes.value("started").map(parse_duration),
    }
}

fn parse_request(words: Words) -> Request {
    let previous = words.value("previous").into_iter().flat_map(|attempts| attempts.split(','));
    Request {
        id: words.request(),
        class: ClassId(words.number("class", 0) as usize),
        object: ObjectId(words.number("object", 7)),
        part: words.number("part", 0) as u32,
        group: GroupId(words.number("group", 0)),
        time_left: parse_duration(words.value("time-left").unwrap_or("5s")),
        size_kb: words.number("size", 100) as f64,
        previous_attempts: previous.map(parse_previous_attempt).collect(),
    }
}

/// Parses `HOST@TIME`: an attempt that another dispatcher may have sent.
fn parse_previous_attempt(word: &str) -> PreviousAttempt {
    let (name, sent) = word.split_once('@').expect("a previous attempt is `HOST@TIME`");
    PreviousAttempt { host: parse_host(name), sent: parse_duration(sent) }
}

/// The lines of a scenario without comments and blank lines, with repetitions unrolled.
pub fn unroll(scenario: &str) -> Vec<Line> {
    let mut lines = Vec::new();
    let mut body = Vec::new();
    let mut iterations = 1;
    for (index, line) in scenario.lines().enumerate() {
        let line = line.split('#').next().unwrap_or("").trim();
        let repeated_line = line.split_once("x ").and_then(|(count, rest)| Some((count.parse().ok()?, rest)));
        if let Some(count) = line.strip_prefix("times ") {
            iterations = count.parse().expect("`times` has a number");
            continue;
        } else if let Some((count, rest)) = repeated_line {
            iterations = count;
            body.push((index + 1, rest));
        } else if line != "done" && !line.is_empty() {
            body.push((index + 1, line));
        }
        if iterations == 1 || line == "done" || repeated_line.is_some() {
            for iteration in 0..iterations {
                let unrolled = body.iter().map(|(number, text)| Line {
                    number: *number,
                    text: text.replace('%', &iteration.to_string()),
                });
                lines.extend(unrolled);
            }
            body.clear();
            iterations = 1;
        }
    }
    lines
}
