//! Translates the simulator's batches into events and the decisions' actions into replies. Decides nothing.

pub mod wire;

use rockflow::interface::*;
use rockflow::Dispatcher;
use rockflow_facts::{Facts, Pairs};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::time::Duration;
use wire::{put_bytes, put_host, put_micros, Reader};

const HEADER: usize = 20;
/// Bytes of the header that the length field counts.
const CLOCK: usize = 8;
const LISTS: usize = 16;

struct Entry {
    listing: Listing,
    kind: i64,
}

struct Instance {
    dispatcher: Dispatcher,
    facts: Facts,
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
        let instance = match rockflow_facts::parse(&Pairs::from_lines(&text)) {
            Ok(facts) => {
                let mut dispatcher = Dispatcher::new(facts.deployment.clone(), seed);
                dispatcher.start().iter().for_each(|action| part.put(action));
                Some(Instance { dispatcher, facts })
            }
            Err(what) => {
                part.record(329, |out| put_bytes(out, what.as_bytes()));
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
    let listing = Listing { host, cell, location, role: Role::Cache, readiness, weight, started };
    Ok(Entry { listing, kind })
}

/// Reads an event. None where an instance without facts would get it.
fn event(
    r: &mut Reader,
    code: u16,
    lists: &[Option<Vec<Entry>>],
    facts: Option<&Facts>,
) -> Result<Option<Event>, String> {
    let place = r.place();
    let event = match code {
        256 => {
            let scope = match r.u8()? {
                0 => ListScope::Failed,
                1 => ListScope::Remembered,
                2 => ListScope::Whole,
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
                let place_known = usize::from(entry.listing.location.0) < facts.locations;
                if !place_known || entry.kind >= facts.kinds as i64 {
                    return Err(format!("list {number} names an unknown zone or kind at byte {place}"));
                }
                let role = match entry.kind {
                    kind if kind == facts.parent_kind => Role::Parent,
                    kind if kind == facts.origin_kind => Role::Origin,
                    _ => Role::Cache,
                };
                Ok(Listing { role, ..entry.listing.clone() })
            };
            Event::Listed { scope, hosts: entries.iter().map(listing).collect::<Result<_, _>>()? }
        }
        258 => {
            let id = QueryId(r.u64()?);
            let product = usize::from(r.u8()?);
            let _tenant = r.u16()?;
            let object = ObjectId(r.u64()?);
            let time_left = r.micros()?;
            let (size_kb, group, part) = (f64::from(r.f32()?), r.f32()?, r.f32()?);
            let _marks = r.u16()?;
            if facts.is_some_and(|facts| product >= facts.deployment.products.len()) {
                return Err(format!("class {product} is not in the settings at byte {place}"));
            }
            Event::Asked(Query {
                id,
                product: ProductId(product),
                object,
                part: part as u32,
                group: GroupId(group as u64),
                time_left,
                size_kb: if size_kb.is_finite() { size_kb.max(0.0) } else { 0.0 },
                former: Vec::new(),
            })
        }
        259 => Event::ClientLeft(QueryId(r.u64()?)),
        261 => Event::TimerDue(TimerId(r.u32()?)),
        262 => {
            let (host, outcome, took) = (r.host()?, outcome(r)?, r.micros()?);
            Event::Probed { host, outcome, took, report: r.floats()? }
        }
        263 => {
            let (query, leg, host) = (QueryId(r.u64()?), LegNo(r.u16()?), r.host()?);
            let (outcome, took, over) = (outcome(r)?, r.micros()?, r.u8()? != 0);
            let (note, fill_wait) = (note(r)?, r.micros()?);
            let _report = r.floats()?;
            // What the simulator is handed is out.
            Event::LegEnded(LegEnd { query, leg, host, outcome, took, over, note, fill_wait, begun: true })
        }
        265 => {
            let (query, _host, _took) = (QueryId(r.u64()?), r.host()?, r.micros()?);
            Event::LegBegan { query, leg: LegNo(r.u16()?) }
        }
        267 => {
            let object = Some(r.u64()?).filter(|object| *object != 0).map(ObjectId);
            Event::Purged { object, group: Some(GroupId(u64::from(r.u16()?))), ago: r.micros()? }
        }
        268 => {
            let (from, n) = (r.u16()?, r.u16()?);
            Event::Told { from, payload: r.take(usize::from(n))?.to_vec() }
        }
        _ => unreachable!("codes are checked by the caller"),
    };
    Ok(facts.is_some().then_some(event))
}

fn outcome(r: &mut Reader) -> Result<Outcome, String> {
    let place = r.place();
    Ok(match r.u16()? {
        0 => Outcome::Succeeded,
        1 => Outcome::CalledOff,
        4 => Outcome::TimedOut,
        5 => Outcome::Miss,
        8 => Outcome::TurnedAway,
        9 => Outcome::NotSent,
        10 => Outcome::Broken,
        13 => Outcome::HostError,
        14 => Outcome::NotConnected,
        other => return Err(format!("unknown outcome {other} at byte {place}")),
    })
}

fn note(r: &mut Reader) -> Result<Note, String> {
    let place = r.place();
    Ok(match r.u8()? {
        0 => Note::Untold,
        1 => Note::Hit,
        2 => Note::Filled,
        3 => Note::FilledByOrigin,
        4 => Note::Joined,
        5 => Note::PastFresh,
        6 => Note::SourceRefused,
        7 => Note::SourceUnreached,
        8 => Note::SourceLacks,
        9 => Note::NoPlace,
        10 => Note::OriginFailed,
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
            Action::Send { query, leg } => self.put_leg(*query, leg),
            Action::Dismiss { query, pause } => self.record(321, |out| {
                out.extend_from_slice(&query.0.to_be_bytes());
                put_micros(out, pause.unwrap_or_default());
            }),
            Action::Terminate { query } => {
                self.record(322, |out| out.extend_from_slice(&query.0.to_be_bytes()))
            }
            Action::CallOff { query, leg } => self.record(323, |out| {
                out.extend_from_slice(&query.0.to_be_bytes());
                out.extend_from_slice(&leg.0.to_be_bytes());
            }),
            Action::SetTimer { timer, span } => self.record(324, |out| {
                out.extend_from_slice(&timer.0.to_be_bytes());
                put_micros(out, *span);
            }),
            Action::Probe { host } => self.record(325, |out| put_host(out, *host)),
            Action::CloseIdle { host } => self.record(326, |out| put_host(out, *host)),
            Action::Tell { to, payload } => self.record(327, |out| {
                out.extend_from_slice(&to.to_be_bytes());
                put_bytes(out, payload);
            }),
            Action::Log(text) => self.record(328, |out| put_bytes(out, text.as_bytes())),
            Action::Subscribe { on } => self.record(330, |out| out.push(u8::from(*on))),
            Action::AskList => self.record(331, |_| {}),
        }
    }

    /// A leg as the wire has it: one that only looks, with nothing else to say, has a record of its own.
    fn put_leg(&mut self, query: QueryId, leg: &Leg) {
        let how = [(leg.join, 1), (leg.held_at_source, 2), (leg.unkept_at_parent, 4), (leg.renew, 8)];
        let how: u8 = how.iter().filter(|(on, _)| *on).map(|(_, bit)| bit).sum();
        let looks = leg.source.is_none() && leg.keep == Keep::Not && leg.oldest.is_none() && how == 0;
        self.record(if looks { 320 } else { 332 }, |out| {
            out.extend_from_slice(&query.0.to_be_bytes());
            put_host(out, leg.host);
            // Zero would mean no limit at all.
            put_micros(out, leg.limit.map_or(Duration::ZERO, |limit| limit.max(Duration::from_micros(1))));
            if !looks {
                put_host(out, leg.source.unwrap_or(leg.host));
                out.push(leg.keep as u8);
                put_micros(out, leg.oldest.unwrap_or_default());
                out.push(how);
            }
        });
    }
}
