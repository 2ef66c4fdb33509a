//! A host that is warming up before fleets of several sizes: the unused part of its capacity.

use super::measure::processor;
use super::{Bench, Listed};
use rockflow::Role;
use rockflow_routing_simulation::warm_up::{
    simulate, Restarts, Traffic, WarmUpCase, WarmUpResult, REQUEST_INTERVAL,
};
use std::time::Duration;

/// Series about hosts that are warming up.
pub const SERIES: &[Listed] =
    &[("cold", "calls to spare at a cold host before a fleet, over what it bears with chance", cold)];

const SIZES: [usize; 6] = [3, 30, 100, 300, 900, 1800];

/// Between two requests that one dispatcher is asked, and the most between two anywhere.
const EACH: Duration = Duration::from_millis(100);

/// The worst of a cache and a parent, small and large attempts: the least to spare, and the least that it got.
fn cold(bench: &mut Bench) {
    for (uneven, told_ms, again) in [(false, 0, false), (true, 2500, true)] {
        for dispatchers in SIZES {
            let x = ("dispatchers", dispatchers as f64);
            let others = [("uneven", f64::from(u8::from(uneven))), ("again", f64::from(u8::from(again)))];
            let (start, gap) = (processor(), REQUEST_INTERVAL.min(EACH / dispatchers as u32));
            let (mut spare, mut least, mut worst) = (f64::INFINITY, f64::INFINITY, 0.0f64);
            for cold in [Role::Cache, Role::Parent] {
                for size_kb in [50.0, 400.0] {
                    let told_within = Duration::from_millis(told_ms);
                    let case = WarmUpCase {
                        role: cold,
                        size_kb,
                        traffic: if uneven { Traffic::Uneven } else { Traffic::Even },
                        notice_spread: told_within,
                        restarts: if again { Restarts::Most } else { Restarts::None },
                        request_interval: gap,
                    };
                    let WarmUpResult { sent, max_excess, max_share_of_bound } =
                        simulate(dispatchers, case, bench.seed);
                    (spare, least) = (spare.min(-max_excess), least.min(sent.len() as f64));
                    worst = worst.max(max_share_of_bound);
                }
            }
            if processor() - start > bench.budget {
                let note = format!(
                    "played, but over its budget of {} s of processor time",
                    bench.budget.as_secs_f64()
                );
                bench.unfinished(x, ("calls to spare", "calls"), &others, note);
                break;
            }
            bench.found(x, ("calls over the bound", worst, "of it"), &others);
            bench.found(x, ("calls to spare", spare, "calls"), &others);
            bench.found(x, ("calls got in all", least, "calls"), &others);
        }
    }
}
