//! Rows of schedules, and what they came to.

use crate::faults::Faults;
use crate::world::World;
use serde::Serialize;

/// What a row of schedules came to. The names of its fields are those of the JSON lines.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    /// Members of the cluster.
    pub members: usize,
    /// Replicas of a record.
    #[serde(rename = "keepers")]
    pub replicas: usize,
    /// Schedules that were played.
    pub schedules: u64,
    /// Requests that clients sent.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Requests that were answered.
    pub answered: u64,
    /// Clients that asked again under their id after their dispatcher was killed.
    #[serde(rename = "came_again")]
    pub retried: u64,
    /// Those of them that were answered.
    #[serde(rename = "served_again")]
    pub retries_answered: u64,
    /// Takeovers that were begun.
    #[serde(rename = "claims")]
    pub takeovers: u64,
    /// Requests that were executed after a takeover.
    pub run_again: u64,
    /// Frames that were sent.
    pub frames: u64,
    /// Seeds of schedules in which something happened that must not, with what.
    pub violations: Vec<(u64, String)>,
}

impl Summary {
    /// Adds a schedule that was played with this seed.
    pub fn add(&mut self, seed: u64, world: &World) {
        let observed = &world.observations;
        self.schedules += 1;
        self.requests += observed.first_sent.len() as u64;
        self.answered += observed.answers.len() as u64;
        self.retried += observed.retried.len() as u64;
        let retries_answered = observed.retried.iter().filter(|id| observed.answers.contains_key(id));
        self.retries_answered += retries_answered.count() as u64;
        for counts in world.counts() {
            self.takeovers += counts.takeovers;
            self.run_again += counts.run_again;
        }
        self.frames += observed.frames;
        if let Err(violation) = world.verdict() {
            self.violations.push((seed, violation.to_string()));
        }
    }

    /// Adds what other schedules of the same row came to.
    pub fn merge(&mut self, other: Summary) {
        self.schedules += other.schedules;
        self.requests += other.requests;
        self.answered += other.answered;
        self.retried += other.retried;
        self.retries_answered += other.retries_answered;
        self.takeovers += other.takeovers;
        self.run_again += other.run_again;
        self.frames += other.frames;
        self.violations.extend(other.violations);
    }
}

/// A row of schedules to be played.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    /// Members of the cluster.
    pub members: usize,
    /// Replicas of a record.
    pub replicas: usize,
    /// Requests of each schedule.
    pub requests: u64,
    /// What goes wrong.
    pub faults: Faults,
}

impl Row {
    /// Plays schedules from a first seed on, shared out over threads in turn; the same summary whatever their number.
    ///
    /// # Panics
    /// If a schedule panics.
    pub fn play(&self, first_seed: u64, schedules: u64, threads: u64) -> Summary {
        let mut summary = self.empty_summary();
        std::thread::scope(|scope| {
            let play = |thread| move || self.play_share(first_seed, schedules, thread, threads);
            let parts: Vec<_> = (0..threads).map(|thread| scope.spawn(play(thread))).collect();
            for part in parts {
                summary.merge(part.join().expect("a schedule that ends"));
            }
        });
        summary.violations.sort();
        summary
    }

    fn play_share(&self, first_seed: u64, schedules: u64, thread: u64, threads: u64) -> Summary {
        let mut summary = self.empty_summary();
        let seeds = first_seed..first_seed + schedules;
        for seed in seeds.skip(thread as usize).step_by(threads as usize) {
            let mut world = World::new(seed, self.members, self.replicas, self.faults);
            world.play(self.requests);
            summary.add(seed, &world);
        }
        summary
    }

    fn empty_summary(&self) -> Summary {
        Summary { members: self.members, replicas: self.replicas, ..Summary::default() }
    }
}
