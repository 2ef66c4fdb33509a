//! The identity, random numbers and settings that the SWIM library `foca` requires.

use crate::config::ClusterConfig;
use crate::identity::{Identity, MemberId};
use serde::{Deserialize, Serialize};
use std::convert::Infallible;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// How long to wait for the reply to a direct probe, in round trips.
pub(super) const PROBE_ROUND_TRIPS: f64 = 4.0;
/// The probe period, which includes indirect probes, in round trips.
const PERIOD_ROUND_TRIPS: f64 = 16.0;
/// A suspect is declared lost after this many probe periods, multiplied by one plus the local health score.
pub(super) const SUSPECT_PERIODS: u32 = 3;
/// The number of members that are asked to probe a member that did not reply to a direct probe.
const INDIRECT_PROBES: usize = 3;
/// The interval of gossip in addition to the updates sent with probes, in probe periods.
const GOSSIP_PERIODS: u32 = 1;
/// The interval at which a member announces itself to another one, present or lost, in probe periods.
const ANNOUNCE_PERIODS: u32 = 10;
/// The maximum size of a datagram of the membership protocol, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1100;
/// The minimum number of times that a member passes on an update.
const MIN_TRANSMISSIONS: u8 = 5;

/// The identity that the library uses for a member: an incarnation, and the number of times that it has rejoined after
/// being declared lost. Rejoining is no restart: the member keeps its memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(super) struct SwimMember {
    pub identity: Identity,
    pub renewals: u32,
}

impl foca::Identity for SwimMember {
    type Addr = MemberId;

    fn renew(&self) -> Option<Self> {
        Some(SwimMember { renewals: self.renewals.checked_add(1)?, ..*self })
    }

    fn addr(&self) -> MemberId {
        self.identity.member
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        (self.identity.incarnation, self.renewals) > (adversary.identity.incarnation, adversary.renewals)
    }
}

/// The library's source of random numbers, seeded by the caller.
pub(super) struct SeededRng(pub oorandom::Rand64);

impl rand_core::TryRng for SeededRng {
    type Error = Infallible;

    fn try_next_u32(&mut self) -> Result<u32, Infallible> {
        Ok((self.0.rand_u64() >> 32) as u32)
    }

    fn try_next_u64(&mut self) -> Result<u64, Infallible> {
        Ok(self.0.rand_u64())
    }

    fn try_fill_bytes(&mut self, bytes: &mut [u8]) -> Result<(), Infallible> {
        for chunk in bytes.chunks_mut(8) {
            chunk.copy_from_slice(&self.0.rand_u64().to_le_bytes()[..chunk.len()]);
        }
        Ok(())
    }
}

/// The duration of one probe period.
pub(super) fn probe_period(config: &ClusterConfig) -> Duration {
    config.round_trip.mul_f64(PERIOD_ROUND_TRIPS)
}

/// The library's settings, with times as multiples of the configured round trip. The higher the local health score, the
/// longer a suspect has to answer.
pub(super) fn foca_config(config: &ClusterConfig, local_health: u32) -> foca::Config {
    let period = probe_period(config);
    let at_least_one = |n: usize| NonZeroUsize::new(n.max(1)).expect("at least one");
    let every = |periods: u32| {
        Some(foca::PeriodicParams { frequency: period * periods, num_members: at_least_one(1) })
    };
    // An update reaches all members in about as many rounds as the logarithm of their number.
    let transmissions = (config.members.len().max(2) as f64).log2().ceil() as u8 * 2;
    foca::Config {
        probe_period: period,
        probe_rtt: config.round_trip.mul_f64(PROBE_ROUND_TRIPS),
        num_indirect_probes: at_least_one(INDIRECT_PROBES),
        max_transmissions: NonZeroU8::new(transmissions.max(MIN_TRANSMISSIONS)).expect("not zero"),
        suspect_to_down_after: period * SUSPECT_PERIODS * (1 + local_health),
        remove_down_after: None,
        max_packet_size: at_least_one(MAX_DATAGRAM_BYTES),
        notify_down_members: true,
        periodic_announce: every(ANNOUNCE_PERIODS),
        periodic_announce_to_down_members: every(ANNOUNCE_PERIODS),
        periodic_gossip: every(GOSSIP_PERIODS),
    }
}
