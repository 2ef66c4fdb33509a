//! Addresses that a host takes over from one that has gone, while the endpoint list still names the earlier host.

use crate::decision::DecisionActor;
use crate::endpoint::Endpoint;
use rockflow::{HostId, ListScope, Readiness};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tracing::info;

impl DecisionActor {
    /// Marks as gone each host whose address another host has taken over: two processes can't listen at one address, so
    /// what is meant for the earlier one would reach the other, which has its own cache and deduplication records.
    /// Hosts that appear together at one address are left as they are: nothing tells which one is there.
    pub(super) fn remove_superseded(&self, scope: ListScope, entries: Vec<Endpoint>) -> Vec<Endpoint> {
        let is_new = |endpoint: &&Endpoint| {
            let listed = self.hosts.get(&endpoint.entry.host);
            endpoint.entry.readiness != Readiness::Gone
                && listed.is_none_or(|host| host.endpoint.address != endpoint.address)
        };
        if !entries.iter().any(|endpoint| is_new(&endpoint)) {
            return entries;
        }
        let occupants: BTreeMap<SocketAddr, &Endpoint> =
            self.hosts.values().map(|host| (host.endpoint.address, &host.endpoint)).collect();
        let mut superseded = BTreeMap::new();
        for newcomer in entries.iter().filter(is_new) {
            let occupant = occupants.get(&newcomer.address);
            if let Some(occupant) = occupant.filter(|occupant| occupant.entry.host != newcomer.entry.host) {
                let loser = if is_later(scope, newcomer, occupant) { *occupant } else { newcomer };
                info!(endpoint = loser.name, address = %loser.address, "address taken over by another endpoint");
                superseded.insert(loser.entry.host, loser.clone());
            }
        }
        mark_gone(entries, superseded)
    }
}

/// Whether the newcomer came up at its address after the host that was known there. Without different start times, a
/// change tells of the newer one, and a whole list of nothing new.
fn is_later(scope: ListScope, newcomer: &Endpoint, occupant: &Endpoint) -> bool {
    if newcomer.entry.started == occupant.entry.started {
        return scope == ListScope::Changes;
    }
    newcomer.entry.started > occupant.entry.started
}

/// Replaces the entries of the superseded hosts by ones that say that they are gone.
fn mark_gone(entries: Vec<Endpoint>, superseded: BTreeMap<HostId, Endpoint>) -> Vec<Endpoint> {
    let is_kept = |endpoint: &Endpoint| !superseded.contains_key(&endpoint.entry.host);
    let mut remaining: Vec<Endpoint> = entries.into_iter().filter(is_kept).collect();
    for mut endpoint in superseded.into_values() {
        endpoint.entry.readiness = Readiness::Gone;
        remaining.push(endpoint);
    }
    remaining
}
