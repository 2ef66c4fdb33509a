//! How short memory is, in grades. Each begins at one fill and ends at a lower one, so that what hovers about a
//! mark does not flap.

use std::sync::atomic::{AtomicU8, Ordering};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    #[default]
    Calm,
    /// What is idle or can be had again may go.
    Tight,
    /// What is new and of least worth is turned away.
    Short,
    /// Only what was taken is still served.
    Critical,
}

const LEVELS: [Level; 4] = [Level::Calm, Level::Tight, Level::Short, Level::Critical];
/// Parts of the limit at which each level but the first begins, and how far below that it ends.
const BEGINS: [f64; 3] = [0.70, 0.85, 0.95];
const GAP: f64 = 0.07;

#[derive(Debug, Default)]
pub struct Pressure(AtomicU8);

impl Pressure {
    pub fn level(&self) -> Level {
        LEVELS[usize::from(self.0.load(Ordering::Relaxed))]
    }

    /// Takes the present fill into account.
    pub fn see(&self, fill: f64) {
        let next = |level: u8| {
            let risen = BEGINS.iter().filter(|mark| fill >= **mark).count() as u8;
            let kept = BEGINS.iter().filter(|mark| fill >= **mark - GAP).count() as u8;
            let new = level.clamp(risen, kept);
            (new != level).then_some(new)
        };
        let _ = self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_level_ends_lower_than_it_begins() {
        let pressure = Pressure::default();
        let levels: Vec<_> = [0.5, 0.70, 0.66, 0.64, 0.62, 0.86, 0.80, 0.78, 0.77, 0.96, 0.89, 0.88, 0.30]
            .iter()
            .map(|fill| {
                pressure.see(*fill);
                pressure.level()
            })
            .collect();
        use Level::*;
        let wanted =
            [Calm, Tight, Tight, Tight, Calm, Short, Short, Short, Tight, Critical, Critical, Critical, Calm];
        assert_eq!(levels[..11], wanted[..11]);
        assert_eq!(levels[12], Calm);
    }
}
