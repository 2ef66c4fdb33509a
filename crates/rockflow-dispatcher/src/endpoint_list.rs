//! The actor of the list: keeps what the event board has told, in order, and tells the module of it.

use crate::clock::Clock;
use crate::endpoint::{id_from_name, Endpoint};
use crate::mailbox::{Mailbox, Wake};
use crate::messages::{CompletionCallback, DecisionMessage, EndpointListMessage};
use crate::purge::Purge;
use crate::status::StatusReport;
use crate::timer;
use may::coroutine;
use rockflow::{CellId, EndpointEntry, HostId, ListScope, LocationId, Readiness, Role};
use rockflow_endpoints::{AdminOverrides, ControlUpdate, EndpointRegistry, RejectedOverride};
use rockflow_protocol::discovery::{EndpointUpdate, Instance, Lifecycle, WatchEvent};
use rockflow_settings::{normalize_value, DeploymentSettings, NetworkSettings};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tracing::{info, warn};

/// Reads events by what the settings name.
pub struct EndpointReader {
    pub clock: Clock,
    pub locations: Vec<String>,
    pub kinds: Vec<String>,
    pub parent_kind: i64,
    pub origin_kind: i64,
}

impl EndpointReader {
    pub fn new(clock: Clock, facts: &DeploymentSettings, wiring: &NetworkSettings) -> Self {
        EndpointReader {
            clock,
            locations: wiring.location_names.clone(),
            kinds: wiring.kind_names.clone(),
            parent_kind: facts.parent_kind,
            origin_kind: facts.origin_kind,
        }
    }

    fn entry(&self, instance: &Instance) -> Result<Endpoint, String> {
        let place =
            |names: &[String], name: &str| names.iter().position(|known| *known == normalize_value(name));
        let bad = |what: &str| format!("{}: {what}", instance.instance_id);
        let location = place(&self.locations, &instance.zone).ok_or_else(|| bad("unknown zone"))?;
        let kind = place(&self.kinds, &instance.machine_type).ok_or_else(|| bad("unknown kind"))? as i64;
        let listing = EndpointEntry {
            host: HostId(id_from_name(&instance.instance_id)),
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
        Ok(Endpoint { name: instance.instance_id.clone(), address, entry: listing })
    }

    fn pool(&self, pool: &EndpointUpdate) -> Vec<Endpoint> {
        let entries = pool.instances.iter().map(|instance| self.entry(instance));
        let usable = entries.filter_map(|entry| entry.inspect_err(|what| warn!(what, "entry left out")).ok());
        usable.collect()
    }

    /// What is known at the start, as one list and the purges in their order.
    pub fn known(&self, events: &[WatchEvent]) -> (Vec<Endpoint>, Vec<Purge>) {
        let (mut hosts, mut purges) = (BTreeMap::new(), Vec::new());
        for event in events {
            if let Some(pool) = &event.endpoints {
                if pool.is_full {
                    hosts.clear();
                }
                for entry in self.pool(pool) {
                    if entry.entry.readiness == Readiness::Gone {
                        hosts.remove(&entry.name);
                    } else {
                        hosts.insert(entry.name.clone(), entry);
                    }
                }
            }
            purges.extend(event.purge.clone().map(Purge::from));
        }
        (hosts.into_values().collect(), purges)
    }
}

pub struct EndpointListActor {
    pub reading: EndpointReader,
    pub mail: Arc<Mailbox<EndpointListMessage>>,
    pub module: Arc<Mailbox<DecisionMessage>>,
    /// The one place where the board's word, operators' marks and the fleet's meet; none where nobody can mark.
    pub roll: Option<EndpointRegistry<Endpoint>>,
}

impl EndpointListActor {
    pub fn run(&mut self) {
        self.mail.wake_by(Wake::Park(coroutine::current()));
        loop {
            let now = self.reading.clock.now();
            match self.mail.take() {
                Some(EndpointListMessage::Event(event)) => self.event(event, now),
                Some(EndpointListMessage::SetOperatorOverrides { marks, done }) => {
                    let news = self
                        .roll
                        .as_mut()
                        .map(|roll| roll.replace_operator_overrides(marks, now))
                        .unwrap_or_default();
                    self.tell(news, Some(done));
                }
                Some(EndpointListMessage::SetControlOverrides(slot)) => {
                    if let Some((wanted, tell)) = slot.take() {
                        self.configure(wanted, Box::new(tell), now);
                    }
                }
                Some(EndpointListMessage::ReportStatus(reply)) => {
                    let told = self.roll.iter().flat_map(EndpointRegistry::discovered).cloned().collect();
                    let marks =
                        self.roll.as_ref().map(|roll| roll.operator_overrides().clone()).unwrap_or_default();
                    let fleet =
                        self.roll.as_ref().map(|roll| roll.control_overrides().clone()).unwrap_or_default();
                    let survey = Box::new(StatusReport {
                        discovered: told,
                        operator_overrides: marks,
                        control_overrides: fleet,
                        ..StatusReport::default()
                    });
                    self.module.send(DecisionMessage::ReportStatus { survey, reply });
                }
                None => match self.roll.as_ref().and_then(|roll| roll.next_expiry(now)) {
                    Some(due) => {
                        timer::park(due.saturating_sub(now));
                        let news =
                            self.roll.as_mut().map(|roll| roll.expire_overrides(self.reading.clock.now()));
                        self.tell(news.unwrap_or_default(), None);
                    }
                    None => coroutine::park(),
                },
            }
        }
    }

    fn event(&mut self, event: WatchEvent, now: Duration) {
        if let Some(pool) = &event.endpoints {
            let scope = if pool.is_full { ListScope::Full } else { ListScope::Changes };
            let entries = self.reading.pool(pool);
            for entry in &entries {
                let at = &entry.entry;
                info!(rev = event.revision, host = entry.name, role = ?at.role, state = ?at.readiness, "listed");
            }
            match &mut self.roll {
                Some(roll) => {
                    let news = roll.apply_update(scope, entries, now);
                    self.tell(news, None);
                }
                None => {
                    self.module.send_urgent(DecisionMessage::EndpointsChanged { scope, entries, done: None })
                }
            }
        }
        if let Some(flush) = event.purge {
            self.module
                .send_urgent(DecisionMessage::PurgesReceived { purges: vec![flush.into()], done: None });
        }
    }

    fn configure(
        &mut self,
        wanted: AdminOverrides,
        done: CompletionCallback<BTreeMap<String, RejectedOverride>>,
        now: Duration,
    ) {
        let Some(roll) = &mut self.roll else { return };
        let hosts = roll.discovered().map(|entry| (entry.name.clone(), entry.to_listed())).collect();
        let ControlUpdate { changes: news, rejected: refused } =
            roll.replace_control_overrides(wanted, hosts, now);
        self.tell(news, Some(Box::new(move |()| done(refused))));
    }

    /// One event, so that the decisions hear of all of it or nothing. Whoever waits is told behind what was told before,
    /// also where nothing is new.
    fn tell(&self, entries: Vec<Endpoint>, done: Option<CompletionCallback<()>>) {
        if entries.is_empty() && done.is_none() {
            return;
        }
        for entry in &entries {
            info!(host = entry.name, state = ?entry.entry.readiness, "effective");
        }
        self.module.send_urgent(DecisionMessage::EndpointsChanged {
            scope: ListScope::Changes,
            entries,
            done,
        });
    }
}
