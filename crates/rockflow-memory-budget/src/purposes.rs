//! What a dispatcher holds memory for, one line each: its part of the told limit, what is kept for it, what it may
//! borrow, and what is done at its cap. Parts come from what was seen at 32 MB and at 192 MB; a front that is added
//! later declares its own line below `fronts`.

use crate::plan::{purpose, AtCap::*, Declared, Fault, Plan};

/// The whole, with headroom for what nobody accounts for: the program's pages, stacks and the allocator's own.
pub const DISPATCHER: [Declared; 15] = [
    purpose("all", "", 1.0, 0.0, 0.0, RefuseNew),
    purpose("headroom", "all", 0.30, 0.30, 0.0, RefuseNew),
    purpose("clients", "all", 0.12, 0.04, 0.05, CloseIdle),
    purpose("queries", "all", 0.10, 0.04, 0.05, Dismiss),
    // What was taken is answered: a reserve that nothing else can take.
    purpose("answers", "all", 0.40, 0.10, 0.0, Dismiss),
    purpose("lines", "all", 0.08, 0.04, 0.04, RefuseNew),
    // Purges and drains are applied under any pressure.
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
pub fn dispatcher(limit: usize) -> Result<Plan, Fault> {
    Plan::new(limit, &DISPATCHER)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Budget;
    use test_case::test_case;

    #[test_case(32 << 20)]
    #[test_case(192 << 20)]
    fn what_was_taken_can_be_answered_whatever_else_is_full(limit: usize) {
        let budget = Budget::new(dispatcher(limit).unwrap());
        let id = |name: &str| budget.plan().id(name).unwrap();
        // Everything else takes all that it can get.
        let mut held = Vec::new();
        for one in DISPATCHER.iter().skip(1).filter(|one| !matches!(one.name, "answers" | "list-and-purges"))
        {
            while let Ok(charge) = budget.charge(id(one.name), limit / 512) {
                held.push(charge);
            }
        }
        let reserve = |name: &str| budget.plan().nodes()[usize::from(id(name).0)].floor;
        assert!(budget.charge(id("answers"), reserve("answers")).is_ok());
        assert!(budget.charge(id("list-and-purges"), reserve("list-and-purges")).is_ok());
        assert!(budget.fill() <= 1.0);
        assert!(budget.level() >= crate::Level::Short, "{:?} at {}", budget.level(), budget.fill());
    }
}
