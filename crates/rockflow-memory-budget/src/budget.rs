//! The accounts of all purposes. A purpose counts towards its parent with the bytes that it holds or with its floor,
//! whichever is more, so that others can't use up its floor.
//!
//! All accounts are behind one lock, which is held for some tens of nanoseconds. Atomic counters alone are not enough:
//! a charge that is refused at an ancestor has to be undone in its descendants, and concurrent charges then leave the
//! count of the parent too high or, for a moment, too low.

use crate::plan::{AtCap, Plan, PurposeId};
use crate::pressure::{Pressure, PressureLevel};
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

#[derive(Clone, Debug, Default)]
struct Account {
    /// Bytes charged to this purpose itself.
    held: usize,
    /// Bytes that the children count with, their floors included.
    reserved_by_children: usize,
    /// The greatest value of `held` so far.
    peak: usize,
    /// Charges that were refused so far.
    refused: u64,
}

#[derive(Debug)]
struct Ledger {
    plan: Plan,
    accounts: Mutex<Accounts>,
    pressure: Pressure,
}

#[derive(Debug)]
struct Accounts {
    /// One for each purpose, in the order of the plan.
    by_purpose: Vec<Account>,
    /// Bytes held by all purposes together.
    total_held: usize,
}

/// The memory budget of a process. Clones share the same accounts.
#[derive(Clone, Debug)]
pub struct Budget(Arc<Ledger>);

/// A refused charge, which changed nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// The purpose that was to be charged.
    pub purpose: PurposeId,
    /// The purpose without enough room: the charged one or one of its ancestors.
    pub limited_by: PurposeId,
    /// What the caller does about it, as declared for the charged purpose.
    pub at_cap: AtCap,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no room for purpose {} within the cap of purpose {}", self.purpose.0, self.limited_by.0)
    }
}

/// Bytes held for a purpose until this is dropped.
#[derive(Debug)]
#[must_use = "dropping a charge releases its bytes"]
pub struct Charge {
    budget: Budget,
    purpose: PurposeId,
    bytes: usize,
}

/// The limits and the use of one purpose, in bytes.
#[derive(Clone, Debug, PartialEq)]
pub struct PurposeUsage {
    pub name: &'static str,
    /// None for the root.
    pub parent: Option<PurposeId>,
    pub cap: usize,
    pub floor: usize,
    /// Bytes held by the purpose and all its descendants.
    pub held: usize,
    /// The most bytes that the purpose itself, without descendants, held at a time.
    pub peak: usize,
    /// The number of refused charges for this purpose.
    pub refused: u64,
}

impl Budget {
    pub fn new(plan: Plan) -> Budget {
        let mut by_purpose = vec![Account::default(); plan.0.len()];
        // Floors are reserved from the start. Children come after their parent, so they are visited first.
        for index in (0..plan.0.len()).rev() {
            if let Some(parent) = plan.0[index].parent {
                let reserved = by_purpose[index].reserved_by_children.max(plan.0[index].floor);
                by_purpose[usize::from(parent.0)].reserved_by_children += reserved;
            }
        }
        let accounts = Mutex::new(Accounts { by_purpose, total_held: 0 });
        Budget(Arc::new(Ledger { plan, accounts, pressure: Pressure::default() }))
    }

    pub fn plan(&self) -> &Plan {
        &self.0.plan
    }

    fn accounts(&self) -> MutexGuard<'_, Accounts> {
        self.0.accounts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The memory pressure of the whole budget.
    pub fn level(&self) -> PressureLevel {
        self.0.pressure.level()
    }

    /// The share of the limit that is held, from 0 to 1. Unused floors don't count.
    pub fn used_share(&self) -> f64 {
        self.share_of_limit(self.accounts().total_held)
    }

    fn share_of_limit(&self, held: usize) -> f64 {
        held as f64 / self.0.plan.0[0].cap.max(1) as f64
    }

    /// Charges all the bytes to the purpose, or none of them.
    ///
    /// # Errors
    /// If the purpose or one of its ancestors has not enough room.
    pub fn charge(&self, purpose: PurposeId, bytes: usize) -> Result<Charge, Refused> {
        self.acquire(purpose, bytes)?;
        Ok(Charge { budget: self.clone(), purpose, bytes })
    }

    /// The bytes with which a purpose counts towards its parent.
    fn reserved(&self, accounts: &Accounts, index: usize) -> usize {
        let account = &accounts.by_purpose[index];
        (account.held + account.reserved_by_children).max(self.0.plan.0[index].floor)
    }

    /// The indexes of the purpose and its ancestors, the root last.
    fn path_to_root(&self, purpose: PurposeId) -> impl Iterator<Item = usize> + '_ {
        let parent_of = |index: &usize| self.0.plan.0[*index].parent.map(|parent| usize::from(parent.0));
        std::iter::successors(Some(usize::from(purpose.0)), parent_of)
    }

    fn acquire(&self, purpose: PurposeId, bytes: usize) -> Result<(), Refused> {
        let nodes = &self.0.plan.0;
        let charged = usize::from(purpose.0);
        let mut accounts = self.accounts();
        // Checks all ancestors before it counts anything, so that a refused charge has nothing to undo.
        let (mut added, mut limit) = (bytes, None);
        for index in self.path_to_root(purpose) {
            let (node, account) = (&nodes[index], &accounts.by_purpose[index]);
            let max_held = node.cap.saturating_add(node.borrow);
            let before = account.held + account.reserved_by_children;
            match before.checked_add(added).filter(|held| *held <= max_held) {
                // Bytes within the floor are already counted at the parent.
                Some(after) => added = after.max(node.floor) - before.max(node.floor),
                None => {
                    limit = Some(index);
                    break;
                }
            }
        }
        if let Some(limit) = limit {
            accounts.by_purpose[charged].refused += 1;
            let (limited_by, at_cap) = (PurposeId(limit as u16), nodes[charged].at_cap);
            return Err(Refused { purpose, limited_by, at_cap });
        }
        self.update_held(&mut accounts, purpose, |held| held + bytes);
        let account = &mut accounts.by_purpose[charged];
        account.peak = account.peak.max(account.held);
        accounts.total_held += bytes;
        let used_share = self.share_of_limit(accounts.total_held);
        drop(accounts);
        self.0.pressure.update(used_share);
        Ok(())
    }

    /// Changes the bytes held by the purpose itself, and what its ancestors count for it.
    fn update_held(&self, accounts: &mut Accounts, purpose: PurposeId, change: impl Fn(usize) -> usize) {
        let mut child = usize::from(purpose.0);
        let mut child_before = self.reserved(accounts, child);
        accounts.by_purpose[child].held = change(accounts.by_purpose[child].held);
        for ancestor in self.path_to_root(purpose).skip(1) {
            let child_after = self.reserved(accounts, child);
            if child_after == child_before {
                return;
            }
            let ancestor_before = self.reserved(accounts, ancestor);
            let reserved = &mut accounts.by_purpose[ancestor].reserved_by_children;
            *reserved = *reserved + child_after - child_before;
            (child, child_before) = (ancestor, ancestor_before);
        }
    }

    fn release(&self, purpose: PurposeId, bytes: usize) {
        let mut accounts = self.accounts();
        self.update_held(&mut accounts, purpose, |held| held - bytes);
        accounts.total_held -= bytes;
        let used_share = self.share_of_limit(accounts.total_held);
        drop(accounts);
        self.0.pressure.update(used_share);
    }

    /// Bytes held for the purpose itself, without its descendants.
    pub fn held(&self, purpose: PurposeId) -> usize {
        self.accounts().by_purpose[usize::from(purpose.0)].held
    }

    /// The use of every purpose, in the order of the plan.
    pub fn usage(&self) -> Vec<PurposeUsage> {
        let (nodes, accounts) = (&self.0.plan.0, self.accounts().by_purpose.clone());
        let mut held: Vec<usize> = accounts.iter().map(|account| account.held).collect();
        for index in (1..nodes.len()).rev() {
            if let Some(parent) = nodes[index].parent {
                held[usize::from(parent.0)] += held[index];
            }
        }
        let usage = |(index, node): (usize, &crate::plan::Node)| PurposeUsage {
            name: node.name,
            parent: node.parent,
            cap: node.cap,
            floor: node.floor,
            held: held[index],
            peak: accounts[index].peak,
            refused: accounts[index].refused,
        };
        nodes.iter().enumerate().map(usage).collect()
    }
}

impl Charge {
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn purpose(&self) -> PurposeId {
        self.purpose
    }

    /// Changes the number of bytes that this charge holds.
    ///
    /// # Errors
    /// If there is no room for the additional bytes; the charge then stays as it was.
    pub fn resize(&mut self, bytes: usize) -> Result<(), Refused> {
        if bytes > self.bytes {
            self.budget.acquire(self.purpose, bytes - self.bytes)?;
        } else {
            self.budget.release(self.purpose, self.bytes - bytes);
        }
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.budget.release(self.purpose, self.bytes);
    }
}
