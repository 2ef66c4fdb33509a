//! Adapter between the simulator and the decision logic: decodes batches of the simulator into events, and encodes the
//! actions of the decision logic into replies. It decides nothing itself.
//!
//! A batch is a frame with a time and records for any number of dispatcher instances. Each batch gets one reply.

mod error;
mod instances;
pub mod wire;

pub use error::AdapterError;

use instances::Instances;
use std::io::{Read, Write};
use std::time::Duration;
use wire::encode::encode_reply;
use wire::reader::Reader;

/// Length of a frame's header in bytes: batch number, record count, length (4 bytes each) and clock (8 bytes).
const HEADER_BYTES: usize = 20;
/// Length of the clock in bytes. The clock is the only header field that the length in the header includes.
const CLOCK_BYTES: usize = 8;
/// Offset of the length in the header, in bytes.
const LENGTH_OFFSET: u64 = 8;

/// Processes batches and writes a reply to each until the input ends.
///
/// # Errors
/// If the input is malformed, or cannot be read, or a reply cannot be written.
pub fn run(mut input: impl Read, mut output: impl Write) -> Result<(), AdapterError> {
    let mut instances = Instances::default();
    let mut offset = 0;
    while let Some(frame) = read_frame(&mut input, offset)? {
        offset += HEADER_BYTES as u64;
        let records =
            instances.process_batch(&mut Reader::new(&frame.body, offset), frame.now, frame.count)?;
        offset += frame.body.len() as u64;
        let reply = encode_reply(frame.batch, &records);
        output.write_all(&reply).and_then(|()| output.flush()).map_err(AdapterError::Write)?;
    }
    Ok(())
}

/// A batch whose records are not decoded yet.
struct Frame {
    /// The number of the batch, which the reply repeats.
    batch: u32,
    /// The number of records.
    count: u32,
    /// The clock of the simulator, for all records.
    now: Duration,
    /// The records.
    body: Vec<u8>,
}

/// Reads the frame that begins at `frame_offset` of the input. Returns `None` at the end of the input.
fn read_frame(input: &mut impl Read, frame_offset: u64) -> Result<Option<Frame>, AdapterError> {
    let header = read_up_to(input, HEADER_BYTES)?;
    if header.is_empty() {
        return Ok(None);
    }
    if header.len() < HEADER_BYTES {
        return Err(AdapterError::FrameCutShort { offset: frame_offset + header.len() as u64 });
    }
    let mut fields = Reader::new(&header, frame_offset);
    let batch = fields.u32()?;
    let count = fields.u32()?;
    let length = fields.u32()? as usize;
    if length < CLOCK_BYTES {
        return Err(AdapterError::LengthTooShort { length, offset: frame_offset + LENGTH_OFFSET });
    }
    let now = Duration::from_micros(fields.u64()?);
    let body = read_up_to(input, length - CLOCK_BYTES)?;
    if body.len() < length - CLOCK_BYTES {
        let offset = frame_offset + (HEADER_BYTES + body.len()) as u64;
        return Err(AdapterError::FrameCutShort { offset });
    }
    Ok(Some(Frame { batch, count, now, body }))
}

/// Reads `count` bytes, or fewer if the input ends earlier.
fn read_up_to(input: &mut impl Read, count: usize) -> Result<Vec<u8>, AdapterError> {
    let mut bytes = Vec::new();
    input.take(count as u64).read_to_end(&mut bytes).map_err(AdapterError::Read)?;
    Ok(bytes)
}
