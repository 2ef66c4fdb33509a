//! An allocator that counts what is held, for tests that bound it.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

/// To be named as `#[global_allocator]` by a test.
pub struct CountingAllocator {
    held: AtomicUsize,
    peak: AtomicUsize,
}

impl CountingAllocator {
    pub const fn new() -> CountingAllocator {
        CountingAllocator { held: AtomicUsize::new(0), peak: AtomicUsize::new(0) }
    }

    /// From now on the greatest counts anew; what is held now is the base.
    pub fn reset_peak(&self) -> usize {
        let held = self.held.load(Ordering::Relaxed);
        self.peak.store(held, Ordering::Relaxed);
        held
    }

    pub fn peak(&self) -> usize {
        self.peak.load(Ordering::Relaxed)
    }
}

impl Default for CountingAllocator {
    fn default() -> CountingAllocator {
        CountingAllocator::new()
    }
}

// Safe: every call goes to the system's allocator as it came.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let held = self.held.fetch_add(layout.size(), Ordering::Relaxed) + layout.size();
        self.peak.fetch_max(held, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        self.held.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(at, layout) }
    }
}
