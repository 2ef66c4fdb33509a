//! Translates the simulator's batches into events and the decisions' actions into replies. Decides nothing.

pub mod wire;

use rockflow::{
    Action, Attempt, AttemptEnd, AttemptNumber, CachePriority, CacheStatus, CellId, ClassId, Dispatcher,
    EndpointEntry, Event, GroupId, ListScope, LocationId, ObjectId, Outcome, Readiness, Request, RequestId,
    Role, TimerId,
};
use rockflow_settings::{DeploymentSettings, DottedSettings};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::time::Duration;
use wire::{put_bytes, put_host, put_micros, Reader};

const HEADER: usize = 20;
/// Bytes of the header that the length field counts.
const CLOCK: usize = 8;
const LISTS: usize = 16;

struct Entry {
    listing: EndpointEntry,
    kind: i64,
}

struct Instance {
    dispatcher: Dispatcher,
    facts: DeploymentSettings,
}

/// The lists of the process and its instances by number; none for one whose settings did not parse.
#[derive(Default)]
struct Link {
    lists: [Option<Vec<Entry>>; LISTS],
    instances: BTreeMap<u32, Option<Instance>>,
}

/// An instance's part of a reply.
struct Part {
    instance: u32,
    count: u32,
    bytes: Vec<u8>,
}

/// Plays batches until the input ends. A fault in them is named with its byte.
pub fn run(mut input: impl Read, mut output: impl Write) -> Result<(), String> {
    let mut link = Link::default();
    let mut place = 0u64;
    loop {
        let mut header = Vec::new();
        read(&mut input, HEADER, &mut header)?;
        if header.is_empty() {
            return Ok(());
        }
        let mut fields = Reader::new(&header, place);
        if header.len() < HEADER {
            return Err(format!("frame cut short at byte {}", place + header.len() as u64));
        }
        let (number, count, length) = (fields.u32()?, fields.u32()?, fields.u32()? as usize);
        if length < CLOCK {
            return Err(format!("length {length} does not hold the clock at byte {}", place + 8));
        }
        let now = Duration::from_micros(fields.u64()?);
        place += HEADER as u64;
        let mut body = Vec::new();
        read(&mut input, length - CLOCK, &mut body)?;
        if body.len() < length - CLOCK {
            return Err(format!("frame cut short at byte {}", place + body.len() as u64));
        }
        let parts = link.batch(&mut Reader::new(&body, place), now, count)?;
        place += body.len() as u64;
        reply(&mut output, number, &parts).map_err(|e| format!("reply not written: {e}"))?;
    }
}

fn read(input: &mut impl Read, n: usize, into: &mut Vec<u8>) -> Result<(), String> {
    input.take(n as u64).read_to_end(into).map_err(|e| format!("input not read: {e}"))?;
    Ok(())
}

fn reply(output: &mut impl Write, number: u32, parts: &[Part]) -> io::Result<()> {
    let (mut count, mut body) = (0, Vec::new());
    for part in parts.iter().filter(|part| part.count > 0) {
        body.extend_from_slice(&333u16.to_be_bytes());
        body.extend_from_slice(&part.instance.to_be_bytes());
        body.extend_from_slice(&part.bytes);
        count += 1 + part.count;
    }
    let mut frame = Vec::with_capacity(12 + body.len());
    for field in [number, count, body.len() as u32] {
        frame.extend_from_slice(&field.to_be_bytes());
    }
    frame.extend_from_slice(&body);
    output.write_all(&frame)?;
    output.flush()
}

impl Link {
    fn batch(&mut self, r: &mut Reader, now: Duration, count: u32) -> Result<Vec<Part>, String> {
        let mut parts: Vec<Part> = Vec::new();
        let mut current = None;
        for _ in 0..count {
            let place = r.place();
            let code = r.u16()?;
            match code {
                257 => {
                    let instance = r.u32()?;
                    if !parts.iter().any(|part| part.instance == instance) {
                        parts.push(Part { instance, count: 0, bytes: Vec::new() });
                    }
                    current = Some(instance);
                    continue;
                }
                260 => {
                    self.list(r)?;
                    continue;
                }
                256 | 258 | 259 | 261..=268 => {}
                _ => return Err(format!("unknown event code {code} at byte {place}")),
            }
            let Some(number) = current else {
                return Err(format!("event {code} before any instance was named at byte {place}"));
            };
            let part = parts.iter_mut().find(|part| part.instance == number).expect("named above");
            match code {
                264 => self.create(r, number, part)?,
                266 => {
                    // What it said earlier in this batch is void with it.
                    self.instances.remove(&number);
                    (part.count, part.bytes) = (0, Vec::new());
                }
                _ => {
                    let Some(instance) = self.instances.get_mut(&number) else {
                        return Err(format!(
                            "event {code} for instance {number} that does not run at byte {place}"
                        ));
                    };
                    let event = event(r, code, &self.lists, instance.as_ref().map(|i| &i.facts))?;
                    if let (Some(instance), Some(event)) = (instance, event) {
                        instance.dispatcher.handle(now, event).iter().for_each(|action| part.put(action));
                    }
                }
            }
        }
        if !r.is_empty() {
            return r.fault("bytes left over after the last record");
        }
        Ok(parts)
    }

    fn list(&mut self, r: &mut Reader) -> Result<(), String> {
        let place = r.place();
        let number = usize::from(r.u8()?);
        let n = r.u32()?;
        let mut entries = Vec::new();
        for _ in 0..n {
            entries.push(entry(r)?);
        }
        match self.lists.get_mut(number) {
            Some(list) => *list = Some(entries),
            None => return Err(format!("list number {number} is over {} at byte {place}", LISTS - 1)),
        }
        Ok(())
    }

    fn create(&mut self, r: &mut Reader, number: u32, part: &mut Part) -> Result<(), String> {
        let seed = r.u64()?;
        let length = r.u32()? as usize;
        let text = String::from_utf8_lossy(r.take(length)?);
        let instance = match DeploymentSettings::parse(&DottedSettings::from_lines(&text)) {
            Ok(facts) => {
                let mut dispatcher = Dispatcher::new(facts.deployment.clone(), seed);
                dispatcher.start().iter().for_each(|action| part.put(action));
                Some(Instance { dispatcher, facts })
            }
            Err(what) => {
                part.record(329, |out| put_bytes(out, what.to_string().as_bytes()));
                None
            }
        };
        self.instances.insert(number, instance);
        Ok(())
    }
}

fn entry(r: &mut Reader) -> Result<Entry, String> {
    let cell = CellId(r.u16()?);
    let host = r.host()?;
    let location = LocationId(r.u16()?);
    let place = r.place();
    let readiness = match r.u8()? {
        0 => Readiness::Gone,
        1 => Readiness::Ready,
        2 => Readiness::Draining,
        other => return Err(format!("unknown readiness {other} at byte {place}")),
    };
    let weight = f64::from(r.f32()?);
    let started = match r.u64()? {
        0 => None,
        micros => Some(Duration::from_micros(micros)),
    };
    let kind = i64::from(r.u8()?);
    let listing = EndpointEntry { host, cell, location, role: Role::Cache, readiness, weight, started };
    Ok(Entry { listing, kind })
}

/// Reads an event. None where an instance without facts would get it.
fn event(
    r: &mut Reader,
    code: u16,
    lists: &[Option<Vec<Entry>>],
    facts: Option<&DeploymentSettings>,
) -> Result<Option<Event>, String> {
    let place = r.place();
    let event = match code {
        256 => {
            let scope = match r.u8()? {
                0 => ListScope::Failed,
                1 => ListScope::Restored,
                2 => ListScope::Full,
                4 => ListScope::Changes,
                other => return Err(format!("unknown list scope {other} at byte {place}")),
            };
            let _generation = r.u32()?;
            let number = r.u8()?;
            let entries = match lists.get(usize::from(number)) {
                _ if scope == ListScope::Failed => &[][..],
                Some(Some(entries)) => entries,
                _ => return Err(format!("list {number} was never sent at byte {place}")),
            };
            let Some(facts) = facts else { return Ok(None) };
            let listing = |entry: &Entry| {
                let place_known = usize::from(entry.listing.location.0) < facts.location_count;
                if !place_known || entry.kind >= facts.kind_count as i64 {
                    return Err(format!("list {number} names an unknown zone or kind at byte {place}"));
                }
                let role = match entry.kind {
                    kind if kind == facts.parent_kind => Role::Parent,
                    kind if kind == facts.origin_kind => Role::Origin,
                    _ => Role::Cache,
                };
                Ok(EndpointEntry { role, ..entry.listing.clone() })
            };
            Event::EndpointsListed { scope, entries: entries.iter().map(listing).collect::<Result<_, _>>()? }
        }
        258 => {
            let id = RequestId(r.u64()?);
            let class = usize::from(r.u8()?);
            let _tenant = r.u16()?;
            let object = ObjectId(r.u64()?);
            let time_left = r.micros()?;
            let (size_kb, group, part) = (f64::from(r.f32()?), r.f32()?, r.f32()?);
            let _marks = r.u16()?;
            if facts.is_some_and(|facts| class >= facts.deployment.classes.len()) {
                return Err(format!("class {class} is not in the settings at byte {place}"));
            }
            Event::RequestArrived(Request {
                id,
                class: ClassId(class),
                object,
                part: part as u32,
                group: GroupId(group as u64),
                time_left,
                size_kb: if size_kb.is_finite() { size_kb.max(0.0) } else { 0.0 },
                previous_attempts: Vec::new(),
            })
        }
        259 => Event::ClientDisconnected(RequestId(r.u64()?)),
        261 => Event::TimerFired(TimerId(r.u32()?)),
        262 => {
            let (host, outcome, took) = (r.host()?, outcome(r)?, r.micros()?);
            Event::HealthChecked { host, outcome, duration: took, load_report: r.floats()? }
        }
        263 => {
            let (request, attempt, host) = (RequestId(r.u64()?), AttemptNumber(r.u16()?), r.host()?);
            let (outcome, took, over) = (outcome(r)?, r.micros()?, r.u8()? != 0);
            let (note, fill_wait) = (note(r)?, r.micros()?);
            let _report = r.floats()?;
            // What the simulator is handed is out.
            Event::AttemptEnded(AttemptEnd {
                request,
                attempt,
                host,
                outcome,
                duration: took,
                request_finished: over,
                cache_status: note,
                fill_wait,
                first_byte_sent: true,
            })
        }
        265 => {
            let (request, _host, _took) = (RequestId(r.u64()?), r.host()?, r.micros()?);
            Event::ResponseStarted { request, attempt: AttemptNumber(r.u16()?) }
        }
        267 => {
            let object = Some(r.u64()?).filter(|object| *object != 0).map(ObjectId);
            Event::Purged { object, group: Some(GroupId(u64::from(r.u16()?))), age: r.micros()? }
        }
        268 => {
            let (from, n) = (r.u16()?, r.u16()?);
            Event::MessageReceived { from, payload: r.take(usize::from(n))?.to_vec() }
        }
        _ => unreachable!("codes are checked by the caller"),
    };
    Ok(facts.is_some().then_some(event))
}

fn outcome(r: &mut Reader) -> Result<Outcome, String> {
    let place = r.place();
    Ok(match r.u16()? {
        0 => Outcome::Succeeded,
        1 => Outcome::Cancelled,
        4 => Outcome::TimedOut,
        5 => Outcome::Miss,
        8 => Outcome::Rejected,
        9 => Outcome::NotSent,
        10 => Outcome::ConnectionLost,
        13 => Outcome::HostError,
        14 => Outcome::ConnectFailed,
        other => return Err(format!("unknown outcome {other} at byte {place}")),
    })
}

fn note(r: &mut Reader) -> Result<CacheStatus, String> {
    let place = r.place();
    Ok(match r.u8()? {
        0 => CacheStatus::Unknown,
        1 => CacheStatus::Hit,
        2 => CacheStatus::Filled,
        3 => CacheStatus::FilledByOrigin,
        4 => CacheStatus::Coalesced,
        5 => CacheStatus::Stale,
        6 => CacheStatus::SourceRejected,
        7 => CacheStatus::SourceUnreachable,
        8 => CacheStatus::SourceMiss,
        9 => CacheStatus::NoFillCapacity,
        10 => CacheStatus::OriginFailed,
        other => return Err(format!("unknown note {other} at byte {place}")),
    })
}

impl Part {
    fn record(&mut self, code: u16, fields: impl FnOnce(&mut Vec<u8>)) {
        self.bytes.extend_from_slice(&code.to_be_bytes());
        fields(&mut self.bytes);
        self.count += 1;
    }

    fn put(&mut self, action: &Action) {
        match action {
            Action::SendAttempt { request, attempt } => self.put_attempt(*request, attempt),
            Action::Reject { request, retry_after } => self.record(321, |out| {
                out.extend_from_slice(&request.0.to_be_bytes());
                put_micros(out, retry_after.unwrap_or_default());
            }),
            Action::Fail { request } => {
                self.record(322, |out| out.extend_from_slice(&request.0.to_be_bytes()))
            }
            Action::CancelAttempt { request, attempt } => self.record(323, |out| {
                out.extend_from_slice(&request.0.to_be_bytes());
                out.extend_from_slice(&attempt.0.to_be_bytes());
            }),
            Action::SetTimer { timer, delay } => self.record(324, |out| {
                out.extend_from_slice(&timer.0.to_be_bytes());
                put_micros(out, *delay);
            }),
            Action::CheckHealth { host } => self.record(325, |out| put_host(out, *host)),
            Action::CloseIdleConnections { host } => self.record(326, |out| put_host(out, *host)),
            Action::SendMessage { to, payload } => self.record(327, |out| {
                out.extend_from_slice(&to.to_be_bytes());
                put_bytes(out, payload);
            }),
            Action::Log(text) => self.record(328, |out| put_bytes(out, text.as_bytes())),
            Action::Subscribe { on } => self.record(330, |out| out.push(u8::from(*on))),
            Action::RequestEndpointList => self.record(331, |_| {}),
        }
    }

    /// An attempt as the wire has it: one that only looks, with nothing else to say, has a record of its own.
    fn put_attempt(&mut self, request: RequestId, attempt: &Attempt) {
        let how = [
            (attempt.coalesce, 1),
            (attempt.cached_at_source_only, 2),
            (attempt.no_store_at_parent, 4),
            (attempt.revalidate, 8),
        ];
        let how: u8 = how.iter().filter(|(on, _)| *on).map(|(_, bit)| bit).sum();
        let looks = attempt.source.is_none()
            && attempt.cache_priority == CachePriority::NoStore
            && attempt.max_age.is_none()
            && how == 0;
        self.record(if looks { 320 } else { 332 }, |out| {
            out.extend_from_slice(&request.0.to_be_bytes());
            put_host(out, attempt.host);
            // Zero would mean no limit at all.
            put_micros(
                out,
                attempt.timeout.map_or(Duration::ZERO, |limit| limit.max(Duration::from_micros(1))),
            );
            if !looks {
                put_host(out, attempt.source.unwrap_or(attempt.host));
                out.push(attempt.cache_priority as u8);
                put_micros(out, attempt.max_age.unwrap_or_default());
                out.push(how);
            }
        });
    }
}
