//! The receive buffer of a connection.

/// Capacity in bytes that a buffer allocates at its first use, and that it may keep once all bytes are consumed.
pub const INITIAL_CAPACITY_BYTES: usize = 4096;

/// A byte queue that grows as needed up to its maximum capacity. Unconsumed bytes are moved to the front before it
/// grows.
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    max_capacity: usize,
}

impl Buffer {
    /// Creates an empty buffer that holds at most `max_capacity` bytes. It allocates nothing yet.
    pub fn new(max_capacity: usize) -> Self {
        Buffer { bytes: Vec::new(), start: 0, end: 0, max_capacity }
    }

    /// The allocated memory in bytes.
    pub fn capacity(&self) -> usize {
        self.bytes.len()
    }

    /// The capacity that the buffer has once [`spare`](Self::spare) is called.
    pub fn next_capacity(&self) -> usize {
        let is_full = self.end - self.start == self.bytes.len();
        if is_full {
            self.grown_capacity()
        } else {
            self.capacity()
        }
    }

    fn grown_capacity(&self) -> usize {
        let initial = INITIAL_CAPACITY_BYTES.min(self.max_capacity);
        (2 * self.bytes.len()).clamp(initial, self.max_capacity)
    }

    /// The bytes that were written and not consumed yet.
    pub fn filled(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Returns space to write into, or `None` while unconsumed bytes fill the maximum capacity.
    pub fn spare(&mut self) -> Option<&mut [u8]> {
        if self.end == self.bytes.len() && self.start > 0 {
            self.bytes.copy_within(self.start..self.end, 0);
            self.end -= self.start;
            self.start = 0;
        }
        if self.end == self.bytes.len() {
            self.bytes.resize(self.grown_capacity(), 0);
        }
        Some(&mut self.bytes[self.end..]).filter(|spare| !spare.is_empty())
    }

    /// Marks the first `length` bytes of the spare space as written.
    pub fn commit(&mut self, length: usize) {
        self.end = (self.end + length).min(self.bytes.len());
    }

    /// Removes the first `length` filled bytes.
    pub fn consume(&mut self, length: usize) {
        self.start = (self.start + length).min(self.end);
        if self.start == self.end {
            self.start = 0;
            self.end = 0;
            // Otherwise each connection would keep the capacity of the largest body that it ever carried.
            if self.bytes.len() > INITIAL_CAPACITY_BYTES {
                self.bytes = Vec::new();
            }
        }
    }
}
