//! Locations, delays and addresses of the nodes of a simulated fleet.

use rockflow_dissemination::{ControlId, NodeId, Peer};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Port of every virtual node.
const PORT: u16 = 7400;
/// One way, in a site and in a zone, as shares of the way within a region.
const IN_SITE: f64 = 0.05;
const IN_ZONE: f64 = 0.25;
/// The nearest other region, as a share of the way to the furthest.
const NEAREST: f64 = 0.2;

/// How many of each there are.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shape {
    /// Number of members.
    pub members: usize,
    /// Number of sites.
    pub sites: usize,
    /// Number of zones.
    pub zones: usize,
    /// Number of regions.
    pub regions: usize,
    /// Number of control nodes.
    pub control: usize,
    /// Members are spread over the sites evenly, not by the seed.
    pub even: bool,
    /// One way within a region, and between the two regions that are furthest apart.
    pub near: Duration,
    /// One-way delay between the two regions that are furthest apart.
    pub far: Duration,
}

impl Shape {
    /// A fleet of the target's proportions with so many members and six control nodes.
    pub fn of(members: usize) -> Shape {
        let part = |whole: usize| (whole * members).div_ceil(1800).max(1);
        let regions = part(29).clamp(members.min(2), 29);
        let zones = part(104).max(regions);
        Shape {
            members,
            sites: part(140).max(zones),
            zones,
            regions,
            control: 6,
            even: false,
            near: Duration::from_millis(2),
            far: Duration::from_millis(100),
        }
    }
}

/// Where a node stands. Control nodes have a site of their own each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Index of the region.
    pub region: usize,
    /// Index of the zone.
    pub zone: usize,
    /// Index of the site.
    pub site: usize,
}

/// All nodes by their index: members first, then spare places for those that replace others, then control nodes.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Counts from which the layout was built.
    pub shape: Shape,
    /// Location of each node, by its index.
    pub places: Vec<Place>,
    /// Members and spare places.
    pub member_slots: usize,
}

impl Layout {
    /// Distributes members, `spare` replacement slots and control nodes over the sites.
    pub fn new(shape: Shape, spare: usize, rng: &mut oorandom::Rand64) -> Layout {
        let zone_of = |site: usize| site % shape.zones;
        let region_of = |zone: usize| zone % shape.regions;
        let place = |site: usize| Place { site, zone: zone_of(site), region: region_of(zone_of(site)) };
        // Sites of one to four times the least size, by the seed.
        let weights: Vec<f64> =
            (0..shape.sites).map(|_| if shape.even { 1.0 } else { 1.0 + 3.0 * rng.rand_float() }).collect();
        let all: f64 = weights.iter().sum();
        let mut reached = 0.0;
        let mut places = Vec::new();
        for (site, weight) in weights.iter().enumerate() {
            reached += weight;
            let upto = (reached / all * shape.members as f64).round() as usize;
            // Every site has a member where there are enough for that.
            let upto = upto.max(site + 1).min(shape.members);
            while places.len() < upto {
                places.push(place(site));
            }
        }
        while places.len() < shape.members {
            places.push(place(places.len() % shape.sites));
        }
        (0..spare).for_each(|at| places.push(places[at % shape.members]));
        let member_slots = places.len();
        for control in 0..shape.control {
            let region = control * shape.regions / shape.control.max(1) % shape.regions;
            places.push(Place { region, zone: shape.zones + control, site: shape.sites + control });
        }
        Layout { shape, places, member_slots }
    }

    /// Number of nodes of all kinds.
    pub fn nodes(&self) -> usize {
        self.places.len()
    }

    /// Whether the node at this index is a control node.
    pub fn is_control(&self, at: usize) -> bool {
        at >= self.member_slots
    }

    /// The index of a control node.
    pub fn control(&self, place: usize) -> usize {
        self.member_slots + place
    }

    /// Control id of the node at this index, if it is a control node.
    pub fn control_id(&self, at: usize) -> Option<ControlId> {
        at.checked_sub(self.member_slots).map(|place| ControlId(place as u8))
    }

    /// Name of the node at this index, as in the directory.
    pub fn name(&self, at: usize) -> String {
        match at.checked_sub(self.member_slots) {
            Some(place) => format!("control-{place}"),
            None => format!("m{at:05}"),
        }
    }

    /// Address of the node at this index.
    pub fn address(at: usize) -> SocketAddr {
        let [_, high, middle, low] = (at as u32).to_be_bytes();
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, high, middle, low)), PORT)
    }

    /// Whose address it is.
    pub fn at(&self, address: SocketAddr) -> Option<usize> {
        let IpAddr::V4(ip) = address.ip() else { return None };
        let [ten, high, middle, low] = ip.octets();
        let at = u32::from_be_bytes([0, high, middle, low]) as usize;
        (ten == 10 && at < self.nodes() && address.port() == PORT).then_some(at)
    }

    /// Id and address of the node at this index.
    pub fn peer(&self, at: usize) -> Peer {
        Peer { node: NodeId::of(&self.name(at)), address: Layout::address(at) }
    }

    /// Ids and addresses of all control nodes.
    pub fn control_peers(&self) -> Vec<Peer> {
        (0..self.shape.control).map(|place| self.peer(self.control(place))).collect()
    }

    /// The least time one way between two nodes.
    pub fn delay(&self, from: usize, to: usize) -> Duration {
        let (a, b) = (self.places[from], self.places[to]);
        if a.site == b.site {
            self.shape.near.mul_f64(IN_SITE)
        } else if a.zone == b.zone {
            self.shape.near.mul_f64(IN_ZONE)
        } else if a.region == b.region {
            self.shape.near
        } else {
            // Regions stand on a ring.
            let apart = a.region.abs_diff(b.region);
            let around = apart.min(self.shape.regions - apart) as f64;
            let furthest = (self.shape.regions / 2).max(1) as f64;
            self.shape.far.mul_f64(NEAREST + (1.0 - NEAREST) * around / furthest)
        }
    }

    /// All nodes that a rule picks.
    pub fn pick(&self, rule: impl Fn(usize, Place) -> bool) -> Vec<usize> {
        (0..self.nodes()).filter(|at| rule(*at, self.places[*at])).collect()
    }

    /// Members of a region, without control nodes.
    pub fn region(&self, region: usize) -> Vec<usize> {
        self.pick(|at, place| !self.is_control(at) && place.region == region)
    }

    /// Indices of the members of a zone.
    pub fn zone(&self, zone: usize) -> Vec<usize> {
        self.pick(|at, place| !self.is_control(at) && place.zone == zone)
    }

    /// Indices of the members of a site.
    pub fn site(&self, site: usize) -> Vec<usize> {
        self.pick(|at, place| !self.is_control(at) && place.site == site)
    }
}
