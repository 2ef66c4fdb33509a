//! The one buffer of a connection: it grows as it needs up to its cap and is compacted in place.

/// What a buffer starts with, and falls back to once it is empty.
const INITIAL_CAPACITY: usize = 4096;

pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    max_capacity: usize,
}

impl Buffer {
    pub fn new(max_capacity: usize) -> Self {
        Buffer { bytes: Vec::new(), start: 0, end: 0, max_capacity }
    }

    /// The memory that it takes.
    pub fn capacity(&self) -> usize {
        self.bytes.len()
    }

    pub fn filled(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Room to read into; none while what is held fills the cap.
    pub fn spare(&mut self) -> Option<&mut [u8]> {
        if self.end == self.bytes.len() && self.start > 0 {
            self.bytes.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, self.end - self.start);
        }
        if self.end == self.bytes.len() {
            let grown =
                (2 * self.bytes.len()).clamp(INITIAL_CAPACITY.min(self.max_capacity), self.max_capacity);
            self.bytes.resize(grown, 0);
        }
        Some(&mut self.bytes[self.end..]).filter(|spare| !spare.is_empty())
    }

    /// So many bytes of the room have been written.
    pub fn commit(&mut self, n: usize) {
        self.end = (self.end + n).min(self.bytes.len());
    }

    pub fn consume(&mut self, n: usize) {
        self.start = (self.start + n).min(self.end);
        if self.start == self.end {
            (self.start, self.end) = (0, 0);
            // Guards against every connection that once carried a large body holding on to its size.
            if self.bytes.len() > INITIAL_CAPACITY {
                self.bytes = Vec::new();
            }
        }
    }
}
