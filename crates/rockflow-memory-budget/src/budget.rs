//! The ledger. Each purpose holds what was charged to it; towards its parent it counts with what it holds or its
//! floor, whichever is more, so that a floor can't be taken by others.
//!
//! One lock, held for some tens of nanoseconds. Counting by atomics alone was tried first: a charge that is refused
//! further up has to be taken back lower down, and what others did meanwhile then left the parent's count too high
//! or, for a moment, too low.

use crate::plan::{AtCap, Plan, PurposeId};
use crate::pressure::{Level, Pressure};
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

#[derive(Clone, Debug, Default)]
struct Account {
    /// Charged here, and what the children count with, their floors included.
    held: usize,
    below: usize,
    peak: usize,
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
    all: Vec<Account>,
    /// What is held by all together.
    held: usize,
}

/// Shared by whoever charges.
#[derive(Clone, Debug)]
pub struct Budget(Arc<Ledger>);

/// Why nothing was charged, and what is to be done there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    pub purpose: PurposeId,
    /// Where it was short: the purpose itself, or one above it.
    pub short: PurposeId,
    pub at_cap: AtCap,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "purpose {} is short at {}", self.purpose.0, self.short.0)
    }
}

/// Bytes that are held for a purpose, till this is dropped.
#[derive(Debug)]
#[must_use = "dropping it gives back"]
pub struct Charge {
    budget: Budget,
    purpose: PurposeId,
    bytes: usize,
}

/// One purpose, as it is shown.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub name: &'static str,
    pub parent: Option<PurposeId>,
    pub cap: usize,
    pub floor: usize,
    /// With what is below it.
    pub held: usize,
    pub peak: usize,
    pub refused: u64,
}

impl Budget {
    pub fn new(plan: Plan) -> Budget {
        let mut all = vec![Account::default(); plan.0.len()];
        // The floors are spoken for from the start.
        for place in (0..plan.0.len()).rev() {
            if let Some(parent) = plan.0[place].parent {
                all[usize::from(parent.0)].below += all[place].below.max(plan.0[place].floor);
            }
        }
        let accounts = Mutex::new(Accounts { all, held: 0 });
        Budget(Arc::new(Ledger { plan, accounts, pressure: Pressure::default() }))
    }

    pub fn plan(&self) -> &Plan {
        &self.0.plan
    }

    fn accounts(&self) -> MutexGuard<'_, Accounts> {
        self.0.accounts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How short the whole is.
    pub fn level(&self) -> Level {
        self.0.pressure.level()
    }

    /// The part of the limit that is held, floors that are not used left out.
    pub fn fill(&self) -> f64 {
        self.part(self.accounts().held)
    }

    fn part(&self, held: usize) -> f64 {
        held as f64 / self.0.plan.0[0].cap.max(1) as f64
    }

    /// Takes so many bytes for the purpose, or none of them.
    pub fn charge(&self, purpose: PurposeId, bytes: usize) -> Result<Charge, Refused> {
        self.take(purpose, bytes)?;
        Ok(Charge { budget: self.clone(), purpose, bytes })
    }

    /// What a purpose counts with towards its parent.
    fn counts(&self, accounts: &Accounts, place: usize) -> usize {
        let account = &accounts.all[place];
        (account.held + account.below).max(self.0.plan.0[place].floor)
    }

    /// The places from the purpose up to the root.
    fn way_up(&self, purpose: PurposeId) -> impl Iterator<Item = usize> + '_ {
        let up = |place: &usize| self.0.plan.0[*place].parent.map(|parent| usize::from(parent.0));
        std::iter::successors(Some(usize::from(purpose.0)), up)
    }

    fn take(&self, purpose: PurposeId, bytes: usize) -> Result<(), Refused> {
        let nodes = &self.0.plan.0;
        let start = usize::from(purpose.0);
        let mut accounts = self.accounts();
        // First whether it fits all the way up, then it is counted: what is refused leaves nothing to take back.
        let (mut more, mut short) = (bytes, None);
        for place in self.way_up(purpose) {
            let (node, account) = (&nodes[place], &accounts.all[place]);
            let most = node.cap.saturating_add(node.borrow);
            let before = account.held + account.below;
            match before.checked_add(more).filter(|held| *held <= most) {
                Some(after) => more = after.max(node.floor) - before.max(node.floor),
                None => {
                    short = Some(place);
                    break;
                }
            }
        }
        if let Some(short) = short {
            accounts.all[start].refused += 1;
            let (short, at_cap) = (PurposeId(short as u16), nodes[start].at_cap);
            return Err(Refused { purpose, short, at_cap });
        }
        self.move_by(&mut accounts, purpose, |held| held + bytes);
        let held = accounts.all[start].held;
        accounts.all[start].peak = accounts.all[start].peak.max(held);
        accounts.held += bytes;
        let fill = self.part(accounts.held);
        drop(accounts);
        self.0.pressure.see(fill);
        Ok(())
    }

    /// Sets what the purpose itself holds, and what each above it counts with.
    fn move_by(&self, accounts: &mut Accounts, purpose: PurposeId, change: impl Fn(usize) -> usize) {
        let mut at = usize::from(purpose.0);
        let mut old = self.counts(accounts, at);
        accounts.all[at].held = change(accounts.all[at].held);
        for above in self.way_up(purpose).skip(1) {
            let new = self.counts(accounts, at);
            if new == old {
                return;
            }
            let before = self.counts(accounts, above);
            let below = &mut accounts.all[above].below;
            *below = *below + new - old;
            (at, old) = (above, before);
        }
    }

    fn give(&self, purpose: PurposeId, bytes: usize) {
        let mut accounts = self.accounts();
        self.move_by(&mut accounts, purpose, |held| held - bytes);
        accounts.held -= bytes;
        let fill = self.part(accounts.held);
        drop(accounts);
        self.0.pressure.see(fill);
    }

    /// Bytes held for the purpose itself.
    pub fn held(&self, purpose: PurposeId) -> usize {
        self.accounts().all[usize::from(purpose.0)].held
    }

    /// All purposes as they stand, in the plan's order; each holds what is below it too.
    pub fn rows(&self) -> Vec<Row> {
        let (nodes, all) = (&self.0.plan.0, self.accounts().all.clone());
        let mut held: Vec<usize> = all.iter().map(|account| account.held).collect();
        for place in (1..nodes.len()).rev() {
            if let Some(parent) = nodes[place].parent {
                held[usize::from(parent.0)] += held[place];
            }
        }
        let row = |(place, node): (usize, &crate::plan::Node)| Row {
            name: node.name,
            parent: node.parent,
            cap: node.cap,
            floor: node.floor,
            held: held[place],
            peak: all[place].peak,
            refused: all[place].refused,
        };
        nodes.iter().enumerate().map(row).collect()
    }
}

impl Charge {
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn purpose(&self) -> PurposeId {
        self.purpose
    }

    /// Holds more or less from now on; what can't be had leaves it as it was.
    pub fn resize(&mut self, bytes: usize) -> Result<(), Refused> {
        if bytes > self.bytes {
            self.budget.take(self.purpose, bytes - self.bytes)?;
        } else {
            self.budget.give(self.purpose, self.bytes - bytes);
        }
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.budget.give(self.purpose, self.bytes);
    }
}
