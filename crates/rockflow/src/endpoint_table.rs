//! The table of listed hosts, with those that this dispatcher may use.

use crate::config::DeploymentConfig;
use crate::decay::DecayingSum;
use crate::endpoints::{EndpointEntry, HostStatus, ListScope, Readiness, Role};
use crate::health::HealthSample;
use crate::host::Host;
use crate::ids::HostId;
use std::collections::BTreeMap;
use std::time::Duration;

/// The usable hosts of one role.
#[derive(Debug, Default)]
struct RoleHosts {
    /// Hosts that this dispatcher may use, draining ones included, in the order of their ids.
    usable: Vec<HostId>,
    /// The best odds of a success among the usable hosts.
    best_odds: f64,
}

/// All listed hosts, with those of each role that this dispatcher may use.
#[derive(Debug)]
pub(crate) struct EndpointTable {
    hosts: BTreeMap<HostId, Host>,
    /// Whether an update of the endpoint list was applied since the start of the dispatcher.
    has_received_list: bool,
    caches: RoleHosts,
    parents: RoleHosts,
    origins: RoleHosts,
    empty_sum: DecayingSum,
}

impl EndpointTable {
    /// An empty table. The time constant of `empty_sum` is the longest deadline.
    pub(crate) fn new(empty_sum: DecayingSum) -> Self {
        EndpointTable {
            hosts: BTreeMap::new(),
            has_received_list: false,
            caches: RoleHosts::default(),
            parents: RoleHosts::default(),
            origins: RoleHosts::default(),
            empty_sum,
        }
    }

    /// A listed host. `None`: no host with this id is listed.
    pub(crate) fn get(&self, id: HostId) -> Option<&Host> {
        self.hosts.get(&id)
    }

    /// Mutable access to a listed host. `None`: no host with this id is listed.
    pub(crate) fn get_mut(&mut self, id: HostId) -> Option<&mut Host> {
        self.hosts.get_mut(&id)
    }

    /// The hosts of a role that take new attempts from this dispatcher, in the order of their ids.
    pub(crate) fn ready(&self, role: Role) -> impl Iterator<Item = &Host> {
        let usable = self.hosts_of_role(role).usable.iter().map(|id| &self.hosts[id]);
        usable.filter(|host| host.entry().readiness == Readiness::Ready)
    }

    /// Whether the host is a listed origin. Dispatchers may use the origins of all locations.
    pub(crate) fn is_usable_origin(&self, id: HostId) -> bool {
        self.origins.usable.contains(&id)
    }

    /// Whether a host is ejected as an outlier among the usable hosts of its role; false for a host that is not listed.
    pub(crate) fn is_ejected(&self, id: HostId, now: Duration) -> bool {
        let Some(host) = self.hosts.get(&id) else { return false };
        host.health.is_outlier(now, self.hosts_of_role(host.entry().role).best_odds)
    }

    /// Adds an outcome to the health of a host, and recomputes the best odds of its role. Ignores hosts that are not
    /// listed.
    pub(crate) fn record_health(&mut self, id: HostId, now: Duration, sample: HealthSample) {
        let Some(host) = self.hosts.get_mut(&id) else { return };
        host.health.record(now, sample);
        let role = host.entry().role;
        let odds = |id: &HostId| self.hosts.get(id).map_or(0.0, |host| host.health.odds(now));
        let best_odds = self.hosts_of_role(role).usable.iter().map(odds).fold(0.0, f64::max);
        self.hosts_of_role_mut(role).best_odds = best_odds;
    }

    /// Applies an update of the endpoint list. Except for [`ListScope::Changes`], hosts that the update doesn't name are
    /// removed.
    pub(crate) fn apply(
        &mut self,
        config: &DeploymentConfig,
        now: Duration,
        scope: ListScope,
        entries: Vec<EndpointEntry>,
    ) {
        if scope != ListScope::Changes {
            self.hosts.retain(|id, _| entries.iter().any(|entry| entry.host == *id));
        }
        for entry in entries {
            self.apply_entry(config, now, entry);
        }
        self.has_received_list = true;
        for role in [Role::Cache, Role::Parent, Role::Origin] {
            self.update_usable(config, role);
        }
    }

    /// The status of each listed host, in the order of their ids.
    pub(crate) fn statuses(&self, now: Duration) -> Vec<HostStatus> {
        let status = |(id, host): (&HostId, &Host)| HostStatus {
            host: *id,
            in_flight: host.load.in_flight(),
            ejected: self.is_ejected(*id, now),
            health: host.health.success_rate(now),
            warming_until: host.warm_up.ends_at(host.entry(), now),
        };
        self.hosts.iter().map(status).collect()
    }

    fn apply_entry(&mut self, config: &DeploymentConfig, now: Duration, entry: EndpointEntry) {
        let id = entry.host;
        if entry.readiness == Readiness::Gone {
            self.hosts.remove(&id);
            return;
        }
        let empty_sum = self.empty_sum;
        if let Some(host) = self.hosts.get_mut(&id) {
            host.update(entry, empty_sum);
        } else {
            self.hosts.insert(id, Host::new(config, entry, empty_sum));
        }
        if self.has_received_list {
            return;
        }
        // A restarted dispatcher may have spent the budget before the restart.
        if let Some(host) = self.hosts.get_mut(&id) {
            host.spend_warm_up_budget(config, now);
        }
    }

    /// Recomputes the usable hosts of a role: caches of the location of this dispatcher, parents and origins of any
    /// location.
    fn update_usable(&mut self, config: &DeploymentConfig, role: Role) {
        let is_usable = |entry: &EndpointEntry| {
            entry.role == role && (role != Role::Cache || entry.location == config.location)
        };
        let usable = self.hosts.values().map(Host::entry).filter(|entry| is_usable(entry));
        let usable = usable.map(|entry| entry.host).collect();
        self.hosts_of_role_mut(role).usable = usable;
    }

    fn hosts_of_role(&self, role: Role) -> &RoleHosts {
        match role {
            Role::Cache => &self.caches,
            Role::Parent => &self.parents,
            Role::Origin => &self.origins,
        }
    }

    fn hosts_of_role_mut(&mut self, role: Role) -> &mut RoleHosts {
        match role {
            Role::Cache => &mut self.caches,
            Role::Parent => &mut self.parents,
            Role::Origin => &mut self.origins,
        }
    }
}
