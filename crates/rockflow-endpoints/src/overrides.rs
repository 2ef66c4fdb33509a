//! Administrative overrides, and the merge with the readiness that discovery lists.

use rockflow::Readiness;
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

/// An administrative override of an endpoint's readiness.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdminOverride {
    /// The readiness to which the endpoint is restricted: `Draining` or `Gone`.
    pub readiness: Readiness,
    /// The time from which the override has no effect; `None`: it does not expire.
    pub expires_at: Option<Duration>,
    /// Whether the override is accepted even if it leaves a group without a ready endpoint.
    pub force: bool,
}

/// Administrative overrides by endpoint name.
pub type AdminOverrides = BTreeMap<String, AdminOverride>;

impl AdminOverride {
    /// Whether the override has an effect, that is, has not expired.
    pub fn is_active(&self, now: Duration) -> bool {
        self.expires_at.is_none_or(|expires_at| now < expires_at)
    }
}

/// The source of an endpoint's effective readiness.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadinessSource {
    /// The endpoint list of the discovery service.
    Discovery,
    /// An override by an operator of this dispatcher.
    Operator,
    /// An override by the control nodes, for all dispatchers.
    Control,
    /// Two or more of these sources have this readiness.
    Several,
}

impl ReadinessSource {
    /// The value of the source in the management model.
    pub fn as_str(self) -> &'static str {
        match self {
            ReadinessSource::Discovery => "board",
            ReadinessSource::Operator => "operator",
            ReadinessSource::Control => "fleet",
            ReadinessSource::Several => "both",
        }
    }
}

/// The readiness of an endpoint after all overrides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EffectiveReadiness {
    /// The most restrictive readiness of the endpoint list and the active overrides.
    pub readiness: Readiness,
    /// The source that this readiness comes from.
    pub source: ReadinessSource,
}

/// Merges the readiness that discovery lists with the override of an operator. Returns `None` if the endpoint is not
/// listed, or is listed as gone.
pub fn effective_readiness(
    discovered: Option<Readiness>,
    operator: Option<&AdminOverride>,
    now: Duration,
) -> Option<EffectiveReadiness> {
    merge_readiness(discovered, operator, None, now)
}

/// Merges the readiness that discovery lists with the overrides of both sources. Returns `None` if the endpoint is not
/// listed, or is listed as gone.
pub fn merge_readiness(
    discovered: Option<Readiness>,
    operator: Option<&AdminOverride>,
    control: Option<&AdminOverride>,
    now: Duration,
) -> Option<EffectiveReadiness> {
    let discovered = discovered.filter(|readiness| *readiness != Readiness::Gone)?;
    let mut effective = EffectiveReadiness { readiness: discovered, source: ReadinessSource::Discovery };
    for (admin_override, source) in
        [(operator, ReadinessSource::Operator), (control, ReadinessSource::Control)]
    {
        let Some(active) = admin_override.filter(|admin_override| admin_override.is_active(now)) else {
            continue;
        };
        match severity(active.readiness).cmp(&severity(effective.readiness)) {
            Ordering::Greater => effective = EffectiveReadiness { readiness: active.readiness, source },
            Ordering::Equal => effective.source = ReadinessSource::Several,
            Ordering::Less => {}
        }
    }
    Some(effective)
}

/// How restrictive a readiness is; the greater value applies in a merge.
pub(crate) fn severity(readiness: Readiness) -> u8 {
    match readiness {
        Readiness::Ready => 0,
        Readiness::Draining => 1,
        Readiness::Gone => 2,
    }
}
