//! The actor of the list: keeps what the notice board has told, in order, and tells the module of it.

use crate::clock::Clock;
use crate::mailbox::{Mailbox, Wake};
use crate::module::Word;
use may::coroutine;
use rockflow::interface::*;
use rockflow_facts::{dotted, Facts, Wiring};
use rockflow_protocol::board::{Flush, Instance, Lifecycle, Notice, Pool};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tracing::{info, warn};

/// Names on the sockets as ids of the decisions; the same at every dispatcher.
pub fn id_of(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

/// A host as the list has it, with what only the sockets need.
#[derive(Clone, Debug)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub listing: Listing,
}

/// Reads notices by what the settings name.
pub struct Reading {
    pub clock: Clock,
    pub locations: Vec<String>,
    pub kinds: Vec<String>,
    pub parent_kind: i64,
    pub origin_kind: i64,
}

impl Reading {
    pub fn new(clock: Clock, facts: &Facts, wiring: &Wiring) -> Self {
        Reading {
            clock,
            locations: wiring.locations.clone(),
            kinds: wiring.kinds.clone(),
            parent_kind: facts.parent_kind,
            origin_kind: facts.origin_kind,
        }
    }

    fn entry(&self, instance: &Instance) -> Result<Entry, String> {
        let place =
            |names: &[String], name: &str| names.iter().position(|known| *known == dotted::plain(name));
        let bad = |what: &str| format!("{}: {what}", instance.instance_id);
        let location = place(&self.locations, &instance.zone).ok_or_else(|| bad("unknown zone"))?;
        let kind = place(&self.kinds, &instance.machine_type).ok_or_else(|| bad("unknown kind"))? as i64;
        let listing = Listing {
            host: HostId(id_of(&instance.instance_id)),
            cell: CellId(instance.cell),
            location: LocationId(location as u16),
            role: match kind {
                kind if kind == self.parent_kind => Role::Parent,
                kind if kind == self.origin_kind => Role::Origin,
                _ => Role::Cache,
            },
            readiness: match instance.lifecycle {
                Lifecycle::Active => Readiness::Ready,
                Lifecycle::Leaving => Readiness::Draining,
                Lifecycle::Left => Readiness::Gone,
            },
            weight: instance.weight,
            started: (instance.started_at_ms > 0).then(|| self.clock.at(instance.started_at_ms)),
        };
        let address = instance.host_port.parse().map_err(|_| bad("no address"))?;
        Ok(Entry { name: instance.instance_id.clone(), address, listing })
    }

    fn pool(&self, pool: &Pool) -> Vec<Entry> {
        let entries = pool.instances.iter().map(|instance| self.entry(instance));
        let usable = entries.filter_map(|entry| entry.inspect_err(|what| warn!(what, "entry left out")).ok());
        usable.collect()
    }

    /// What is known at the start, as one list and the purges in their order.
    pub fn known(&self, notices: &[Notice]) -> (Vec<Entry>, Vec<Flush>) {
        let (mut hosts, mut purges) = (BTreeMap::new(), Vec::new());
        for notice in notices {
            if let Some(pool) = &notice.pool {
                if pool.reset {
                    hosts.clear();
                }
                for entry in self.pool(pool) {
                    if entry.listing.readiness == Readiness::Gone {
                        hosts.remove(&entry.name);
                    } else {
                        hosts.insert(entry.name.clone(), entry);
                    }
                }
            }
            purges.extend(notice.flush.clone());
        }
        (hosts.into_values().collect(), purges)
    }
}

pub struct List {
    pub reading: Reading,
    pub mail: Arc<Mailbox<Notice>>,
    pub module: Arc<Mailbox<Word>>,
}

impl List {
    pub fn run(&self) {
        self.mail.wake_by(Wake::Park(coroutine::current()));
        loop {
            let Some(notice) = self.mail.take() else {
                coroutine::park();
                continue;
            };
            if let Some(pool) = &notice.pool {
                let scope = if pool.reset { ListScope::Whole } else { ListScope::Changes };
                let entries = self.reading.pool(pool);
                for entry in &entries {
                    let at = &entry.listing;
                    info!(rev = notice.rev, host = entry.name, role = ?at.role, state = ?at.readiness, "listed");
                }
                self.module.send_urgent(Word::Listed { scope, entries });
            }
            if let Some(flush) = notice.flush {
                self.module.send_urgent(Word::Purged(flush));
            }
        }
    }
}
