//! Mutation test of the framing, the XML parser, the codec and the filters, from a fixed seed: mutated
//! messages must neither cause a panic nor exceed the memory bound.
//!
//! For a longer run: `ROCKFLOW_CASES=1000000 cargo test -p rockflow-netconf --release --test fuzz --
//! --nocapture`.

use rockflow_netconf::framing::{encode, Framing};
use rockflow_netconf::{codec, filter, xml};
use rockflow_test_servers::memory::CountingAllocator;
use rockflow_yang::{EditOperation, Path, Schema};

#[global_allocator]
static COUNTING: CountingAllocator = CountingAllocator::new();

/// Maximum message size that the framing accepts in this test, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 * 1024;
/// Upper bound for the memory allocated at any time beyond that at the start of the test, in bytes.
const MAX_ALLOCATED_BYTES: usize = 64 * MAX_MESSAGE_BYTES;

const SEEDS: [&str; 6] = [
    "<rpc xmlns=\"urn:ietf:params:xml:ns:netconf:base:1.0\" message-id=\"1\"><get-config><source><running/></source><filter type=\"subtree\"><router xmlns=\"urn:rockflow:yang:router\"><marks><mark><host>c1</host></mark></marks></router></filter></get-config></rpc>",
    "<rpc xmlns=\"urn:ietf:params:xml:ns:netconf:base:1.0\" xmlns:nc=\"urn:ietf:params:xml:ns:netconf:base:1.0\" message-id=\"2\"><edit-config><target><candidate/></target><config><router xmlns=\"urn:rockflow:yang:router\"><marks><mark nc:operation=\"replace\"><host>c1</host><state>gone</state><reason>a &lt; b &amp; c</reason></mark><mark nc:operation=\"remove\"><host>c2</host></mark></marks><access xmlns=\"urn:rockflow:yang:access\"><group><name>g</name><user>u</user></group><rule><number>7</number><group>g</group><action>permit</action></rule></access></router></config></edit-config></rpc>",
    "<hello xmlns=\"urn:ietf:params:xml:ns:netconf:base:1.0\"><capabilities><capability>urn:ietf:params:netconf:base:1.1</capability></capabilities></hello>",
    "/rockflow-router:router/marks/mark[host='c1']/state | //x[a=\"]",
    "<a><![CDATA[x]]>&#65;&#x42;&quot;<!-- c --></a>",
    "<drain xmlns=\"urn:rockflow:yang:router\"><host>c1</host><expires-in>60</expires-in><force>true</force></drain>",
];

/// Applies one to five random changes: flips a bit, truncates, removes, repeats or swaps bytes, or inserts a
/// token.
fn mutate(bytes: &mut Vec<u8>, random: &mut oorandom::Rand32) {
    for _ in 0..random.rand_range(1..6) {
        if bytes.is_empty() {
            return;
        }
        let at = random.rand_range(0..bytes.len() as u32) as usize;
        let to = (at + random.rand_range(1..40) as usize).min(bytes.len());
        match random.rand_range(0..7) {
            0 => bytes[at] ^= 1 << random.rand_range(0..8),
            1 => bytes.truncate(at),
            2 => drop(bytes.drain(at..to)),
            3 => {
                let part = bytes[at..to].repeat(random.rand_range(1..20) as usize);
                bytes.splice(at..at, part);
            }
            4 => bytes[at] = random.rand_u32() as u8,
            5 => {
                let tokens: [&[u8]; 8] = [
                    b"<",
                    b"</a>",
                    b"&x;",
                    b"\n#",
                    b"\n##\n",
                    b"]]>]]>",
                    b"\n#4294967295\n",
                    b"<!DOCTYPE a [",
                ];
                let token = tokens[random.rand_range(0..8) as usize];
                bytes.splice(at..at, token.iter().copied());
            }
            _ => bytes.swap(at, to - 1),
        }
    }
}

/// Changes characters of text between tags, so that the message stays well-formed XML and reaches the checks
/// after the XML parser.
fn mutate_values(bytes: &mut [u8], random: &mut oorandom::Rand32) {
    for _ in 0..random.rand_range(1..4) {
        let at = random.rand_range(0..bytes.len() as u32) as usize;
        let previous_bracket = bytes[..at].iter().rposition(|byte| matches!(byte, b'<' | b'>'));
        if previous_bracket.is_some_and(|index| bytes[index] == b'>') && bytes[at].is_ascii_alphanumeric() {
            bytes[at] = b"0123456789abcxyz-_.:/['*"[random.rand_range(0..24) as usize];
        }
    }
}

#[test]
fn mutated_messages_neither_panic_nor_exceed_memory() {
    let cases = std::env::var("ROCKFLOW_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(20_000);
    let schema = Schema::published();
    let mut random = oorandom::Rand32::new(20_261_201);
    let (mut parsed, mut with_edits, mut framed) = (0, 0, 0);
    let base = COUNTING.reset_peak();
    for case in 0..cases {
        let seed = SEEDS[case % SEEDS.len()];
        let mut bytes = match case / SEEDS.len() % 4 {
            0 | 1 => seed.as_bytes().to_vec(),
            2 => encode(seed, true),
            _ => encode(seed, false),
        };
        if (case / SEEDS.len()).is_multiple_of(2) {
            mutate_values(&mut bytes, &mut random);
        } else {
            mutate(&mut bytes, &mut random);
        }
        let mut framing = Framing::new(MAX_MESSAGE_BYTES);
        if case % 2 == 0 {
            framing.switch_to_chunks();
        }
        for part in bytes.chunks(1 + random.rand_range(0..200) as usize) {
            framing.add(part);
            while let Ok(Some(_)) = framing.next_message() {
                framed += 1;
            }
        }
        if let Ok(element) = xml::read(&bytes) {
            parsed += 1;
            let target = element.children.first().unwrap_or(&element);
            for config in [target, target.child("config").unwrap_or(target)] {
                with_edits += usize::from(
                    codec::edits(&schema, config, EditOperation::Merge).is_ok_and(|edits| !edits.is_empty()),
                );
                let _ = codec::read(
                    &schema,
                    None,
                    &config.children,
                    &Path::default(),
                    rockflow_yang::NodeScope::ConfigAndState,
                );
                let _ = filter::subtree(&schema, &Default::default(), None, &config.children);
            }
        }
        if let Ok(text) = std::str::from_utf8(&bytes) {
            let _ = filter::patterns(&schema, text, &Default::default());
        }
    }
    let peak_bytes = COUNTING.peak() - base;
    println!("{cases} inputs: {framed} framed, {parsed} parsed, {with_edits} with edits; 0 panics; peak memory {peak_bytes} bytes");
    assert!(
        parsed > cases / 20 && framed > cases / 20,
        "too few inputs were framed or parsed: {framed} {parsed}"
    );
    assert!(peak_bytes < MAX_ALLOCATED_BYTES, "{peak_bytes}");
}
