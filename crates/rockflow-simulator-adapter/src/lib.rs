//! Adapter between the simulator and the decisions: turns its batches into events, and the decisions' actions into replies.
//! It decides nothing.
//!
//! A batch is a frame of records for any number of instances of a dispatcher, with one time for all. Each gets one reply.

mod error;
mod instances;
pub mod wire;

pub use error::AdapterError;

use instances::Instances;
use std::io::{Read, Write};
use std::time::Duration;
use wire::encode::encode_reply;
use wire::reader::Reader;

/// Bytes of a frame's header: the batch's number, the count of records, the length and the clock.
const HEADER_BYTES: usize = 20;
/// Bytes of the header that the length counts: those of the clock.
const CLOCK_BYTES: usize = 8;
/// Where the length is in the header.
const LENGTH_OFFSET: u64 = 8;

/// Plays batches until the input ends.
///
/// # Errors
/// If the input is malformed, or cannot be read, or a reply cannot be written.
pub fn run(mut input: impl Read, mut output: impl Write) -> Result<(), AdapterError> {
    let mut instances = Instances::default();
    let mut place = 0;
    while let Some(frame) = read_frame(&mut input, place)? {
        place += HEADER_BYTES as u64;
        let records = instances.play_batch(&mut Reader::new(&frame.body, place), frame.now, frame.count)?;
        place += frame.body.len() as u64;
        let reply = encode_reply(frame.batch, &records);
        output.write_all(&reply).and_then(|()| output.flush()).map_err(AdapterError::Write)?;
    }
    Ok(())
}

/// A batch as it comes.
struct Frame {
    batch: u32,
    /// The number of records.
    count: u32,
    now: Duration,
    body: Vec<u8>,
}

/// Reads the frame that begins at a place of the input. None: the input has ended.
fn read_frame(input: &mut impl Read, place: u64) -> Result<Option<Frame>, AdapterError> {
    let header = read_up_to(input, HEADER_BYTES)?;
    if header.is_empty() {
        return Ok(None);
    }
    if header.len() < HEADER_BYTES {
        return Err(AdapterError::FrameCutShort { at: place + header.len() as u64 });
    }
    let mut fields = Reader::new(&header, place);
    let batch = fields.u32()?;
    let count = fields.u32()?;
    let length = fields.u32()? as usize;
    if length < CLOCK_BYTES {
        return Err(AdapterError::LengthTooShort { length, at: place + LENGTH_OFFSET });
    }
    let now = Duration::from_micros(fields.u64()?);
    let body = read_up_to(input, length - CLOCK_BYTES)?;
    if body.len() < length - CLOCK_BYTES {
        let at = place + (HEADER_BYTES + body.len()) as u64;
        return Err(AdapterError::FrameCutShort { at });
    }
    Ok(Some(Frame { batch, count, now, body }))
}

/// Reads so many bytes, or fewer if the input ends before.
fn read_up_to(input: &mut impl Read, count: usize) -> Result<Vec<u8>, AdapterError> {
    let mut bytes = Vec::new();
    input.take(count as u64).read_to_end(&mut bytes).map_err(AdapterError::Read)?;
    Ok(bytes)
}
