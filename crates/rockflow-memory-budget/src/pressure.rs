//! Memory pressure in levels. Each level ends at a lower use than it begins at, so that a use near a threshold does not
//! make the level flap.

use std::sync::atomic::{AtomicU8, Ordering};

/// How scarce memory is, by the share of the limit that is held.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum PressureLevel {
    /// Nothing needs to be freed.
    #[default]
    Normal,
    /// Idle resources and data that can be fetched again may be freed.
    Elevated,
    /// New work of the lowest priority is refused.
    High,
    /// Only work that was accepted earlier is still served.
    Critical,
}

const LEVELS: [PressureLevel; 4] =
    [PressureLevel::Normal, PressureLevel::Elevated, PressureLevel::High, PressureLevel::Critical];
/// The shares of the limit at which the levels above normal begin.
const THRESHOLDS: [f64; 3] = [0.70, 0.85, 0.95];
/// How far below its threshold a level ends, as a share of the limit.
const HYSTERESIS: f64 = 0.07;

/// The present pressure level, shared by threads.
#[derive(Debug, Default)]
pub struct Pressure(AtomicU8);

impl Pressure {
    pub fn level(&self) -> PressureLevel {
        LEVELS[usize::from(self.0.load(Ordering::Relaxed))]
    }

    /// Updates the level to the share of the limit that is held now.
    pub fn update(&self, used_share: f64) {
        let next = |level: u8| {
            let lowest = THRESHOLDS.iter().filter(|threshold| used_share >= **threshold).count() as u8;
            let highest =
                THRESHOLDS.iter().filter(|threshold| used_share >= **threshold - HYSTERESIS).count() as u8;
            let new = level.clamp(lowest, highest);
            (new != level).then_some(new)
        };
        let _ = self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn level_ends_at_a_lower_share_than_it_begins() {
        let pressure = Pressure::default();
        let levels: Vec<_> = [0.5, 0.70, 0.66, 0.64, 0.62, 0.86, 0.80, 0.78, 0.77, 0.96, 0.89, 0.88, 0.30]
            .iter()
            .map(|used_share| {
                pressure.update(*used_share);
                pressure.level()
            })
            .collect();
        use PressureLevel::*;
        let expected = [
            Normal, Elevated, Elevated, Elevated, Normal, High, High, High, Elevated, Critical, Critical,
            Critical, Normal,
        ];
        assert_eq!(levels[..11], expected[..11]);
        assert_eq!(levels[12], Normal);
    }
}
