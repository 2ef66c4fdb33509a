//! A soak test of a dispatcher process. Clients, hosts, discovery events and signals act on it as a seeded plan says,
//! and the peers check each answer and attempt.
//!
//! The seed determines the plan of a run, so that a run can be repeated. The exact timing of concurrent events depends
//! on the machine and is not repeated.

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

/// The program under test, with the arguments by which its `serve` command is started.
#[derive(Clone, Debug)]
pub struct Program {
    /// The path of the executable.
    pub path: PathBuf,
    /// The arguments before `serve`; none for rockflow itself.
    pub arguments: Vec<String>,
}

/// Runs the plans, at most `parallel` of them at once and at least one, and returns their reports in the order of the
/// plans.
///
/// # Panics
/// If a run can't be set up because a port, a file or the process can't be created.
pub fn run_plans(program: &Program, plans: Vec<Plan>, parallel: usize) -> Vec<RunReport> {
    let queue: Arc<Mutex<VecDeque<(usize, Plan)>>> =
        Arc::new(Mutex::new(plans.into_iter().enumerate().collect()));
    let workers: Vec<_> = (0..parallel.max(1))
        .map(|_| {
            let (queue, program) = (queue.clone(), program.clone());
            std::thread::spawn(move || {
                let next_plan = || queue.lock().unwrap_or_else(PoisonError::into_inner).pop_front();
                let mut reports = Vec::new();
                while let Some((number, plan)) = next_plan() {
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
