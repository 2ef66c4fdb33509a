//! Encodes actions of the decision logic as records, and records as replies.

use super::ActionCode;
use rockflow::{Action, Attempt, CachePriority, HostId, RequestId};
use std::time::Duration;

// The bits of an attempt's flags.
const FLAG_COALESCE: u8 = 1;
const FLAG_CACHED_AT_SOURCE_ONLY: u8 = 2;
const FLAG_NO_STORE_AT_PARENT: u8 = 4;
const FLAG_REVALIDATE: u8 = 8;

/// The shortest timeout that is sent: zero on the wire means no timeout.
const MIN_TIMEOUT: Duration = Duration::from_micros(1);

/// The encoded records of one instance in a reply.
#[derive(Debug)]
pub struct InstanceRecords {
    instance: u32,
    /// The number of records.
    count: u32,
    bytes: Vec<u8>,
}

impl InstanceRecords {
    /// Creates an empty set of records for an instance.
    pub fn new(instance: u32) -> Self {
        InstanceRecords { instance, count: 0, bytes: Vec::new() }
    }

    /// The number of the instance.
    pub fn instance(&self) -> u32 {
        self.instance
    }

    /// Removes all records.
    pub fn clear(&mut self) {
        self.count = 0;
        self.bytes.clear();
    }

    /// Adds one record for each action.
    pub fn push_actions(&mut self, actions: &[Action]) {
        for action in actions {
            self.push_action(action);
        }
    }

    /// Adds the record that the settings of the instance are invalid, with the error text.
    pub fn push_settings_rejected(&mut self, error: &str) {
        self.push(ActionCode::SettingsRejected, |bytes| put_bytes(bytes, error.as_bytes()));
    }

    fn push(&mut self, code: ActionCode, put_fields: impl FnOnce(&mut Vec<u8>)) {
        self.bytes.extend_from_slice(&code.code().to_be_bytes());
        put_fields(&mut self.bytes);
        self.count += 1;
    }

    fn push_action(&mut self, action: &Action) {
        match action {
            Action::SendAttempt { request, attempt } => self.push_attempt(*request, attempt),
            Action::Reject { request, retry_after } => self.push(ActionCode::Reject, |bytes| {
                put_request(bytes, *request);
                put_duration(bytes, retry_after.unwrap_or_default());
            }),
            Action::Fail { request } => self.push(ActionCode::Fail, |bytes| put_request(bytes, *request)),
            Action::CancelAttempt { request, attempt } => self.push(ActionCode::CancelAttempt, |bytes| {
                put_request(bytes, *request);
                bytes.extend_from_slice(&attempt.0.to_be_bytes());
            }),
            Action::SetTimer { timer, delay } => self.push(ActionCode::SetTimer, |bytes| {
                bytes.extend_from_slice(&timer.0.to_be_bytes());
                put_duration(bytes, *delay);
            }),
            Action::CheckHealth { host } => {
                self.push(ActionCode::CheckHealth, |bytes| put_host(bytes, *host));
            }
            Action::CloseIdleConnections { host } => {
                self.push(ActionCode::CloseIdleConnections, |bytes| put_host(bytes, *host));
            }
            Action::SendMessage { to, payload } => self.push(ActionCode::SendMessage, |bytes| {
                bytes.extend_from_slice(&to.to_be_bytes());
                put_bytes(bytes, payload);
            }),
            Action::Log(text) => self.push(ActionCode::Log, |bytes| put_bytes(bytes, text.as_bytes())),
            Action::Subscribe { on } => self.push(ActionCode::Subscribe, |bytes| bytes.push(u8::from(*on))),
            Action::RequestEndpointList => self.push(ActionCode::RequestEndpointList, |_| {}),
        }
    }

    /// Adds the record of an attempt. An attempt with priority `NoStore` and without source, maximum age
    /// and flags has a shorter record.
    fn push_attempt(&mut self, request: RequestId, attempt: &Attempt) {
        let flags = flags(attempt);
        let is_cached_only = attempt.source.is_none()
            && attempt.cache_priority == CachePriority::NoStore
            && attempt.max_age.is_none()
            && flags == 0;
        let code = if is_cached_only { ActionCode::SendCachedOnlyAttempt } else { ActionCode::SendAttempt };
        self.push(code, |bytes| {
            put_request(bytes, request);
            put_host(bytes, attempt.host);
            let timeout = attempt.timeout.map(|timeout| timeout.max(MIN_TIMEOUT));
            put_duration(bytes, timeout.unwrap_or_default());
            if !is_cached_only {
                put_host(bytes, attempt.source.unwrap_or(attempt.host));
                bytes.push(priority_code(attempt.cache_priority));
                put_duration(bytes, attempt.max_age.unwrap_or_default());
                bytes.push(flags);
            }
        });
    }
}

/// Encodes the reply to a batch. Instances without records are left out.
pub fn encode_reply(batch: u32, instances: &[InstanceRecords]) -> Vec<u8> {
    let mut count = 0;
    let mut body = Vec::new();
    for records in instances.iter().filter(|records| records.count > 0) {
        body.extend_from_slice(&ActionCode::InstanceNamed.code().to_be_bytes());
        body.extend_from_slice(&records.instance.to_be_bytes());
        body.extend_from_slice(&records.bytes);
        count += 1 + records.count;
    }
    let mut frame = Vec::with_capacity(12 + body.len());
    for field in [batch, count, body.len() as u32] {
        frame.extend_from_slice(&field.to_be_bytes());
    }
    frame.extend_from_slice(&body);
    frame
}

fn flags(attempt: &Attempt) -> u8 {
    let flags = [
        (attempt.coalesce, FLAG_COALESCE),
        (attempt.cached_at_source_only, FLAG_CACHED_AT_SOURCE_ONLY),
        (attempt.no_store_at_parent, FLAG_NO_STORE_AT_PARENT),
        (attempt.revalidate, FLAG_REVALIDATE),
    ];
    flags.iter().filter(|(is_set, _)| *is_set).map(|(_, flag)| flag).sum()
}

fn priority_code(priority: CachePriority) -> u8 {
    match priority {
        CachePriority::NoStore => 0,
        CachePriority::Low => 1,
        CachePriority::Medium => 2,
        CachePriority::High => 3,
    }
}

fn put_request(bytes: &mut Vec<u8>, request: RequestId) {
    bytes.extend_from_slice(&request.0.to_be_bytes());
}

fn put_host(bytes: &mut Vec<u8>, host: HostId) {
    bytes.extend_from_slice(&host.0.to_be_bytes()[2..]);
}

/// Appends a duration in microseconds, limited to the longest that fits in 4 bytes.
fn put_duration(bytes: &mut Vec<u8>, duration: Duration) {
    let micros = u32::try_from(duration.as_micros()).unwrap_or(u32::MAX);
    bytes.extend_from_slice(&micros.to_be_bytes());
}

/// Appends bytes after their count of 2 bytes. Content that is too long for the count is truncated.
fn put_bytes(bytes: &mut Vec<u8>, content: &[u8]) {
    let count = content.len().min(usize::from(u16::MAX));
    bytes.extend_from_slice(&(count as u16).to_be_bytes());
    bytes.extend_from_slice(&content[..count]);
}
