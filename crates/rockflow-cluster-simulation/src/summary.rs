//! Scenarios, which run many schedules with the same cluster size and faults, and the summaries of their results.

use crate::faults::Faults;
use crate::world::World;
use serde::Serialize;

/// The results of a scenario, added up over its schedules. The serialized names of the fields are the keys of the JSON
/// lines.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    /// The number of members of the cluster.
    pub members: usize,
    /// The number of replicas of a record.
    #[serde(rename = "keepers")]
    pub replicas: usize,
    /// Schedules that were run.
    pub schedules: u64,
    /// Requests that reached a dispatcher, each counted once.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Requests that were answered at least once.
    pub answered: u64,
    /// Requests that clients sent again after their dispatcher was killed.
    #[serde(rename = "came_again")]
    pub retried: u64,
    /// Requests that were sent again and answered, before or after the retry.
    #[serde(rename = "served_again")]
    pub retries_answered: u64,
    /// Takeovers that members began.
    #[serde(rename = "claims")]
    pub takeovers: u64,
    /// Requests that were executed after a takeover.
    pub run_again: u64,
    /// Frames that members sent, including lost ones.
    pub frames: u64,
    /// The seeds of schedules that violated an invariant, each with a description of the violation.
    pub violations: Vec<(u64, String)>,
}

impl Summary {
    /// Adds the results of the schedule with this seed. The world must have run to its end.
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

    /// Adds the results of other schedules of the same scenario.
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
