//! Settings that the list of hosts has not judged yet. Decides; does no I/O.

use rockflow_dissemination::{ApplyToken, EntryId};
use rockflow_endpoints::RejectedOverride;
use std::collections::BTreeMap;

/// Settings that may wait to be judged: four times as many as marks are held. One more is refused, and the machine gives it
/// again with the next change.
pub const MAX_UNJUDGED: usize = 16_384;

/// By the ticket under which they were given, so that those of a ticket that nobody is told of are judged with the next.
#[derive(Debug, Default)]
pub struct Unjudged {
    waiting: BTreeMap<ApplyToken, Vec<(EntryId, String)>>,
    count: usize,
}

impl Unjudged {
    /// Takes what has changed under this ticket; what finds no place comes back.
    pub fn give(
        &mut self,
        ticket: ApplyToken,
        mut changed: Vec<(EntryId, String)>,
    ) -> Vec<(EntryId, String)> {
        let beyond = changed.split_off(changed.len().min(MAX_UNJUDGED - self.count));
        self.count += changed.len();
        if !changed.is_empty() {
            self.waiting.entry(ticket).or_default().extend(changed);
        }
        beyond
    }

    /// The list goes by all that was given up to this ticket, but for these hosts: what of it is refused.
    pub fn judged(
        &mut self,
        ticket: ApplyToken,
        refused: &BTreeMap<String, RejectedOverride>,
    ) -> Vec<(EntryId, String, RejectedOverride)> {
        let later = self.waiting.split_off(&ApplyToken(ticket.0.saturating_add(1)));
        let judged = std::mem::replace(&mut self.waiting, later);
        let judged: Vec<_> = judged.into_values().flatten().collect();
        self.count -= judged.len();
        let why = |(id, host): (EntryId, String)| refused.get(&host).map(|why| (id, host.clone(), *why));
        judged.into_iter().filter_map(why).collect()
    }
}
