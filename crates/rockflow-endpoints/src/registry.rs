//! The registry of discovered endpoints and of the overrides of both sources, with the effective list that results.

use crate::availability::{apply_overrides, find_emptied_group, ListedEndpoint};
use crate::overrides::{merge_readiness, severity, AdminOverride, AdminOverrides};
use rockflow::{ListScope, Readiness};
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of control overrides; further ones are rejected.
pub const MAX_CONTROL_OVERRIDES: usize = 4096;

/// Why a control override is not applied. It is checked again whenever the control overrides are replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectedOverride {
    /// The override would leave the endpoint's group without a ready endpoint.
    LastReadyEndpoint,
    /// There are [`MAX_CONTROL_OVERRIDES`] already.
    TooMany,
}

/// An entry of the endpoint list, of a type that the user of the registry defines.
pub trait RegistryEntry: Clone + PartialEq {
    /// The name that identifies the endpoint.
    fn name(&self) -> &str;
    /// The readiness that discovery lists.
    fn discovered_readiness(&self) -> Readiness;
    /// The same entry with another readiness.
    fn with_readiness(&self, readiness: Readiness) -> Self;
}

/// The result of replacing the control overrides.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlUpdate<E> {
    /// Entries of the effective list that changed.
    pub changes: Vec<E>,
    /// Why overrides are not applied, by endpoint name.
    pub rejected: BTreeMap<String, RejectedOverride>,
}

/// Owns the endpoint list and all overrides. Each method that changes them returns the entries of the effective list
/// that differ from those returned before. An entry that is no longer in that list is returned once, as
/// [`Readiness::Gone`].
#[derive(Debug)]
pub struct EndpointRegistry<E> {
    discovered: BTreeMap<String, E>,
    operator_overrides: AdminOverrides,
    control_overrides: AdminOverrides,
    effective: BTreeMap<String, E>,
}

impl<E: RegistryEntry> EndpointRegistry<E> {
    /// Creates a registry with an empty endpoint list, these operator overrides and no control overrides.
    pub fn new(operator_overrides: AdminOverrides) -> Self {
        EndpointRegistry {
            discovered: BTreeMap::new(),
            operator_overrides,
            control_overrides: AdminOverrides::new(),
            effective: BTreeMap::new(),
        }
    }

    /// Applies an update of the discovery service. Entries of scope [`ListScope::Changes`] are merged into the list;
    /// with any other scope they replace it.
    pub fn apply_update(&mut self, scope: ListScope, entries: Vec<E>, now: Duration) -> Vec<E> {
        if scope != ListScope::Changes {
            self.discovered.clear();
        }
        for entry in entries {
            if entry.discovered_readiness() == Readiness::Gone {
                self.discovered.remove(entry.name());
            } else {
                self.discovered.insert(entry.name().to_string(), entry);
            }
        }
        self.recompute_effective(now)
    }

    /// Replaces all operator overrides.
    pub fn replace_operator_overrides(&mut self, overrides: AdminOverrides, now: Duration) -> Vec<E> {
        self.operator_overrides = overrides;
        self.recompute_effective(now)
    }

    /// Replaces all control overrides. Those that are not in `overrides` any more are removed first. New and changed
    /// ones are then applied one by one, the less restrictive first. An override that would leave a group of
    /// `endpoints` (the discovered list) without a ready endpoint is rejected.
    pub fn replace_control_overrides(
        &mut self,
        mut overrides: AdminOverrides,
        endpoints: BTreeMap<String, ListedEndpoint>,
        now: Duration,
    ) -> ControlUpdate<E> {
        let endpoints = apply_overrides(endpoints, &self.operator_overrides, now);
        self.control_overrides.retain(|name, _| overrides.contains_key(name));
        overrides.retain(|name, new| self.control_overrides.get(name) != Some(new));
        let mut by_severity: Vec<_> = overrides.into_iter().collect();
        by_severity.sort_by_key(|(_, new)| severity(new.readiness));
        let mut rejected = BTreeMap::new();
        for (name, new) in by_severity {
            if let Err(reason) = self.apply_control_override(&name, new, &endpoints, now) {
                rejected.insert(name, reason);
            }
        }
        ControlUpdate { changes: self.recompute_effective(now), rejected }
    }

    /// Returns the entries that changed because overrides have expired by `now`.
    pub fn expire_overrides(&mut self, now: Duration) -> Vec<E> {
        self.recompute_effective(now)
    }

    /// The time at which the next override expires; `None` if none expires after `now`.
    pub fn next_expiry(&self, now: Duration) -> Option<Duration> {
        let overrides = self.operator_overrides.values().chain(self.control_overrides.values());
        overrides
            .filter_map(|admin_override| admin_override.expires_at)
            .filter(|expires_at| *expires_at > now)
            .min()
    }

    /// The entries as discovery lists them, without overrides.
    pub fn discovered(&self) -> impl Iterator<Item = &E> {
        self.discovered.values()
    }

    /// The operator overrides.
    pub fn operator_overrides(&self) -> &AdminOverrides {
        &self.operator_overrides
    }

    /// The control overrides that are applied, without rejected ones.
    pub fn control_overrides(&self) -> &AdminOverrides {
        &self.control_overrides
    }

    /// Applies one control override, unless the registry is full or a group would be left without a ready endpoint.
    fn apply_control_override(
        &mut self,
        name: &str,
        new: AdminOverride,
        endpoints: &BTreeMap<String, ListedEndpoint>,
        now: Duration,
    ) -> Result<(), RejectedOverride> {
        if self.control_overrides.len() >= MAX_CONTROL_OVERRIDES && !self.control_overrides.contains_key(name)
        {
            return Err(RejectedOverride::TooMany);
        }
        let previous = self.control_overrides.insert(name.to_string(), new);
        // An endpoint that is not listed belongs to no group, so its override can't leave one empty.
        if !endpoints.contains_key(name) {
            return Ok(());
        }
        let mut before = self.control_overrides.clone();
        match previous {
            Some(previous) => before.insert(name.to_string(), previous),
            None => before.remove(name),
        };
        if find_emptied_group(endpoints, &before, &self.control_overrides, now).is_none() {
            return Ok(());
        }
        self.control_overrides = before;
        Err(RejectedOverride::LastReadyEndpoint)
    }

    /// Recomputes the effective list and returns the entries that differ from those of the list before.
    fn recompute_effective(&mut self, now: Duration) -> Vec<E> {
        let current = self.compute_effective(now);
        let removed = self.effective.iter().filter(|(name, _)| !current.contains_key(*name));
        let mut changes: Vec<E> = removed.map(|(_, entry)| entry.with_readiness(Readiness::Gone)).collect();
        let changed = current.iter().filter(|(name, entry)| self.effective.get(*name) != Some(entry));
        changes.extend(changed.map(|(_, entry)| entry.clone()));
        self.effective = current;
        changes
    }

    fn compute_effective(&self, now: Duration) -> BTreeMap<String, E> {
        let mut effective_list = BTreeMap::new();
        for (name, entry) in &self.discovered {
            let operator = self.operator_overrides.get(name);
            let control = self.control_overrides.get(name);
            let merged = merge_readiness(Some(entry.discovered_readiness()), operator, control, now);
            let Some(effective) = merged.filter(|merged| merged.readiness != Readiness::Gone) else {
                continue;
            };
            effective_list.insert(name.clone(), entry.with_readiness(effective.readiness));
        }
        effective_list
    }
}
