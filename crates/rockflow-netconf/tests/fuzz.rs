//! Messages, and what is cut, doubled, swapped and flipped in them, from a fixed seed: no panic, and no more
//! memory than a message may take. `ROCKFLOW_CASES=1000000 cargo test -p rockflow-netconf --release --test fuzz --
//! --nocapture` runs the long form.

use rockflow_netconf::framing::{encode, Framing};
use rockflow_netconf::{codec, filter, xml};
use rockflow_test_servers::memory::CountingAllocator;
use rockflow_yang::{EditOperation, Path, Schema};

#[global_allocator]
static COUNTING: CountingAllocator = CountingAllocator::new();

/// The largest message that the framing takes here, and what all that is made of one may hold beside it.
const MESSAGE: usize = 64 * 1024;
const BOUND: usize = 64 * MESSAGE;

const SEEDS: [&str; 6] = [
    "<rpc xmlns=\"urn:ietf:params:xml:ns:netconf:base:1.0\" message-id=\"1\"><get-config><source><running/></source><filter type=\"subtree\"><router xmlns=\"urn:rockflow:yang:router\"><marks><mark><host>c1</host></mark></marks></router></filter></get-config></rpc>",
    "<rpc xmlns=\"urn:ietf:params:xml:ns:netconf:base:1.0\" xmlns:nc=\"urn:ietf:params:xml:ns:netconf:base:1.0\" message-id=\"2\"><edit-config><target><candidate/></target><config><router xmlns=\"urn:rockflow:yang:router\"><marks><mark nc:operation=\"replace\"><host>c1</host><state>gone</state><reason>a &lt; b &amp; c</reason></mark><mark nc:operation=\"remove\"><host>c2</host></mark></marks><access xmlns=\"urn:rockflow:yang:access\"><group><name>g</name><user>u</user></group><rule><number>7</number><group>g</group><action>permit</action></rule></access></router></config></edit-config></rpc>",
    "<hello xmlns=\"urn:ietf:params:xml:ns:netconf:base:1.0\"><capabilities><capability>urn:ietf:params:netconf:base:1.1</capability></capabilities></hello>",
    "/rockflow-router:router/marks/mark[host='c1']/state | //x[a=\"]",
    "<a><![CDATA[x]]>&#65;&#x42;&quot;<!-- c --></a>",
    "<drain xmlns=\"urn:rockflow:yang:router\"><host>c1</host><expires-in>60</expires-in><force>true</force></drain>",
];

fn mutate(bytes: &mut Vec<u8>, chance: &mut oorandom::Rand32) {
    for _ in 0..chance.rand_range(1..6) {
        if bytes.is_empty() {
            return;
        }
        let at = chance.rand_range(0..bytes.len() as u32) as usize;
        let to = (at + chance.rand_range(1..40) as usize).min(bytes.len());
        match chance.rand_range(0..7) {
            0 => bytes[at] ^= 1 << chance.rand_range(0..8),
            1 => bytes.truncate(at),
            2 => drop(bytes.drain(at..to)),
            3 => {
                let part = bytes[at..to].repeat(chance.rand_range(1..20) as usize);
                bytes.splice(at..at, part);
            }
            4 => bytes[at] = chance.rand_u32() as u8,
            5 => {
                let words: [&[u8]; 8] = [
                    b"<",
                    b"</a>",
                    b"&x;",
                    b"\n#",
                    b"\n##\n",
                    b"]]>]]>",
                    b"\n#4294967295\n",
                    b"<!DOCTYPE a [",
                ];
                let word = words[chance.rand_range(0..8) as usize];
                bytes.splice(at..at, word.iter().copied());
            }
            _ => bytes.swap(at, to - 1),
        }
    }
}

/// Changes what stands between elements, so that what comes is still XML and reaches the judges behind that.
fn mutate_values(bytes: &mut [u8], chance: &mut oorandom::Rand32) {
    for _ in 0..chance.rand_range(1..4) {
        let at = chance.rand_range(0..bytes.len() as u32) as usize;
        let inside = bytes[..at].iter().rposition(|byte| matches!(byte, b'<' | b'>'));
        if inside.is_some_and(|place| bytes[place] == b'>') && bytes[at].is_ascii_alphanumeric() {
            bytes[at] = b"0123456789abcxyz-_.:/['*"[chance.rand_range(0..24) as usize];
        }
    }
}

#[test]
fn mutated_messages_neither_panic_nor_exceed_memory() {
    let cases = std::env::var("ROCKFLOW_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(20_000);
    let schema = Schema::published();
    let mut chance = oorandom::Rand32::new(20_261_201);
    let (mut read, mut edited, mut framed) = (0, 0, 0);
    let base = COUNTING.reset_peak();
    for case in 0..cases {
        let seed = SEEDS[case % SEEDS.len()];
        let mut bytes = match case / SEEDS.len() % 4 {
            0 | 1 => seed.as_bytes().to_vec(),
            2 => encode(seed, true),
            _ => encode(seed, false),
        };
        if (case / SEEDS.len()).is_multiple_of(2) {
            mutate_values(&mut bytes, &mut chance);
        } else {
            mutate(&mut bytes, &mut chance);
        }
        let mut framing = Framing::new(MESSAGE);
        if case % 2 == 0 {
            framing.switch_to_chunks();
        }
        for part in bytes.chunks(1 + chance.rand_range(0..200) as usize) {
            framing.add(part);
            while let Ok(Some(_)) = framing.next_message() {
                framed += 1;
            }
        }
        if let Ok(element) = xml::read(&bytes) {
            read += 1;
            let target = element.children.first().unwrap_or(&element);
            for config in [target, target.child("config").unwrap_or(target)] {
                edited += usize::from(
                    codec::edits(&schema, config, EditOperation::Merge).is_ok_and(|all| !all.is_empty()),
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
    let most = COUNTING.peak() - base;
    println!("{cases} inputs: {framed} framed, {read} read, {edited} with edits; 0 panics; greatest memory {most} bytes");
    assert!(read > cases / 20 && framed > cases / 20, "too few get anywhere: {framed} {read}");
    assert!(most < BOUND, "{most}");
}
