//! The faults that a schedule injects.

/// The faults that are injected while requests are sent.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// The number of kills, each of a random process at a random time.
    pub kills: usize,
    /// The number of processes that are killed at the same time.
    pub simultaneous_kills: usize,
    /// The number of pauses, each of a random process for a random time.
    pub pauses: usize,
    /// The number of cuts, each of a path between two random processes for a random time; about half are both ways.
    pub cuts: usize,
    /// The fraction of frames that are lost, from 0 to 1.
    pub lost: f64,
    /// The fraction of frames that are delivered twice, from 0 to 1.
    pub duplicated: f64,
    /// The fraction of frames that are delayed by up to a second, from 0 to 1.
    pub late: f64,
}

/// No faults.
pub const NO_FAULTS: Faults =
    Faults { kills: 0, simultaneous_kills: 0, pauses: 0, cuts: 0, lost: 0.0, duplicated: 0.0, late: 0.0 };

/// Faults of every kind except simultaneous kills.
pub const MIXED_FAULTS: Faults =
    Faults { kills: 4, simultaneous_kills: 0, pauses: 3, cuts: 4, lost: 0.05, duplicated: 0.05, late: 0.03 };
