//! The effective readiness of endpoints with overrides of operators and control, which may expire.

use rockflow::Readiness::{self, Draining, Gone, Ready};
use rockflow::{ListScope, Role};
use rockflow_endpoints::{
    apply_overrides, effective_readiness, find_emptied_group, merge_readiness, AdminOverride, AdminOverrides,
    ControlUpdate, EffectiveReadiness, EndpointRegistry, ListedEndpoint, ReadinessSource, RegistryEntry,
    RejectedOverride, MAX_CONTROL_OVERRIDES,
};
use std::collections::BTreeMap;
use std::time::Duration;
use test_case::test_case;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn effective(readiness: Readiness, source: ReadinessSource) -> EffectiveReadiness {
    EffectiveReadiness { readiness, source }
}

fn admin_override(readiness: Readiness, expires_at_seconds: Option<u64>) -> AdminOverride {
    AdminOverride { readiness, expires_at: expires_at_seconds.map(at), force: false }
}

#[test_case(None, Some(Draining), None; "an override of an endpoint that is not listed")]
#[test_case(Some(Gone), Some(Draining), None; "an override of an endpoint that is gone")]
#[test_case(Some(Ready), None, Some(effective(Ready, ReadinessSource::Discovery)))]
#[test_case(Some(Ready), Some(Draining), Some(effective(Draining, ReadinessSource::Operator)))]
#[test_case(Some(Ready), Some(Gone), Some(effective(Gone, ReadinessSource::Operator)))]
#[test_case(Some(Draining), None, Some(effective(Draining, ReadinessSource::Discovery)))]
#[test_case(Some(Draining), Some(Draining), Some(effective(Draining, ReadinessSource::Several)))]
#[test_case(Some(Draining), Some(Gone), Some(effective(Gone, ReadinessSource::Operator)))]
fn more_restrictive_readiness_wins(
    discovered: Option<Readiness>,
    override_readiness: Option<Readiness>,
    expected: Option<EffectiveReadiness>,
) {
    let operator = override_readiness.map(|readiness| admin_override(readiness, Some(10)));
    assert_eq!(effective_readiness(discovered, operator.as_ref(), at(9)), expected);
    // The override expires at 10 s.
    let without_override = discovered
        .filter(|discovered| *discovered != Gone)
        .map(|discovered| effective(discovered, ReadinessSource::Discovery));
    assert_eq!(effective_readiness(discovered, operator.as_ref(), at(10)), without_override);
}

/// An entry with its name, its readiness and a version, which stands for all other properties.
#[derive(Clone, Debug, PartialEq)]
struct TestEndpoint(&'static str, Readiness, u32);

impl RegistryEntry for TestEndpoint {
    fn name(&self) -> &str {
        self.0
    }
    fn discovered_readiness(&self) -> Readiness {
        self.1
    }
    fn with_readiness(&self, readiness: Readiness) -> Self {
        TestEndpoint(self.0, readiness, self.2)
    }
}

fn overrides<const N: usize>(all: [(&str, AdminOverride); N]) -> AdminOverrides {
    all.into_iter().map(|(name, admin_override)| (name.to_string(), admin_override)).collect()
}

#[test]
fn returns_only_changed_entries() {
    let mut registry = EndpointRegistry::new(AdminOverrides::new());
    let all = vec![TestEndpoint("c1", Ready, 1), TestEndpoint("c2", Ready, 1)];
    assert_eq!(registry.apply_update(ListScope::Full, all.clone(), at(0)), all);
    assert_eq!(registry.apply_update(ListScope::Full, all.clone(), at(1)), []);
    assert_eq!(
        registry.replace_operator_overrides(overrides([("c1", admin_override(Draining, None))]), at(2)),
        [TestEndpoint("c1", Draining, 1)]
    );
    // Neither a full list nor a repeated entry removes an override.
    assert_eq!(registry.apply_update(ListScope::Full, all.clone(), at(3)), []);
    assert_eq!(registry.apply_update(ListScope::Changes, vec![TestEndpoint("c1", Ready, 1)], at(3)), []);
    // Other changes of the entry are returned, with the readiness of the override.
    assert_eq!(
        registry.apply_update(ListScope::Changes, vec![TestEndpoint("c1", Ready, 2)], at(4)),
        [TestEndpoint("c1", Draining, 2)]
    );
    assert_eq!(
        registry.replace_operator_overrides(AdminOverrides::new(), at(5)),
        [TestEndpoint("c1", Ready, 2)]
    );
    // An endpoint that is missing in a full list is returned as gone once.
    assert_eq!(
        registry.apply_update(ListScope::Full, vec![TestEndpoint("c2", Ready, 1)], at(6)),
        [TestEndpoint("c1", Gone, 2)]
    );
    assert_eq!(registry.apply_update(ListScope::Full, vec![TestEndpoint("c2", Ready, 1)], at(6)), []);
}

#[test]
fn override_is_kept_for_the_same_name_but_not_inherited_by_another() {
    let mut registry = EndpointRegistry::new(overrides([("c1", admin_override(Draining, None))]));
    assert_eq!(
        registry.apply_update(ListScope::Full, vec![TestEndpoint("c1", Ready, 1)], at(0)),
        [TestEndpoint("c1", Draining, 1)]
    );
    // The endpoint is replaced by one with another name.
    let changes = registry.apply_update(
        ListScope::Changes,
        vec![TestEndpoint("c1", Gone, 1), TestEndpoint("c9", Ready, 1)],
        at(1),
    );
    assert_eq!(changes, [TestEndpoint("c1", Gone, 1), TestEndpoint("c9", Ready, 1)]);
    assert_eq!(registry.operator_overrides().len(), 1);
    // When an endpoint with the first name is listed again, the override applies to it.
    assert_eq!(
        registry.apply_update(ListScope::Changes, vec![TestEndpoint("c1", Ready, 3)], at(2)),
        [TestEndpoint("c1", Draining, 3)]
    );
}

#[test]
fn override_to_gone_removes_and_restores_endpoint() {
    let mut registry = EndpointRegistry::new(AdminOverrides::new());
    registry.apply_update(ListScope::Full, vec![TestEndpoint("c1", Ready, 1)], at(0));
    assert_eq!(
        registry.replace_operator_overrides(overrides([("c1", admin_override(Gone, None))]), at(1)),
        [TestEndpoint("c1", Gone, 1)]
    );
    assert_eq!(registry.apply_update(ListScope::Changes, vec![TestEndpoint("c1", Draining, 1)], at(2)), []);
    assert_eq!(
        registry.replace_operator_overrides(AdminOverrides::new(), at(3)),
        [TestEndpoint("c1", Draining, 1)]
    );
}

#[test]
fn override_expires_without_discovery_updates() {
    let mut registry = EndpointRegistry::new(AdminOverrides::new());
    registry.apply_update(
        ListScope::Full,
        vec![TestEndpoint("c1", Ready, 1), TestEndpoint("c2", Draining, 1)],
        at(0),
    );
    let both = overrides([("c1", admin_override(Draining, Some(9))), ("c2", admin_override(Gone, Some(7)))]);
    assert_eq!(
        registry.replace_operator_overrides(both, at(1)),
        [TestEndpoint("c2", Gone, 1), TestEndpoint("c1", Draining, 1)]
    );
    assert_eq!(registry.next_expiry(at(1)), Some(at(7)));
    assert_eq!(registry.expire_overrides(at(6)), []);
    // The readiness that discovery lists applies again.
    assert_eq!(registry.expire_overrides(at(7)), [TestEndpoint("c2", Draining, 1)]);
    assert_eq!(registry.next_expiry(at(7)), Some(at(9)));
    assert_eq!(registry.expire_overrides(at(9)), [TestEndpoint("c1", Ready, 1)]);
    assert_eq!(registry.next_expiry(at(9)), None);
}

#[test_case(Ready, None, Some(Draining), effective(Draining, ReadinessSource::Control))]
#[test_case(Ready, Some(Draining), Some(Draining), effective(Draining, ReadinessSource::Several))]
#[test_case(Ready, Some(Draining), Some(Gone), effective(Gone, ReadinessSource::Control))]
#[test_case(Ready, Some(Gone), Some(Draining), effective(Gone, ReadinessSource::Operator))]
#[test_case(Draining, None, Some(Draining), effective(Draining, ReadinessSource::Several))]
#[test_case(Draining, Some(Draining), Some(Draining), effective(Draining, ReadinessSource::Several))]
#[test_case(Draining, Some(Draining), Some(Gone), effective(Gone, ReadinessSource::Control))]
fn control_and_operator_overrides_do_not_cancel_each_other(
    discovered: Readiness,
    operator: Option<Readiness>,
    control: Option<Readiness>,
    expected: EffectiveReadiness,
) {
    let new_override = |readiness: Readiness| admin_override(readiness, None);
    let [operator, control] = [operator, control].map(|readiness| readiness.map(new_override));
    assert_eq!(merge_readiness(Some(discovered), operator.as_ref(), control.as_ref(), at(1)), Some(expected));
    assert_eq!(merge_readiness(Some(Gone), operator.as_ref(), control.as_ref(), at(1)), None);
}

fn listed_caches(names: &[&str]) -> BTreeMap<String, ListedEndpoint> {
    let listed =
        |name: &&str| (name.to_string(), ListedEndpoint { role: Role::Cache, location: 0, readiness: Ready });
    names.iter().map(listed).collect()
}

fn list_endpoints(
    registry: &mut EndpointRegistry<TestEndpoint>,
    names: &[&'static str],
) -> BTreeMap<String, ListedEndpoint> {
    registry.apply_update(
        ListScope::Full,
        names.iter().map(|name| TestEndpoint(name, Ready, 1)).collect(),
        at(0),
    );
    listed_caches(names)
}

#[test]
fn control_overrides_replace_only_control_overrides() {
    let mut registry = EndpointRegistry::new(overrides([("c1", admin_override(Draining, None))]));
    let endpoints = list_endpoints(&mut registry, &["c1", "c2", "c3"]);
    let control = overrides([("c1", admin_override(Gone, None)), ("c2", admin_override(Draining, None))]);
    let ControlUpdate { changes, rejected } =
        registry.replace_control_overrides(control, endpoints.clone(), at(1));
    assert_eq!(changes, [TestEndpoint("c1", Gone, 1), TestEndpoint("c2", Draining, 1)]);
    assert!(rejected.is_empty());
    let ControlUpdate { changes, .. } =
        registry.replace_control_overrides(AdminOverrides::new(), endpoints, at(2));
    assert_eq!(changes, [TestEndpoint("c1", Draining, 1), TestEndpoint("c2", Ready, 1)]);
    assert_eq!(registry.operator_overrides().len(), 1);
}

#[test]
fn override_of_last_ready_endpoint_is_rejected_until_another_is_ready() {
    let mut registry = EndpointRegistry::new(AdminOverrides::new());
    let endpoints = list_endpoints(&mut registry, &["c1", "c2"]);
    let control = overrides([("c1", admin_override(Draining, None)), ("c2", admin_override(Gone, None))]);
    let ControlUpdate { changes, rejected } =
        registry.replace_control_overrides(control.clone(), endpoints.clone(), at(1));
    assert_eq!(changes, [TestEndpoint("c1", Draining, 1)]);
    assert_eq!(rejected, BTreeMap::from([("c2".to_string(), RejectedOverride::LastReadyEndpoint)]));
    // An endpoint that an operator drains is not ready, as if discovery listed it as draining.
    let endpoints = list_endpoints(&mut registry, &["c1", "c2", "c3"]);
    registry.replace_operator_overrides(overrides([("c3", admin_override(Draining, None))]), at(2));
    assert_eq!(
        registry.replace_control_overrides(control.clone(), endpoints.clone(), at(3)).rejected.len(),
        1
    );
    registry.replace_operator_overrides(AdminOverrides::new(), at(4));
    assert_eq!(
        registry.replace_control_overrides(control, endpoints, at(5)),
        ControlUpdate { changes: vec![TestEndpoint("c2", Gone, 1)], rejected: BTreeMap::new() }
    );
}

#[test]
fn override_of_unlisted_endpoint_applies_once_it_is_listed() {
    let mut registry = EndpointRegistry::new(AdminOverrides::new());
    let endpoints = list_endpoints(&mut registry, &["c1"]);
    let ControlUpdate { changes, rejected } = registry.replace_control_overrides(
        overrides([("unlisted", admin_override(Gone, None))]),
        endpoints,
        at(1),
    );
    assert_eq!((changes, rejected, registry.control_overrides().len()), (vec![], BTreeMap::new(), 1));
    // The endpoint is listed, but the override to gone keeps it out of the effective list.
    assert_eq!(
        registry.apply_update(ListScope::Changes, vec![TestEndpoint("unlisted", Ready, 1)], at(2)),
        []
    );
}

#[test]
fn rejects_control_overrides_over_the_limit() {
    let mut registry = EndpointRegistry::new(AdminOverrides::new());
    let endpoints = list_endpoints(&mut registry, &["c1"]);
    let control =
        (0..=MAX_CONTROL_OVERRIDES).map(|index| (format!("h{index:05}"), admin_override(Draining, None)));
    let ControlUpdate { rejected, .. } =
        registry.replace_control_overrides(control.collect(), endpoints, at(1));
    assert_eq!(
        rejected,
        BTreeMap::from([(format!("h{MAX_CONTROL_OVERRIDES:05}"), RejectedOverride::TooMany)])
    );
    assert_eq!(registry.control_overrides().len(), MAX_CONTROL_OVERRIDES);
}

#[test]
fn operator_cannot_drain_last_endpoint_left_by_control() {
    let control = overrides([("c1", admin_override(Draining, None))]);
    let endpoints = apply_overrides(listed_caches(&["c1", "c2"]), &control, at(1));
    let after = overrides([("c2", admin_override(Draining, None))]);
    assert!(find_emptied_group(&endpoints, &AdminOverrides::new(), &after, at(1)).is_some());
    assert!(
        find_emptied_group(&listed_caches(&["c1", "c2"]), &AdminOverrides::new(), &after, at(1)).is_none()
    );
}
