//! Messages of the wire, flipped, cut and doubled from a fixed seed, decoded and judged: no panic, bounded memory.
//! `ROCKFLOW_CASES=1000000 cargo test -p rockflow-gnmi --release --test fuzz -- --nocapture` runs the long form.

use prost::Message;
use rockflow_gnmi::paths;
use rockflow_gnmi::wire;
use rockflow_test_servers::memory::CountingAllocator;
use rockflow_yang::{data, DataTree, Edit, EditOperation, Schema};

#[global_allocator]
static COUNTING: CountingAllocator = CountingAllocator::new();

const BOUND: usize = 4 * 1024 * 1024;

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
    let open =
        vec![elem("router", &[]), elem("state", &[]), elem("hosts", &[]), elem("host", &[("name", "*")])];
    let list = wire::SubscriptionList {
        prefix: path(vec![elem("router", &[])]),
        subscription: vec![wire::Subscription {
            path: path(open),
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

fn judge(schema: &Schema, bytes: &[u8]) -> (bool, bool) {
    let (mut read, mut changed) = (false, false);
    if let Ok(set) = wire::SetRequest::decode(bytes) {
        read = true;
        let mut fields = DataTree::new();
        for update in set.replace.iter().chain(&set.update) {
            let Ok(pattern) = paths::decode_pattern(schema, set.prefix.as_ref(), update.path.as_ref()) else {
                continue;
            };
            let Some(path) = paths::to_path(&pattern) else { continue };
            if let Ok(value) = paths::decode_value(schema, &path, update.val.as_ref()) {
                let edit = Edit { path, op: EditOperation::Merge, value: Some(value) };
                changed |= data::apply_edit(schema, &mut fields, &edit).is_ok();
            }
        }
        for path in &set.delete {
            if let Ok(pattern) = paths::decode_pattern(schema, set.prefix.as_ref(), Some(path)) {
                let _ = paths::instances(schema, &fields, &pattern);
            }
        }
    }
    if let Ok(request) = wire::SubscribeRequest::decode(bytes) {
        if let Some(wire::subscribe_request::Request::Subscribe(list)) = request.request {
            for one in &list.subscription {
                let _ = paths::decode_pattern(schema, list.prefix.as_ref(), one.path.as_ref());
            }
        }
    }
    (read, changed)
}

#[test]
fn mutated_messages_neither_panic_nor_exceed_memory() {
    let cases = std::env::var("ROCKFLOW_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(20_000);
    let (schema, seeds) = (Schema::published(), seeds());
    let mut chance = oorandom::Rand32::new(20_261_202);
    let (mut read, mut changed) = (0usize, 0usize);
    let base = COUNTING.reset_peak();
    for case in 0..cases {
        let mut bytes = seeds[case % seeds.len()].clone();
        for _ in 0..chance.rand_range(1..4) {
            let at = chance.rand_range(0..bytes.len() as u32) as usize;
            let to = (at + chance.rand_range(1..30) as usize).min(bytes.len());
            match chance.rand_range(0..5) {
                0 | 1 => bytes[at] = chance.rand_u32() as u8,
                2 => bytes[at] ^= 1 << chance.rand_range(0..8),
                3 => {
                    let part = bytes[at..to].to_vec();
                    bytes.extend(part);
                }
                _ => bytes.truncate(at.max(1)),
            }
        }
        let found = judge(&schema, &bytes);
        read += usize::from(found.0);
        changed += usize::from(found.1);
    }
    let most = COUNTING.peak() - base;
    println!("{cases} inputs: {read} read, {changed} with changes; 0 panics; greatest memory {most} bytes");
    assert!(read > cases / 20 && changed > cases / 50, "too few get anywhere: {read} {changed}");
    assert!(most < BOUND, "{most}");
}
