//! Message framing on a byte stream that arrives in parts of different sizes.

use rockflow_netconf::framing::{encode, Framing, FramingError};
use test_case::test_case;

fn feed_in_parts(framing: &mut Framing, bytes: &[u8], size: usize) -> Result<Vec<String>, FramingError> {
    let mut messages = Vec::new();
    for part in bytes.chunks(size) {
        framing.add(part);
        while let Some(message) = framing.next_message()? {
            messages.push(String::from_utf8(message).unwrap());
        }
    }
    Ok(messages)
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
            assert_eq!(feed_in_parts(&mut framing, &bytes, size).unwrap(), messages, "{chunked} {size}");
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

#[test_case(b"\n#4294967295\n", FramingError::TooLarge(100); "announces a huge chunk")]
#[test_case(b"\n#60\n012345678901234567890123456789012345678901234567890123456789\n#60\n", FramingError::TooLarge(100); "chunks exceed the limit together")]
#[test_case(b"\n#0\n", FramingError::NotAChunk; "chunk size zero")]
#[test_case(b"\n#01\n", FramingError::NotAChunk; "chunk size with a leading zero")]
#[test_case(b"\n##\n", FramingError::NotAChunk; "end of chunks without a chunk")]
#[test_case(b"x", FramingError::NotAChunk; "no chunk header")]
#[test_case(b"\n#12345678901234567890", FramingError::NotAChunk; "unterminated chunk size")]
fn rejects_malformed_chunks_at_once(bytes: &[u8], expected: FramingError) {
    let mut framing = Framing::new(100);
    framing.switch_to_chunks();
    assert_eq!(feed_in_parts(&mut framing, bytes, 3), Err(expected));
}

#[test]
fn rejects_message_larger_than_the_limit() {
    let mut framing = Framing::new(100);
    let error = (0..20).find_map(|_| {
        framing.add(&[b'x'; 10]);
        framing.next_message().err()
    });
    assert_eq!(error, Some(FramingError::TooLarge(100)));
}
