//! Administrative overrides, and how they are merged with what discovery lists.

use rockflow::Readiness;
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

/// An administrative override of an endpoint's readiness.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdminOverride {
    /// `Draining` or `Gone`.
    pub readiness: Readiness,
    /// The time from which it has no effect; none: it does not expire.
    pub expires_at: Option<Duration>,
    /// Accepted even if it leaves a group without a ready endpoint.
    pub force: bool,
}

/// Administrative overrides by endpoint name.
pub type AdminOverrides = BTreeMap<String, AdminOverride>;

impl AdminOverride {
    /// Whether it has not expired.
    pub fn is_active(&self, now: Duration) -> bool {
        self.expires_at.is_none_or(|expires_at| now < expires_at)
    }
}

/// Who decides the readiness of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadinessSource {
    /// The discovery service.
    Discovery,
    /// An operator of this dispatcher.
    Operator,
    /// Control, for all dispatchers.
    Control,
    /// Two or more of them agree.
    Several,
}

impl ReadinessSource {
    /// The management model's word for it.
    pub fn as_str(self) -> &'static str {
        match self {
            ReadinessSource::Discovery => "board",
            ReadinessSource::Operator => "operator",
            ReadinessSource::Control => "fleet",
            ReadinessSource::Several => "both",
        }
    }
}

/// The readiness that an endpoint has after all overrides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EffectiveReadiness {
    /// The most restrictive of what discovery and overrides say.
    pub readiness: Readiness,
    /// Who decided it.
    pub source: ReadinessSource,
}

/// Merges what discovery lists with one override; none: the endpoint is not listed.
pub fn effective_readiness(
    discovered: Option<Readiness>,
    operator: Option<&AdminOverride>,
    now: Duration,
) -> Option<EffectiveReadiness> {
    merge_readiness(discovered, operator, None, now)
}

/// Merges what discovery lists with the overrides of both sources; none: the endpoint is not listed.
pub fn merge_readiness(
    discovered: Option<Readiness>,
    operator: Option<&AdminOverride>,
    control: Option<&AdminOverride>,
    now: Duration,
) -> Option<EffectiveReadiness> {
    let discovered = discovered.filter(|readiness| *readiness != Readiness::Gone)?;
    let mut effective = EffectiveReadiness { readiness: discovered, source: ReadinessSource::Discovery };
    for (applied, source) in [(operator, ReadinessSource::Operator), (control, ReadinessSource::Control)] {
        let Some(applied) = applied.filter(|applied| applied.is_active(now)) else { continue };
        match severity(applied.readiness).cmp(&severity(effective.readiness)) {
            Ordering::Greater => effective = EffectiveReadiness { readiness: applied.readiness, source },
            Ordering::Equal => effective.source = ReadinessSource::Several,
            Ordering::Less => {}
        }
    }
    Some(effective)
}

/// How restrictive a readiness is; the greater wins.
pub(crate) fn severity(readiness: Readiness) -> u8 {
    match readiness {
        Readiness::Ready => 0,
        Readiness::Draining => 1,
        Readiness::Gone => 2,
    }
}
