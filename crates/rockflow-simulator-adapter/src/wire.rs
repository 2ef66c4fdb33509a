//! Fields of the wire: reading with the place of each fault, and writing. Big-endian, no padding.

use rockflow::HostId;
use std::time::Duration;

pub struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
    /// Place of the first byte in the whole input.
    base: u64,
}

impl<'a> Reader<'a> {
    pub fn new(bytes: &'a [u8], base: u64) -> Self {
        Reader { bytes, at: 0, base }
    }

    pub fn place(&self) -> u64 {
        self.base + self.at as u64
    }

    pub fn is_empty(&self) -> bool {
        self.at == self.bytes.len()
    }

    pub fn fault<T>(&self, what: &str) -> Result<T, String> {
        Err(format!("{what} at byte {}", self.place()))
    }

    pub fn take(&mut self, n: usize) -> Result<&'a [u8], String> {
        match self.bytes.get(self.at..self.at.saturating_add(n)) {
            Some(part) => {
                self.at += n;
                Ok(part)
            }
            None => self.fault("record runs past the end of its frame"),
        }
    }

    fn whole(&mut self, n: usize) -> Result<u64, String> {
        Ok(self.take(n)?.iter().fold(0, |sum, b| sum << 8 | u64::from(*b)))
    }

    pub fn u8(&mut self) -> Result<u8, String> {
        Ok(self.whole(1)? as u8)
    }

    pub fn u16(&mut self) -> Result<u16, String> {
        Ok(self.whole(2)? as u16)
    }

    pub fn u32(&mut self) -> Result<u32, String> {
        Ok(self.whole(4)? as u32)
    }

    pub fn u64(&mut self) -> Result<u64, String> {
        self.whole(8)
    }

    pub fn f32(&mut self) -> Result<f32, String> {
        Ok(f32::from_bits(self.u32()?))
    }

    pub fn host(&mut self) -> Result<HostId, String> {
        Ok(HostId(self.whole(6)?))
    }

    pub fn micros(&mut self) -> Result<Duration, String> {
        Ok(Duration::from_micros(u64::from(self.u32()?)))
    }

    pub fn floats(&mut self) -> Result<Vec<f32>, String> {
        let n = self.u8()?;
        (0..n).map(|_| self.f32()).collect()
    }
}

pub fn put_host(out: &mut Vec<u8>, host: HostId) {
    out.extend_from_slice(&host.0.to_be_bytes()[2..]);
}

pub fn put_micros(out: &mut Vec<u8>, span: Duration) {
    let micros = u32::try_from(span.as_micros()).unwrap_or(u32::MAX);
    out.extend_from_slice(&micros.to_be_bytes());
}

/// Bytes behind their count; what does not fit the count is cut.
pub fn put_bytes(out: &mut Vec<u8>, bytes: &[u8]) {
    let n = bytes.len().min(usize::from(u16::MAX));
    out.extend_from_slice(&(n as u16).to_be_bytes());
    out.extend_from_slice(&bytes[..n]);
}
