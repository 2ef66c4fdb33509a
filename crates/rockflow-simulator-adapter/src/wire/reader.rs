//! Reads the fields of records, and keeps the offset in the input for error messages.

use crate::error::AdapterError;
use rockflow::HostId;
use std::time::Duration;

/// Length of a host's id in bytes.
const HOST_BYTES: usize = 6;

/// Reads fields from a part of the input.
pub struct Reader<'a> {
    bytes: &'a [u8],
    position: usize,
    /// Offset of the first byte in the whole input.
    start_offset: u64,
}

impl<'a> Reader<'a> {
    /// Creates a reader of `bytes`, the first of which is at `start_offset` of the whole input.
    pub fn new(bytes: &'a [u8], start_offset: u64) -> Self {
        Reader { bytes, position: 0, start_offset }
    }

    /// Offset of the next byte in the whole input.
    pub fn offset(&self) -> u64 {
        self.start_offset + self.position as u64
    }

    /// Whether all bytes have been read.
    pub fn is_empty(&self) -> bool {
        self.position == self.bytes.len()
    }

    /// Reads the next `count` bytes.
    ///
    /// # Errors
    /// If fewer bytes are left. The other methods that read fields fail then, too.
    pub fn bytes(&mut self, count: usize) -> Result<&'a [u8], AdapterError> {
        let end = self.position.saturating_add(count);
        let Some(part) = self.bytes.get(self.position..end) else {
            return Err(AdapterError::RecordCutShort { offset: self.offset() });
        };
        self.position = end;
        Ok(part)
    }

    /// Reads an unsigned number of 1 byte.
    pub fn u8(&mut self) -> Result<u8, AdapterError> {
        Ok(self.unsigned(1)? as u8)
    }

    /// Reads an unsigned number of 2 bytes.
    pub fn u16(&mut self) -> Result<u16, AdapterError> {
        Ok(self.unsigned(2)? as u16)
    }

    /// Reads an unsigned number of 4 bytes.
    pub fn u32(&mut self) -> Result<u32, AdapterError> {
        Ok(self.unsigned(4)? as u32)
    }

    /// Reads an unsigned number of 8 bytes.
    pub fn u64(&mut self) -> Result<u64, AdapterError> {
        self.unsigned(8)
    }

    /// Reads a floating-point number of 4 bytes.
    pub fn f32(&mut self) -> Result<f32, AdapterError> {
        Ok(f32::from_bits(self.u32()?))
    }

    /// Reads the id of a host, of 6 bytes.
    pub fn host(&mut self) -> Result<HostId, AdapterError> {
        Ok(HostId(self.unsigned(HOST_BYTES)?))
    }

    /// Reads a duration of 4 bytes, in microseconds.
    pub fn duration(&mut self) -> Result<Duration, AdapterError> {
        Ok(Duration::from_micros(u64::from(self.u32()?)))
    }

    /// Reads a count of 1 byte, and so many floating-point numbers of 4 bytes.
    pub fn floats(&mut self) -> Result<Vec<f32>, AdapterError> {
        let count = self.u8()?;
        (0..count).map(|_| self.f32()).collect()
    }

    /// Reads an unsigned number of `count` bytes, at most 8.
    fn unsigned(&mut self, count: usize) -> Result<u64, AdapterError> {
        Ok(self.bytes(count)?.iter().fold(0, |value, byte| value << 8 | u64::from(*byte)))
    }
}
