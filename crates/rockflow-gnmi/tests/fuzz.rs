//! Mutates valid gNMI messages with a fixed random seed (bits flipped, bytes overwritten, parts duplicated or cut off),
//! decodes and processes them, and checks that nothing panics and memory stays bounded. For a longer run:
//! `ROCKFLOW_CASES=1000000 cargo test -p rockflow-gnmi --release --test fuzz -- --nocapture`.

use prost::Message;
use rockflow_gnmi::paths;
use rockflow_gnmi::wire;
use rockflow_test_servers::memory::CountingAllocator;
use rockflow_yang::{data, DataTree, Edit, EditOperation, Schema};

#[global_allocator]
static COUNTING: CountingAllocator = CountingAllocator::new();

/// Bytes that all inputs together may add to the peak of allocated memory.
const MAX_MEMORY_BYTES: usize = 4 * 1024 * 1024;

fn elem(name: &str, keys: &[(&str, &str)]) -> wire::PathElem {
    let key = keys.iter().map(|(key, value)| (key.to_string(), value.to_string())).collect();
    wire::PathElem { name: name.to_string(), key }
}

fn path(elem: Vec<wire::PathElem>) -> Option<wire::Path> {
    Some(wire::Path { elem, ..Default::default() })
}

fn update(path: Option<wire::Path>, json: &str) -> wire::Update {
    let value = wire::typed_value::Value::JsonIetfVal(json.as_bytes().to_vec());
    wire::Update { path, val: Some(wire::TypedValue { value: Some(value) }), duplicates: 0 }
}

fn seeds() -> Vec<Vec<u8>> {
    let mark = || vec![elem("router", &[]), elem("marks", &[]), elem("mark", &[("host", "c1")])];
    let level = vec![elem("rockflow-router:router", &[]), elem("logging", &[]), elem("level", &[])];
    let set = wire::SetRequest {
        delete: path(mark()).into_iter().collect(),
        replace: vec![update(path(mark()), "{\"state\":\"gone\",\"reason\":\"x\"}")],
        update: vec![
            update(path(level), "\"debug\""),
            update(path(Vec::new()), "{\"rockflow-router:router\":{}}"),
        ],
        ..Default::default()
    };
    let open_keys =
        vec![elem("router", &[]), elem("state", &[]), elem("hosts", &[]), elem("host", &[("name", "*")])];
    let list = wire::SubscriptionList {
        prefix: path(vec![elem("router", &[])]),
        subscription: vec![wire::Subscription {
            path: path(open_keys),
            mode: 2,
            sample_interval: 1,
            ..Default::default()
        }],
        ..Default::default()
    };
    let subscribe = wire::SubscribeRequest {
        request: Some(wire::subscribe_request::Request::Subscribe(list)),
        extension: Vec::new(),
    };
    vec![set.encode_to_vec(), subscribe.encode_to_vec()]
}

/// How far a mutated message got.
#[derive(Default)]
struct Outcome {
    /// The message was decoded as a Set request.
    is_set_request: bool,
    /// At least one of its values was applied to the data tree.
    has_applied_edit: bool,
}

/// Decodes a message as a Set and as a Subscribe request, and processes what could be decoded.
fn process(schema: &Schema, bytes: &[u8]) -> Outcome {
    let mut outcome = Outcome::default();
    if let Ok(set) = wire::SetRequest::decode(bytes) {
        outcome.is_set_request = true;
        let mut tree = DataTree::new();
        for update in set.replace.iter().chain(&set.update) {
            let Ok(pattern) = paths::decode_pattern(schema, set.prefix.as_ref(), update.path.as_ref()) else {
                continue;
            };
            let Some(path) = paths::to_path(&pattern) else { continue };
            if let Ok(value) = paths::decode_value(schema, &path, update.val.as_ref()) {
                let edit = Edit { path, op: EditOperation::Merge, value: Some(value) };
                outcome.has_applied_edit |= data::apply_edit(schema, &mut tree, &edit).is_ok();
            }
        }
        for path in &set.delete {
            if let Ok(pattern) = paths::decode_pattern(schema, set.prefix.as_ref(), Some(path)) {
                let _ = paths::instances(schema, &tree, &pattern);
            }
        }
    }
    if let Ok(request) = wire::SubscribeRequest::decode(bytes) {
        if let Some(wire::subscribe_request::Request::Subscribe(list)) = request.request {
            for subscription in &list.subscription {
                let _ = paths::decode_pattern(schema, list.prefix.as_ref(), subscription.path.as_ref());
            }
        }
    }
    outcome
}

#[test]
fn mutated_messages_neither_panic_nor_exceed_memory() {
    let cases = std::env::var("ROCKFLOW_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(20_000);
    let (schema, seeds) = (Schema::published(), seeds());
    let mut random = oorandom::Rand32::new(20_261_202);
    let (mut set_requests, mut applied) = (0usize, 0usize);
    let base_bytes = COUNTING.reset_peak();
    for case in 0..cases {
        let mut bytes = seeds[case % seeds.len()].clone();
        for _ in 0..random.rand_range(1..4) {
            let start = random.rand_range(0..bytes.len() as u32) as usize;
            let end = (start + random.rand_range(1..30) as usize).min(bytes.len());
            match random.rand_range(0..5) {
                0 | 1 => bytes[start] = random.rand_u32() as u8,
                2 => bytes[start] ^= 1 << random.rand_range(0..8),
                3 => {
                    let part = bytes[start..end].to_vec();
                    bytes.extend(part);
                }
                _ => bytes.truncate(start.max(1)),
            }
        }
        let outcome = process(&schema, &bytes);
        set_requests += usize::from(outcome.is_set_request);
        applied += usize::from(outcome.has_applied_edit);
    }
    let peak_bytes = COUNTING.peak() - base_bytes;
    println!("{cases} inputs: {set_requests} read, {applied} with changes; 0 panics; greatest memory {peak_bytes} bytes");
    assert!(
        set_requests > cases / 20 && applied > cases / 50,
        "too few inputs are decoded or applied: {set_requests} {applied}"
    );
    assert!(peak_bytes < MAX_MEMORY_BYTES, "{peak_bytes}");
}
