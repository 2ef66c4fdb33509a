//! An allocator that counts the bytes in use, for tests that bound them.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

/// The system's allocator with a count of the bytes in use, to be a test's `#[global_allocator]`.
pub struct CountingAllocator {
    in_use: AtomicUsize,
    peak: AtomicUsize,
}

impl CountingAllocator {
    /// An allocator that has nothing in use.
    pub const fn new() -> CountingAllocator {
        CountingAllocator { in_use: AtomicUsize::new(0), peak: AtomicUsize::new(0) }
    }

    /// Resets the peak to the bytes in use now, and returns them.
    pub fn reset_peak(&self) -> usize {
        let in_use = self.in_use.load(Ordering::Relaxed);
        self.peak.store(in_use, Ordering::Relaxed);
        in_use
    }

    /// The most bytes that were in use at once since the last reset.
    pub fn peak(&self) -> usize {
        self.peak.load(Ordering::Relaxed)
    }
}

impl Default for CountingAllocator {
    fn default() -> CountingAllocator {
        CountingAllocator::new()
    }
}

// SAFETY: every call is passed on to the system's allocator unchanged.
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
