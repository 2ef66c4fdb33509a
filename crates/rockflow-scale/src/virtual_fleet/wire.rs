//! Sizes of frames as the transport packs them.

use rockflow_dissemination::{Identity, Message};
use rockflow_transport::datagram::{MAX_MESSAGES, MAX_PACKED_BYTES};

/// Mark, version, fleet, number of messages and checksum.
const AROUND: usize = 2 + 1 + 4 + 1 + 4;
/// Heads of IPv4 and UDP.
const IP_UDP: usize = 28;
/// Where a frame is full the number of messages counts as so many bytes more than it takes.
const COUNT_SPARE: usize = 3;

fn size(value: &impl serde::Serialize) -> usize {
    let sizer = postcard::ser_flavors::Size::default();
    postcard::serialize_with_flavor(value, sizer).expect("a message is always written")
}

/// Frames to one peer, with their bytes on the wire.
pub fn pack(from: Identity, messages: Vec<Message>) -> Vec<(usize, Vec<Message>)> {
    let around = AROUND + size(&from);
    let mut frames: Vec<(usize, Vec<Message>)> = Vec::new();
    for message in messages {
        let bytes = size(&message);
        match frames.last_mut() {
            Some((held, pack))
                if *held - IP_UDP + COUNT_SPARE + bytes <= MAX_PACKED_BYTES && pack.len() < MAX_MESSAGES =>
            {
                *held += bytes;
                pack.push(message);
            }
            _ => frames.push((IP_UDP + around + bytes, vec![message])),
        }
    }
    frames
}
