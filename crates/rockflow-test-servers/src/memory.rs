//! An allocator that counts the bytes in use, for tests that check a memory limit.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

/// The system allocator with a count of the bytes in use. A test installs it as its `#[global_allocator]`.
pub struct CountingAllocator {
    in_use: AtomicUsize,
    peak: AtomicUsize,
}

impl CountingAllocator {
    /// Creates an allocator with no bytes in use.
    pub const fn new() -> CountingAllocator {
        CountingAllocator { in_use: AtomicUsize::new(0), peak: AtomicUsize::new(0) }
    }

    /// Resets the peak to the number of bytes in use now, and returns that number.
    pub fn reset_peak(&self) -> usize {
        let in_use = self.in_use.load(Ordering::Relaxed);
        self.peak.store(in_use, Ordering::Relaxed);
        in_use
    }

    /// The greatest number of bytes in use at once since the last reset.
    pub fn peak(&self) -> usize {
        self.peak.load(Ordering::Relaxed)
    }
}

impl Default for CountingAllocator {
    fn default() -> CountingAllocator {
        CountingAllocator::new()
    }
}

// SAFETY: every call is passed on to the system allocator with its arguments unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let in_use = self.in_use.fetch_add(layout.size(), Ordering::Relaxed) + layout.size();
        self.peak.fetch_max(in_use, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        self.in_use.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}
