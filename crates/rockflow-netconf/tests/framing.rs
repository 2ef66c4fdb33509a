//! Messages on a stream, in parts of every size.

use rockflow_netconf::framing::{encode, Framing, FramingError};
use test_case::test_case;

fn parts(framing: &mut Framing, bytes: &[u8], size: usize) -> Result<Vec<String>, FramingError> {
    let mut all = Vec::new();
    for part in bytes.chunks(size) {
        framing.add(part);
        while let Some(message) = framing.next_message()? {
            all.push(String::from_utf8(message).unwrap());
        }
    }
    Ok(all)
}

#[test]
fn messages_are_complete_at_every_split() {
    let messages = ["<a/>", "<b>]]></b>", "<c>\n#3\n</c>"];
    for chunked in [false, true] {
        let bytes: Vec<u8> = messages.iter().flat_map(|message| encode(message, chunked)).collect();
        for size in 1..bytes.len() {
            let mut framing = Framing::new(100);
            if chunked {
                framing.switch_to_chunks();
            }
            assert_eq!(parts(&mut framing, &bytes, size).unwrap(), messages, "{chunked} {size}");
            assert_eq!(framing.buffered_bytes(), 0);
        }
    }
}

#[test]
fn message_spans_chunks_and_framing_switches_after_hello() {
    let mut framing = Framing::new(100);
    framing.add(b"<hello/>]]>]]>\n#1\n<\n#3\na/>\n##\n");
    assert_eq!(framing.next_message().unwrap().unwrap(), b"<hello/>");
    framing.switch_to_chunks();
    assert_eq!(framing.next_message().unwrap().unwrap(), b"<a/>");
    assert_eq!(framing.next_message().unwrap(), None);
}

#[test_case(b"\n#4294967295\n", FramingError::TooLarge(100); "a chunk that says to be huge")]
#[test_case(b"\n#60\n012345678901234567890123456789012345678901234567890123456789\n#60\n", FramingError::TooLarge(100); "too much in parts")]
#[test_case(b"\n#0\n", FramingError::NotAChunk; "none")]
#[test_case(b"\n#01\n", FramingError::NotAChunk; "a leading nought")]
#[test_case(b"\n##\n", FramingError::NotAChunk; "an end of nothing")]
#[test_case(b"x", FramingError::NotAChunk; "something else")]
#[test_case(b"\n#12345678901234567890", FramingError::NotAChunk; "digits without end")]
fn rejects_malformed_chunks_at_once(bytes: &[u8], fault: FramingError) {
    let mut framing = Framing::new(100);
    framing.switch_to_chunks();
    assert_eq!(parts(&mut framing, bytes, 3), Err(fault));
}

#[test]
fn rejects_message_past_its_limit() {
    let mut framing = Framing::new(100);
    let ended = (0..20).find_map(|_| {
        framing.add(&[b'x'; 10]);
        framing.next_message().err()
    });
    assert_eq!(ended, Some(FramingError::TooLarge(100)));
}
