//! Decodes the records that the simulator sends.

use super::reader::Reader;
use super::EventCode;
use crate::error::AdapterError;
use rockflow::{
    AttemptEnd, AttemptNumber, CacheStatus, CellId, ClassId, EndpointEntry, Event, GroupId, ListScope,
    LocationId, ObjectId, Outcome, Readiness, Request, RequestId, Role, TimerId,
};
use rockflow_settings::DeploymentSettings;
use std::time::Duration;

/// An entry of an endpoint list whose role is not known yet: it depends on the settings of the instance.
pub struct UnresolvedEntry {
    /// The entry, with `Role::Cache` as a placeholder.
    entry: EndpointEntry,
    /// Index of the host's kind in the settings.
    kind: i64,
}

/// Endpoint lists by number; `None` for a list that was not sent.
pub type EndpointLists = [Option<Vec<UnresolvedEntry>>];

/// Reads the entries of an endpoint list, which follow their count.
///
/// # Errors
/// If the record is malformed.
pub fn read_entries(reader: &mut Reader) -> Result<Vec<UnresolvedEntry>, AdapterError> {
    let count = reader.u32()?;
    let mut entries = Vec::new();
    for _ in 0..count {
        entries.push(read_entry(reader)?);
    }
    Ok(entries)
}

/// Reads the fields of an event for an instance. Without settings (those of the instance were invalid) it reads past
/// the record and returns `None`.
///
/// # Errors
/// If the record is malformed, or refers to an endpoint list, location, kind or class that is not known.
///
/// # Panics
/// If the code is `InstanceNamed`, `EndpointList`, `InstanceCreated` or `InstanceRetired`.
pub fn read_event(
    reader: &mut Reader,
    code: EventCode,
    lists: &EndpointLists,
    settings: Option<&DeploymentSettings>,
) -> Result<Option<Event>, AdapterError> {
    let event = match code {
        EventCode::EndpointsListed => return read_endpoints_listed(reader, lists, settings),
        EventCode::RequestArrived => Event::RequestArrived(read_request(reader, settings)?),
        EventCode::ClientDisconnected => Event::ClientDisconnected(RequestId(reader.u64()?)),
        EventCode::TimerFired => Event::TimerFired(TimerId(reader.u32()?)),
        EventCode::HealthChecked => Event::HealthChecked {
            host: reader.host()?,
            outcome: read_outcome(reader)?,
            duration: reader.duration()?,
            load_report: reader.floats()?,
        },
        EventCode::AttemptEnded => Event::AttemptEnded(read_attempt_end(reader)?),
        EventCode::ResponseStarted => read_response_started(reader)?,
        EventCode::Purged => read_purge(reader)?,
        EventCode::MessageReceived => {
            let from = reader.u16()?;
            let length = reader.u16()?;
            Event::MessageReceived { from, payload: reader.bytes(usize::from(length))?.to_vec() }
        }
        EventCode::InstanceNamed
        | EventCode::EndpointList
        | EventCode::InstanceCreated
        | EventCode::InstanceRetired => unreachable!("the adapter itself handles {code:?}"),
    };
    Ok(settings.is_some().then_some(event))
}

fn read_entry(reader: &mut Reader) -> Result<UnresolvedEntry, AdapterError> {
    let cell = CellId(reader.u16()?);
    let host = reader.host()?;
    let location = LocationId(reader.u16()?);
    let readiness = read_readiness(reader)?;
    let weight = f64::from(reader.f32()?);
    let started = match reader.u64()? {
        0 => None,
        micros => Some(Duration::from_micros(micros)),
    };
    let kind = i64::from(reader.u8()?);
    let entry = EndpointEntry { host, cell, location, role: Role::Cache, readiness, weight, started };
    Ok(UnresolvedEntry { entry, kind })
}

fn read_endpoints_listed(
    reader: &mut Reader,
    lists: &EndpointLists,
    settings: Option<&DeploymentSettings>,
) -> Result<Option<Event>, AdapterError> {
    let offset = reader.offset();
    let scope = read_list_scope(reader)?;
    let _generation = reader.u32()?;
    let list = reader.u8()?;
    let unresolved = match lists.get(usize::from(list)) {
        _ if scope == ListScope::Failed => &[][..],
        Some(Some(entries)) => entries,
        _ => return Err(AdapterError::ListNeverSent { list, offset }),
    };
    let Some(settings) = settings else { return Ok(None) };
    let mut entries = Vec::with_capacity(unresolved.len());
    for entry in unresolved {
        let entry =
            resolve_role(entry, settings).ok_or(AdapterError::UnknownLocationOrKind { list, offset })?;
        entries.push(entry);
    }
    Ok(Some(Event::EndpointsListed { scope, entries }))
}

/// The entry with its role; `None` if its location or kind is not in the settings.
fn resolve_role(unresolved: &UnresolvedEntry, settings: &DeploymentSettings) -> Option<EndpointEntry> {
    let is_known = usize::from(unresolved.entry.location.0) < settings.location_count
        && unresolved.kind < settings.kind_count as i64;
    if !is_known {
        return None;
    }
    let role = match unresolved.kind {
        kind if kind == settings.parent_kind => Role::Parent,
        kind if kind == settings.origin_kind => Role::Origin,
        _ => Role::Cache,
    };
    Some(EndpointEntry { role, ..unresolved.entry.clone() })
}

fn read_request(reader: &mut Reader, settings: Option<&DeploymentSettings>) -> Result<Request, AdapterError> {
    let offset = reader.offset();
    let id = RequestId(reader.u64()?);
    let class = usize::from(reader.u8()?);
    let _tenant = reader.u16()?;
    let object = ObjectId(reader.u64()?);
    let time_left = reader.duration()?;
    let size_kb = f64::from(reader.f32()?);
    let group = reader.f32()?;
    let part = reader.f32()?;
    let _marks = reader.u16()?;
    if settings.is_some_and(|settings| class >= settings.deployment.classes.len()) {
        return Err(AdapterError::UnknownClass { class, offset });
    }
    Ok(Request {
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

fn read_attempt_end(reader: &mut Reader) -> Result<AttemptEnd, AdapterError> {
    let request = RequestId(reader.u64()?);
    let attempt = AttemptNumber(reader.u16()?);
    let host = reader.host()?;
    let outcome = read_outcome(reader)?;
    let duration = reader.duration()?;
    let request_finished = reader.u8()? != 0;
    let cache_status = read_cache_status(reader)?;
    let fill_wait = reader.duration()?;
    let _load_report = reader.floats()?;
    Ok(AttemptEnd {
        request,
        attempt,
        host,
        outcome,
        duration,
        request_finished,
        cache_status,
        fill_wait,
        // The simulator sends every attempt that it is given.
        first_byte_sent: true,
    })
}

fn read_response_started(reader: &mut Reader) -> Result<Event, AdapterError> {
    let request = RequestId(reader.u64()?);
    let _host = reader.host()?;
    let _duration = reader.duration()?;
    let attempt = AttemptNumber(reader.u16()?);
    Ok(Event::ResponseStarted { request, attempt })
}

fn read_purge(reader: &mut Reader) -> Result<Event, AdapterError> {
    let object = match reader.u64()? {
        0 => None,
        object => Some(ObjectId(object)),
    };
    let group = Some(GroupId(u64::from(reader.u16()?)));
    Ok(Event::Purged { object, group, age: reader.duration()? })
}

fn read_list_scope(reader: &mut Reader) -> Result<ListScope, AdapterError> {
    let offset = reader.offset();
    match reader.u8()? {
        0 => Ok(ListScope::Failed),
        1 => Ok(ListScope::Restored),
        2 => Ok(ListScope::Full),
        4 => Ok(ListScope::Changes),
        other => Err(AdapterError::UnknownCode { field: "list scope", code: u16::from(other), offset }),
    }
}

fn read_readiness(reader: &mut Reader) -> Result<Readiness, AdapterError> {
    let offset = reader.offset();
    match reader.u8()? {
        0 => Ok(Readiness::Gone),
        1 => Ok(Readiness::Ready),
        2 => Ok(Readiness::Draining),
        other => Err(AdapterError::UnknownCode { field: "readiness", code: u16::from(other), offset }),
    }
}

fn read_outcome(reader: &mut Reader) -> Result<Outcome, AdapterError> {
    let offset = reader.offset();
    match reader.u16()? {
        0 => Ok(Outcome::Succeeded),
        1 => Ok(Outcome::Cancelled),
        4 => Ok(Outcome::TimedOut),
        5 => Ok(Outcome::Miss),
        8 => Ok(Outcome::Rejected),
        9 => Ok(Outcome::NotSent),
        10 => Ok(Outcome::ConnectionLost),
        13 => Ok(Outcome::HostError),
        14 => Ok(Outcome::ConnectFailed),
        code => Err(AdapterError::UnknownCode { field: "outcome", code, offset }),
    }
}

fn read_cache_status(reader: &mut Reader) -> Result<CacheStatus, AdapterError> {
    let offset = reader.offset();
    match reader.u8()? {
        0 => Ok(CacheStatus::Unknown),
        1 => Ok(CacheStatus::Hit),
        2 => Ok(CacheStatus::Filled),
        3 => Ok(CacheStatus::FilledByOrigin),
        4 => Ok(CacheStatus::Coalesced),
        5 => Ok(CacheStatus::Stale),
        6 => Ok(CacheStatus::SourceRejected),
        7 => Ok(CacheStatus::SourceUnreachable),
        8 => Ok(CacheStatus::SourceMiss),
        9 => Ok(CacheStatus::NoFillCapacity),
        10 => Ok(CacheStatus::OriginFailed),
        other => Err(AdapterError::UnknownCode { field: "note", code: u16::from(other), offset }),
    }
}
