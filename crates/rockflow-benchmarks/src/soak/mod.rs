//! A soak of a dispatcher's process: seeded clients, hosts, discovery events and signals round it, each answer and attempt
//! checked by the peers.
//!
//! A run is replayed by its seed: the seed decides the plan, while the moments at which things cross are those of the
//! machine.

mod answer;
mod check;
mod client;
mod discovery;
mod host;
mod ledger;
mod plan;
mod report;
mod run;
pub mod wrong_dispatcher;

pub use check::{Rule, Violation};
pub use plan::Plan;
pub use report::{print_table, RunReport};

use std::collections::VecDeque;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};

/// The program under test, and how its `serve` command is started.
#[derive(Clone, Debug)]
pub struct Program {
    /// Path of the executable.
    pub path: PathBuf,
    /// Arguments before `serve`.
    pub arguments: Vec<String>,
}

/// Plays the plans, so many at once, and returns their reports in the order of the plans.
///
/// # Panics
/// If a run can't be set up: a port, a file or a process is missing.
pub fn run_plans(program: &Program, plans: Vec<Plan>, parallel: usize) -> Vec<RunReport> {
    let queue: Arc<Mutex<VecDeque<(usize, Plan)>>> =
        Arc::new(Mutex::new(plans.into_iter().enumerate().collect()));
    let workers: Vec<_> = (0..parallel.max(1))
        .map(|_| {
            let (queue, program) = (queue.clone(), program.clone());
            std::thread::spawn(move || {
                let next = || queue.lock().unwrap_or_else(PoisonError::into_inner).pop_front();
                let mut reports = Vec::new();
                while let Some((number, plan)) = next() {
                    reports.push((number, run::run(&program, &plan)));
                }
                reports
            })
        })
        .collect();
    let mut reports: Vec<_> =
        workers.into_iter().flat_map(|worker| worker.join().expect("a run that ends")).collect();
    reports.sort_by_key(|(number, _)| *number);
    reports.into_iter().map(|(_, report)| report).collect()
}
