//! What holds of a host where the board, operators and time disagree.

use rockflow::Readiness::{self, Draining, Gone, Ready};
use rockflow::{ListScope, Role};
use rockflow_endpoints::MAX_CONTROL_OVERRIDES;
use rockflow_endpoints::{
    apply_overrides, effective_readiness, find_emptied_group, merge_readiness, AdminOverride, AdminOverrides,
    EffectiveReadiness, EndpointRegistry, ListedEndpoint, ReadinessSource, RegistryEntry, RejectedOverride,
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

fn mark(readiness: Readiness, until: Option<u64>) -> AdminOverride {
    AdminOverride { readiness, expires_at: until.map(at), force: false }
}

#[test_case(None, Some(Draining), None; "marked and not listed")]
#[test_case(Some(Gone), Some(Draining), None; "left, with a mark")]
#[test_case(Some(Ready), None, Some(effective(Ready, ReadinessSource::Discovery)))]
#[test_case(Some(Ready), Some(Draining), Some(effective(Draining, ReadinessSource::Operator)))]
#[test_case(Some(Ready), Some(Gone), Some(effective(Gone, ReadinessSource::Operator)))]
#[test_case(Some(Draining), None, Some(effective(Draining, ReadinessSource::Discovery)))]
#[test_case(Some(Draining), Some(Draining), Some(effective(Draining, ReadinessSource::Several)))]
#[test_case(Some(Draining), Some(Gone), Some(effective(Gone, ReadinessSource::Operator)))]
fn the_more_careful_word_holds(
    told: Option<Readiness>,
    marked: Option<Readiness>,
    wanted: Option<EffectiveReadiness>,
) {
    let marked = marked.map(|readiness| mark(readiness, Some(10)));
    assert_eq!(effective_readiness(told, marked.as_ref(), at(9)), wanted);
    // From its time on the mark says nothing.
    let alone = told.filter(|told| *told != Gone).map(|told| effective(told, ReadinessSource::Discovery));
    assert_eq!(effective_readiness(told, marked.as_ref(), at(10)), alone);
}

#[derive(Clone, Debug, PartialEq)]
struct Host(&'static str, Readiness, u32);

impl RegistryEntry for Host {
    fn name(&self) -> &str {
        self.0
    }
    fn discovered_readiness(&self) -> Readiness {
        self.1
    }
    fn with_readiness(&self, readiness: Readiness) -> Self {
        Host(self.0, readiness, self.2)
    }
}

fn marks<const N: usize>(all: [(&str, AdminOverride); N]) -> AdminOverrides {
    all.into_iter().map(|(name, mark)| (name.to_string(), mark)).collect()
}

#[test]
fn only_what_changes_is_told() {
    let mut registry = EndpointRegistry::new(AdminOverrides::new());
    let all = vec![Host("c1", Ready, 1), Host("c2", Ready, 1)];
    assert_eq!(registry.apply_update(ListScope::Full, all.clone(), at(0)), all);
    assert_eq!(registry.apply_update(ListScope::Full, all.clone(), at(1)), []);
    assert_eq!(
        registry.replace_operator_overrides(marks([("c1", mark(Draining, None))]), at(2)),
        [Host("c1", Draining, 1)]
    );
    // The whole list anew, or the same told again, takes no mark back.
    assert_eq!(registry.apply_update(ListScope::Full, all.clone(), at(3)), []);
    assert_eq!(registry.apply_update(ListScope::Changes, vec![Host("c1", Ready, 1)], at(3)), []);
    // What else is new of the host comes through, under the mark.
    assert_eq!(
        registry.apply_update(ListScope::Changes, vec![Host("c1", Ready, 2)], at(4)),
        [Host("c1", Draining, 2)]
    );
    assert_eq!(registry.replace_operator_overrides(AdminOverrides::new(), at(5)), [Host("c1", Ready, 2)]);
    // One that the whole list leaves out is gone, once.
    assert_eq!(
        registry.apply_update(ListScope::Full, vec![Host("c2", Ready, 1)], at(6)),
        [Host("c1", Gone, 2)]
    );
    assert_eq!(registry.apply_update(ListScope::Full, vec![Host("c2", Ready, 1)], at(6)), []);
}

#[test]
fn a_mark_outlives_the_host_and_its_successor_inherits_nothing() {
    let mut registry = EndpointRegistry::new(marks([("c1", mark(Draining, None))]));
    assert_eq!(
        registry.apply_update(ListScope::Full, vec![Host("c1", Ready, 1)], at(0)),
        [Host("c1", Draining, 1)]
    );
    // It leaves; one under another name comes at its address.
    let news =
        registry.apply_update(ListScope::Changes, vec![Host("c1", Gone, 1), Host("c9", Ready, 1)], at(1));
    assert_eq!(news, [Host("c1", Gone, 1), Host("c9", Ready, 1)]);
    assert_eq!(registry.operator_overrides().len(), 1);
    // Under its own name it comes back marked.
    assert_eq!(
        registry.apply_update(ListScope::Changes, vec![Host("c1", Ready, 3)], at(2)),
        [Host("c1", Draining, 3)]
    );
}

#[test]
fn a_mark_of_gone_takes_the_host_away_and_back() {
    let mut registry = EndpointRegistry::new(AdminOverrides::new());
    registry.apply_update(ListScope::Full, vec![Host("c1", Ready, 1)], at(0));
    assert_eq!(
        registry.replace_operator_overrides(marks([("c1", mark(Gone, None))]), at(1)),
        [Host("c1", Gone, 1)]
    );
    assert_eq!(registry.apply_update(ListScope::Changes, vec![Host("c1", Draining, 1)], at(2)), []);
    assert_eq!(registry.replace_operator_overrides(AdminOverrides::new(), at(3)), [Host("c1", Draining, 1)]);
}

#[test]
fn a_mark_expires_while_the_board_is_silent() {
    let mut registry = EndpointRegistry::new(AdminOverrides::new());
    registry.apply_update(ListScope::Full, vec![Host("c1", Ready, 1), Host("c2", Draining, 1)], at(0));
    let both = marks([("c1", mark(Draining, Some(9))), ("c2", mark(Gone, Some(7)))]);
    assert_eq!(
        registry.replace_operator_overrides(both, at(1)),
        [Host("c2", Gone, 1), Host("c1", Draining, 1)]
    );
    assert_eq!(registry.next_expiry(at(1)), Some(at(7)));
    assert_eq!(registry.expire_overrides(at(6)), []);
    // What the board last said holds again.
    assert_eq!(registry.expire_overrides(at(7)), [Host("c2", Draining, 1)]);
    assert_eq!(registry.next_expiry(at(7)), Some(at(9)));
    assert_eq!(registry.expire_overrides(at(9)), [Host("c1", Ready, 1)]);
    assert_eq!(registry.next_expiry(at(9)), None);
}

#[test_case(Ready, None, Some(Draining), effective(Draining, ReadinessSource::Control))]
#[test_case(Ready, Some(Draining), Some(Draining), effective(Draining, ReadinessSource::Several))]
#[test_case(Ready, Some(Draining), Some(Gone), effective(Gone, ReadinessSource::Control))]
#[test_case(Ready, Some(Gone), Some(Draining), effective(Gone, ReadinessSource::Operator))]
#[test_case(Draining, None, Some(Draining), effective(Draining, ReadinessSource::Several))]
#[test_case(Draining, Some(Draining), Some(Draining), effective(Draining, ReadinessSource::Several))]
#[test_case(Draining, Some(Draining), Some(Gone), effective(Gone, ReadinessSource::Control))]
fn the_fleet_and_operators_do_not_undo_each_other(
    told: Readiness,
    operator: Option<Readiness>,
    fleet: Option<Readiness>,
    wanted: EffectiveReadiness,
) {
    let [operator, fleet] = [operator, fleet].map(|word| word.map(|word| mark(word, None)));
    assert_eq!(merge_readiness(Some(told), operator.as_ref(), fleet.as_ref(), at(1)), Some(wanted));
    assert_eq!(merge_readiness(Some(Gone), operator.as_ref(), fleet.as_ref(), at(1)), None);
}

fn site(names: &[&str]) -> BTreeMap<String, ListedEndpoint> {
    let listed =
        |name: &&str| (name.to_string(), ListedEndpoint { role: Role::Cache, location: 0, readiness: Ready });
    names.iter().map(listed).collect()
}

fn known(registry: &mut EndpointRegistry<Host>, names: &[&'static str]) -> BTreeMap<String, ListedEndpoint> {
    registry.apply_update(ListScope::Full, names.iter().map(|name| Host(name, Ready, 1)).collect(), at(0));
    site(names)
}

#[test]
fn the_fleets_marks_take_each_others_place_and_no_operators() {
    let mut registry = EndpointRegistry::new(marks([("c1", mark(Draining, None))]));
    let hosts = known(&mut registry, &["c1", "c2", "c3"]);
    let both = marks([("c1", mark(Gone, None)), ("c2", mark(Draining, None))]);
    let (news, refused) = registry.replace_control_overrides(both, hosts.clone(), at(1));
    assert_eq!(news, [Host("c1", Gone, 1), Host("c2", Draining, 1)]);
    assert!(refused.is_empty());
    let (news, _) = registry.replace_control_overrides(AdminOverrides::new(), hosts, at(2));
    assert_eq!(news, [Host("c1", Draining, 1), Host("c2", Ready, 1)]);
    assert_eq!(registry.operator_overrides().len(), 1);
}

#[test]
fn the_last_one_is_kept_apart_and_judged_again() {
    let mut registry = EndpointRegistry::new(AdminOverrides::new());
    let hosts = known(&mut registry, &["c1", "c2"]);
    let wanted = marks([("c1", mark(Draining, None)), ("c2", mark(Gone, None))]);
    let (news, refused) = registry.replace_control_overrides(wanted.clone(), hosts.clone(), at(1));
    assert_eq!(news, [Host("c1", Draining, 1)]);
    assert_eq!(refused, BTreeMap::from([("c2".to_string(), RejectedOverride::LastReadyEndpoint)]));
    // An operator's mark counts like the board's word.
    let hosts = known(&mut registry, &["c1", "c2", "c3"]);
    registry.replace_operator_overrides(marks([("c3", mark(Draining, None))]), at(2));
    assert_eq!(registry.replace_control_overrides(wanted.clone(), hosts.clone(), at(3)).1.len(), 1);
    registry.replace_operator_overrides(AdminOverrides::new(), at(4));
    assert_eq!(
        registry.replace_control_overrides(wanted, hosts, at(5)),
        (vec![Host("c2", Gone, 1)], BTreeMap::new())
    );
}

#[test]
fn a_host_that_the_board_never_named_is_marked_without_effect() {
    let mut registry = EndpointRegistry::new(AdminOverrides::new());
    let hosts = known(&mut registry, &["c1"]);
    let (news, refused) =
        registry.replace_control_overrides(marks([("nobody", mark(Gone, None))]), hosts, at(1));
    assert_eq!((news, refused, registry.control_overrides().len()), (vec![], BTreeMap::new(), 1));
    // It holds once the board names it.
    assert_eq!(registry.apply_update(ListScope::Changes, vec![Host("nobody", Ready, 1)], at(2)), []);
}

#[test]
fn more_marks_than_are_held_are_refused() {
    let mut registry = EndpointRegistry::new(AdminOverrides::new());
    let hosts = known(&mut registry, &["c1"]);
    let names = (0..=MAX_CONTROL_OVERRIDES).map(|n| (format!("h{n:05}"), mark(Draining, None)));
    let (_, refused) = registry.replace_control_overrides(names.collect(), hosts, at(1));
    assert_eq!(
        refused,
        BTreeMap::from([(format!("h{MAX_CONTROL_OVERRIDES:05}"), RejectedOverride::TooMany)])
    );
    assert_eq!(registry.control_overrides().len(), MAX_CONTROL_OVERRIDES);
}

#[test]
fn an_operator_does_not_drain_the_last_that_the_fleet_has_left() {
    let fleet = marks([("c1", mark(Draining, None))]);
    let hosts = apply_overrides(site(&["c1", "c2"]), &fleet, at(1));
    let after = marks([("c2", mark(Draining, None))]);
    assert!(find_emptied_group(&hosts, &AdminOverrides::new(), &after, at(1)).is_some());
    assert!(find_emptied_group(&site(&["c1", "c2"]), &AdminOverrides::new(), &after, at(1)).is_none());
}
