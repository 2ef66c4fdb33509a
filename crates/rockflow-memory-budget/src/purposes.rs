//! The purposes for which a dispatcher holds memory: the cap, the floor and the borrowing of each as shares of the
//! memory limit, and what is done at the cap. The shares suit limits of 32 MB and of 192 MB. A protocol front end that
//! is added later declares a purpose too.

use crate::plan::{purpose, AtCap::*, Plan, PlanError, PurposeSpec};

/// All purposes of a dispatcher. `headroom` is for memory that nothing accounts for: the pages of the program, stacks
/// and the overhead of the allocator.
pub const DISPATCHER: [PurposeSpec; 15] = [
    purpose("all", "", 1.0, 0.0, 0.0, RefuseNew),
    purpose("headroom", "all", 0.30, 0.30, 0.0, RefuseNew),
    purpose("clients", "all", 0.12, 0.04, 0.05, CloseIdle),
    purpose("queries", "all", 0.10, 0.04, 0.05, ShedRequests),
    // The floor is a reserve for answering every request that was accepted.
    purpose("answers", "all", 0.40, 0.10, 0.0, ShedRequests),
    purpose("lines", "all", 0.08, 0.04, 0.04, RefuseNew),
    // The floor lets purges and drains be applied under any memory pressure.
    purpose("list-and-purges", "all", 0.08, 0.04, 0.04, Coalesce),
    purpose("decisions", "all", 0.15, 0.08, 0.05, EvictOldest),
    purpose("timers", "all", 0.03, 0.02, 0.01, Coalesce),
    purpose("board", "all", 0.06, 0.04, 0.0, Drop),
    purpose("log", "all", 0.03, 0.01, 0.0, Drop),
    purpose("management", "all", 0.12, 0.02, 0.0, RefuseNew),
    purpose("sessions", "management", 0.08, 0.01, 0.0, RefuseNew),
    purpose("followers", "management", 0.04, 0.005, 0.0, Coalesce),
    purpose("store", "all", 0.05, 0.02, 0.02, Shrink),
];

/// The dispatcher's plan for a limit in bytes.
pub fn dispatcher(limit: usize) -> Result<Plan, PlanError> {
    Plan::new(limit, &DISPATCHER)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Budget;
    use test_case::test_case;

    #[test_case(32 << 20)]
    #[test_case(192 << 20)]
    fn accepted_requests_can_be_answered_when_all_other_purposes_are_full(limit: usize) {
        let budget = Budget::new(dispatcher(limit).unwrap());
        let id = |name: &str| budget.plan().id(name).unwrap();
        // All other purposes are charged until they are refused.
        let mut held = Vec::new();
        for spec in
            DISPATCHER.iter().skip(1).filter(|spec| !matches!(spec.name, "answers" | "list-and-purges"))
        {
            while let Ok(charge) = budget.charge(id(spec.name), limit / 512) {
                held.push(charge);
            }
        }
        let floor_of = |name: &str| budget.plan().nodes()[usize::from(id(name).0)].floor;
        assert!(budget.charge(id("answers"), floor_of("answers")).is_ok());
        assert!(budget.charge(id("list-and-purges"), floor_of("list-and-purges")).is_ok());
        assert!(budget.used_share() <= 1.0);
        assert!(
            budget.level() >= crate::PressureLevel::High,
            "{:?} at {}",
            budget.level(),
            budget.used_share()
        );
    }
}
