//! Scenarios of a dispatcher with clients, hosts and discovery services that follow the protocol or violate
//! it.

mod common;

use test_case::test_case;

#[test_case(include_str!("scenarios/ordinary.txt"); "ordinary")]
#[test_case(include_str!("scenarios/clients.txt"); "clients")]
#[test_case(include_str!("scenarios/hosts.txt"); "hosts")]
#[test_case(include_str!("scenarios/silent-host.txt"); "silent host")]
#[test_case(include_str!("scenarios/discovery-events.txt"); "discovery events")]
#[test_case(include_str!("scenarios/empty-endpoint-list.txt"); "empty endpoint list")]
#[test_case(include_str!("scenarios/client-connection-cap.txt"); "client connection cap")]
#[test_case(include_str!("scenarios/silent-discovery.txt"); "silent discovery")]
#[test_case(include_str!("scenarios/reload.txt"); "reload")]
#[test_case(include_str!("scenarios/decision-panic.txt"); "decision panic")]
#[test_case(include_str!("scenarios/operator-overrides.txt"); "operator overrides")]
#[test_case(include_str!("scenarios/expiring-overrides.txt"); "expiring overrides")]
#[test_case(include_str!("scenarios/control-overrides.txt"); "control overrides")]
#[test_case(include_str!("scenarios/shutdown.txt"); "shutdown")]
#[test_case(include_str!("scenarios/shutdown-with-reload.txt"); "shutdown with reload")]
fn scenario(text: &str) {
    common::run_scenario(text);
}
