//! The actor of the list: keeps what the notice board has told, in order, and tells the module of it.

use crate::clock::Clock;
use crate::mailbox::{Mailbox, Wake};
use crate::messages::{id_of, Done, Entry, ListWord, Purge, Survey, Word};
use crate::timer;
use may::coroutine;
use rockflow::{CellId, EndpointEntry, HostId, ListScope, LocationId, Readiness, Role};
use rockflow_endpoints::{Marks, Refused, Roll};
use rockflow_protocol::board::{Instance, Lifecycle, Notice, Pool};
use rockflow_settings::{normalize_value, DeploymentSettings, NetworkSettings};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tracing::{info, warn};

/// Reads notices by what the settings name.
pub struct Reading {
    pub clock: Clock,
    pub locations: Vec<String>,
    pub kinds: Vec<String>,
    pub parent_kind: i64,
    pub origin_kind: i64,
}

impl Reading {
    pub fn new(clock: Clock, facts: &DeploymentSettings, wiring: &NetworkSettings) -> Self {
        Reading {
            clock,
            locations: wiring.location_names.clone(),
            kinds: wiring.kind_names.clone(),
            parent_kind: facts.parent_kind,
            origin_kind: facts.origin_kind,
        }
    }

    fn entry(&self, instance: &Instance) -> Result<Entry, String> {
        let place =
            |names: &[String], name: &str| names.iter().position(|known| *known == normalize_value(name));
        let bad = |what: &str| format!("{}: {what}", instance.instance_id);
        let location = place(&self.locations, &instance.zone).ok_or_else(|| bad("unknown zone"))?;
        let kind = place(&self.kinds, &instance.machine_type).ok_or_else(|| bad("unknown kind"))? as i64;
        let listing = EndpointEntry {
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
    pub fn known(&self, notices: &[Notice]) -> (Vec<Entry>, Vec<Purge>) {
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
            purges.extend(notice.flush.clone().map(Purge::from));
        }
        (hosts.into_values().collect(), purges)
    }
}

pub struct List {
    pub reading: Reading,
    pub mail: Arc<Mailbox<ListWord>>,
    pub module: Arc<Mailbox<Word>>,
    /// The one place where the board's word, operators' marks and the fleet's meet; none where nobody can mark.
    pub roll: Option<Roll<Entry>>,
}

impl List {
    pub fn run(&mut self) {
        self.mail.wake_by(Wake::Park(coroutine::current()));
        loop {
            let now = self.reading.clock.now();
            match self.mail.take() {
                Some(ListWord::Notice(notice)) => self.notice(notice, now),
                Some(ListWord::Marks { marks, done }) => {
                    let news = self.roll.as_mut().map(|roll| roll.mark(marks, now)).unwrap_or_default();
                    self.tell(news, Some(done));
                }
                Some(ListWord::Configure(slot)) => {
                    if let Some((wanted, tell)) = slot.take() {
                        self.configure(wanted, Box::new(tell), now);
                    }
                }
                Some(ListWord::Survey(reply)) => {
                    let told = self.roll.iter().flat_map(Roll::told).cloned().collect();
                    let marks = self.roll.as_ref().map(|roll| roll.marks().clone()).unwrap_or_default();
                    let fleet = self.roll.as_ref().map(|roll| roll.fleet().clone()).unwrap_or_default();
                    let survey = Box::new(Survey { told, marks, fleet, ..Survey::default() });
                    self.module.send(Word::Survey { survey, reply });
                }
                None => match self.roll.as_ref().and_then(|roll| roll.due(now)) {
                    Some(due) => {
                        timer::park(due.saturating_sub(now));
                        let news = self.roll.as_mut().map(|roll| roll.tick(self.reading.clock.now()));
                        self.tell(news.unwrap_or_default(), None);
                    }
                    None => coroutine::park(),
                },
            }
        }
    }

    fn notice(&mut self, notice: Notice, now: Duration) {
        if let Some(pool) = &notice.pool {
            let scope = if pool.reset { ListScope::Full } else { ListScope::Changes };
            let entries = self.reading.pool(pool);
            for entry in &entries {
                let at = &entry.listing;
                info!(rev = notice.rev, host = entry.name, role = ?at.role, state = ?at.readiness, "listed");
            }
            match &mut self.roll {
                Some(roll) => {
                    let news = roll.tell(pool.reset, entries, now);
                    self.tell(news, None);
                }
                None => self.module.send_urgent(Word::Listed { scope, entries, done: None }),
            }
        }
        if let Some(flush) = notice.flush {
            self.module.send_urgent(Word::Purged { purges: vec![flush.into()], done: None });
        }
    }

    fn configure(&mut self, wanted: Marks, done: Done<BTreeMap<String, Refused>>, now: Duration) {
        let Some(roll) = &mut self.roll else { return };
        let hosts = roll.told().map(|entry| (entry.name.clone(), entry.listed())).collect();
        let (news, refused) = roll.configure(wanted, hosts, now);
        self.tell(news, Some(Box::new(move |()| done(refused))));
    }

    /// One event, so that the decisions hear of all of it or nothing. Whoever waits is told behind what was told before,
    /// also where nothing is new.
    fn tell(&self, entries: Vec<Entry>, done: Option<Done<()>>) {
        if entries.is_empty() && done.is_none() {
            return;
        }
        for entry in &entries {
            info!(host = entry.name, state = ?entry.listing.readiness, "effective");
        }
        self.module.send_urgent(Word::Listed { scope: ListScope::Changes, entries, done });
    }
}
