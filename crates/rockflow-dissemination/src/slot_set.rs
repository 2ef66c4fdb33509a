//! Sets of slots of a region.

use serde::{Deserialize, Serialize};

/// Slots, and so members, of one region, at most.
pub const MAX_SLOTS: usize = 1024;

/// Slots of a region as a bit set, eight to a byte, as long as its greatest slot needs.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SlotSet(pub Vec<u8>);

impl SlotSet {
    /// Adds a slot; one beyond the limit is ignored.
    pub fn set(&mut self, slot: u16) {
        let byte = usize::from(slot / 8);
        if usize::from(slot) >= MAX_SLOTS {
            return;
        }
        if self.0.len() <= byte {
            self.0.resize(byte + 1, 0);
        }
        self.0[byte] |= 1 << (slot % 8);
    }

    /// Whether a slot is in the set.
    pub fn contains(&self, slot: u16) -> bool {
        self.0.get(usize::from(slot / 8)).is_some_and(|byte| byte & (1 << (slot % 8)) != 0)
    }

    /// Adds the slots of another set.
    pub fn join(&mut self, other: &SlotSet) {
        let bytes = other.0.len().min(MAX_SLOTS / 8);
        if self.0.len() < bytes {
            self.0.resize(bytes, 0);
        }
        for (mine, its) in self.0.iter_mut().zip(&other.0) {
            *mine |= its;
        }
    }

    /// How many of the first `slots` slots are in the set.
    pub fn present(&self, slots: u16) -> usize {
        (0..slots).filter(|slot| self.contains(*slot)).count()
    }
}
