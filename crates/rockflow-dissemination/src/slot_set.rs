//! Sets of slots of a region. Each member of a region has one slot.

use serde::{Deserialize, Serialize};

/// Maximum number of slots, and so of members, in one region.
pub const MAX_SLOTS: usize = 1024;
/// Slots that one byte of a set holds.
pub(crate) const SLOTS_PER_BYTE: usize = 8;

/// A bit set of the slots of a region, eight to a byte, only as long as its greatest slot requires.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SlotSet(pub Vec<u8>);

impl SlotSet {
    /// Adds a slot, unless it is [`MAX_SLOTS`] or greater.
    pub fn set(&mut self, slot: u16) {
        let slot = usize::from(slot);
        if slot >= MAX_SLOTS {
            return;
        }
        let byte = slot / SLOTS_PER_BYTE;
        if self.0.len() <= byte {
            self.0.resize(byte + 1, 0);
        }
        self.0[byte] |= 1 << (slot % SLOTS_PER_BYTE);
    }

    /// Whether a slot is in the set.
    pub fn contains(&self, slot: u16) -> bool {
        let slot = usize::from(slot);
        let byte = self.0.get(slot / SLOTS_PER_BYTE);
        byte.is_some_and(|byte| byte & (1 << (slot % SLOTS_PER_BYTE)) != 0)
    }

    /// Adds the slots of another set that are less than [`MAX_SLOTS`].
    pub fn union(&mut self, other: &SlotSet) {
        let bytes = other.0.len().min(MAX_SLOTS / SLOTS_PER_BYTE);
        if self.0.len() < bytes {
            self.0.resize(bytes, 0);
        }
        for (byte, other_byte) in self.0.iter_mut().zip(&other.0) {
            *byte |= other_byte;
        }
    }

    /// Counts the slots less than `slots` that are in the set.
    pub fn present(&self, slots: u16) -> usize {
        (0..slots).filter(|slot| self.contains(*slot)).count()
    }
}
