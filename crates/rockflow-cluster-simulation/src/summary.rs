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
        if let Err(violation) = world.check_invariants() {
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

/// The cluster size, load and faults that a number of schedules have in common.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// The number of members of the cluster.
    pub members: usize,
    /// The number of replicas of a record.
    pub replicas: usize,
    /// The number of requests in each schedule.
    pub requests: u64,
    /// The faults that each schedule injects.
    pub faults: Faults,
}

impl Scenario {
    /// Runs schedules with consecutive seeds, distributed over threads. The summary does not depend on the number of
    /// threads.
    ///
    /// # Panics
    /// Panics if a schedule panics.
    pub fn run(&self, first_seed: u64, schedules: u64, threads: u64) -> Summary {
        let mut summary = self.empty_summary();
        std::thread::scope(|scope| {
            let run_share = |thread| move || self.run_share(first_seed, schedules, thread, threads);
            let handles: Vec<_> = (0..threads).map(|thread| scope.spawn(run_share(thread))).collect();
            for handle in handles {
                summary.merge(handle.join().expect("no schedule panics"));
            }
        });
        summary.violations.sort();
        summary
    }

    /// Runs every schedule whose offset from the first seed is `thread` modulo `threads`.
    fn run_share(&self, first_seed: u64, schedules: u64, thread: u64, threads: u64) -> Summary {
        let mut summary = self.empty_summary();
        let seeds = first_seed..first_seed + schedules;
        for seed in seeds.skip(thread as usize).step_by(threads as usize) {
            let mut world = World::new(seed, self.members, self.replicas, self.faults);
            world.run(self.requests);
            summary.add(seed, &world);
        }
        summary
    }

    fn empty_summary(&self) -> Summary {
        Summary { members: self.members, replicas: self.replicas, ..Summary::default() }
    }
}
