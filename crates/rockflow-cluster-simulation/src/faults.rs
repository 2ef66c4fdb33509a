//! What goes wrong in a schedule.

/// The faults of the busy part of a schedule.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Processes that are killed, each at a time of its own.
    pub kills: usize,
    /// Processes that are killed at the same instant.
    pub simultaneous_kills: usize,
    /// Processes that are paused for a while.
    pub pauses: usize,
    /// Paths that are cut for a while, half of them both ways.
    pub cuts: usize,
    /// The share of frames that are lost.
    pub lost: f64,
    /// The share of frames that are duplicated.
    pub duplicated: f64,
    /// The share of frames that are up to a second late.
    pub late: f64,
}

/// No fault at all.
pub const CALM: Faults =
    Faults { kills: 0, simultaneous_kills: 0, pauses: 0, cuts: 0, lost: 0.0, duplicated: 0.0, late: 0.0 };

/// Faults of every kind.
pub const ROUGH: Faults =
    Faults { kills: 4, simultaneous_kills: 0, pauses: 3, cuts: 4, lost: 0.05, duplicated: 0.05, late: 0.03 };
