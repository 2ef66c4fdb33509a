//! Reads fields of the wire, with the place of each fault.

use crate::error::AdapterError;
use rockflow::HostId;
use std::time::Duration;

/// Bytes of a host's id.
const HOST_BYTES: usize = 6;

/// Reads the fields of a part of the input.
pub struct Reader<'a> {
    bytes: &'a [u8],
    position: usize,
    /// The place of the first byte in the whole input.
    base: u64,
}

impl<'a> Reader<'a> {
    /// Reads `bytes`, the first of which is byte `base` of the input.
    pub fn new(bytes: &'a [u8], base: u64) -> Self {
        Reader { bytes, position: 0, base }
    }

    /// The place of the next byte in the whole input.
    pub fn place(&self) -> u64 {
        self.base + self.position as u64
    }

    /// Whether all bytes are read.
    pub fn is_empty(&self) -> bool {
        self.position == self.bytes.len()
    }

    /// The next `count` bytes.
    ///
    /// # Errors
    /// If there are fewer, as for all other readers.
    pub fn bytes(&mut self, count: usize) -> Result<&'a [u8], AdapterError> {
        let end = self.position.saturating_add(count);
        let Some(part) = self.bytes.get(self.position..end) else {
            return Err(AdapterError::RecordCutShort { at: self.place() });
        };
        self.position = end;
        Ok(part)
    }

    /// An unsigned byte.
    pub fn u8(&mut self) -> Result<u8, AdapterError> {
        Ok(self.unsigned(1)? as u8)
    }

    /// An unsigned number of 2 bytes.
    pub fn u16(&mut self) -> Result<u16, AdapterError> {
        Ok(self.unsigned(2)? as u16)
    }

    /// An unsigned number of 4 bytes.
    pub fn u32(&mut self) -> Result<u32, AdapterError> {
        Ok(self.unsigned(4)? as u32)
    }

    /// An unsigned number of 8 bytes.
    pub fn u64(&mut self) -> Result<u64, AdapterError> {
        self.unsigned(8)
    }

    /// A floating-point number of 4 bytes.
    pub fn f32(&mut self) -> Result<f32, AdapterError> {
        Ok(f32::from_bits(self.u32()?))
    }

    /// The id of a host.
    pub fn host(&mut self) -> Result<HostId, AdapterError> {
        Ok(HostId(self.unsigned(HOST_BYTES)?))
    }

    /// A duration in microseconds, of 4 bytes.
    pub fn duration(&mut self) -> Result<Duration, AdapterError> {
        Ok(Duration::from_micros(u64::from(self.u32()?)))
    }

    /// Floating-point numbers behind their count of 1 byte.
    pub fn floats(&mut self) -> Result<Vec<f32>, AdapterError> {
        let count = self.u8()?;
        (0..count).map(|_| self.f32()).collect()
    }

    fn unsigned(&mut self, count: usize) -> Result<u64, AdapterError> {
        Ok(self.bytes(count)?.iter().fold(0, |value, byte| value << 8 | u64::from(*byte)))
    }
}
