//! Who is told to be there, and where each of them stands in the tree.

use crate::identity::{NodeId, Peer};
use crate::message::MAX_PARENTS;
use crate::setting::MAX_NAME_BYTES;
use crate::slot_set::MAX_SLOTS;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;

/// Members of a directory. One with more is refused as a whole.
pub const MAX_MEMBERS: usize = 16_384;
/// Regions, likewise.
pub const MAX_REGIONS: usize = 256;
/// Children of one member, by place; a site's head has as many fewer within its site as sites below it.
const CHILDREN_PER_MEMBER: usize = 3;
/// Members of its site before it that are candidates for its parent.
const MAX_PRECEDING_CANDIDATES: usize = 3;
/// Sites below a site's head, by place.
const CHILD_SITES_PER_SITE: usize = 2;
/// Places among the candidates that are left to control nodes at the least.
const MIN_CONTROL_CANDIDATES: usize = 2;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryMember {
    pub name: String,
    pub region: String,
    pub site: String,
    pub zone: String,
    pub address: SocketAddr,
}

/// A line of a directory that can't be taken, counted from 1.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryError {
    pub line: usize,
    pub what: &'static str,
}

impl fmt::Display for DirectoryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.what)
    }
}

impl std::error::Error for DirectoryError {}

/// Where a member stands. `parents`: members above it and control nodes, by preference.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    pub region: u16,
    pub slot: u16,
    pub slots: u16,
    pub listing_hash: u32,
    pub parents: Vec<Peer>,
}

/// The members of a region in the order of their slots: by site, then within it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Region {
    pub name: String,
    /// Says by which listing slots are counted: a hash over all that a place rests on.
    pub listing_hash: u32,
    /// Places in `members` of the directory.
    pub order: Vec<usize>,
    /// Where the sites begin in `order`; its length behind the last.
    sites: Vec<usize>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Directory {
    pub version: u64,
    pub members: Vec<DirectoryMember>,
    regions: Vec<Region>,
    places: BTreeMap<NodeId, (u16, u16)>,
}

impl Directory {
    /// A first line `version,N`, then `name,region,site,zone,address` for each member; empty lines and those that begin
    /// with `#` are passed over.
    ///
    /// # Errors
    /// The first line that can't be taken.
    pub fn parse(text: &str) -> Result<Directory, DirectoryError> {
        let lines = text.lines().map(str::trim).enumerate().map(|(index, line)| (index + 1, line));
        let mut lines = lines.filter(|(_, line)| !line.is_empty() && !line.starts_with('#'));
        let no_version = |line| DirectoryError { line, what: "no `version,` with a number from 1" };
        let (line, first) = lines.next().ok_or(no_version(1))?;
        let version = first.strip_prefix("version,").and_then(|number| number.trim().parse().ok());
        let version = version.filter(|version| *version > 0).ok_or(no_version(line))?;
        let mut members = Vec::new();
        let mut ids = BTreeSet::new();
        let mut addresses = BTreeSet::new();
        for (line, text) in lines {
            let fault = |what| DirectoryError { line, what };
            let listed = parse_member(text).map_err(fault)?;
            if !ids.insert(NodeId::of(&listed.name)) {
                return Err(fault("a name that is there already"));
            }
            if !addresses.insert(listed.address) {
                return Err(fault("an address that is there already"));
            }
            if members.len() >= MAX_MEMBERS {
                return Err(fault("more members than a directory holds"));
            }
            members.push(listed);
        }
        Directory::of(version, members).map_err(|what| DirectoryError { line, what })
    }

    /// # Errors
    /// What is too large, or there twice.
    pub fn of(version: u64, members: Vec<DirectoryMember>) -> Result<Directory, &'static str> {
        let mut by_region: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
        for (index, member) in members.iter().enumerate() {
            by_region.entry(&member.region).or_default().push(index);
        }
        if members.len() > MAX_MEMBERS || by_region.len() > MAX_REGIONS {
            return Err("more members or regions than a directory holds");
        }
        if by_region.values().any(|order| order.len() > MAX_SLOTS) {
            return Err("more members than a region holds");
        }
        let mut regions = Vec::new();
        let mut places = BTreeMap::new();
        for (number, (name, order)) in (0_u16..).zip(by_region) {
            let region = build_region(number, name, order, &members);
            for (slot, index) in (0_u16..).zip(&region.order) {
                if places.insert(NodeId::of(&members[*index].name), (number, slot)).is_some() {
                    return Err("a name twice");
                }
            }
            regions.push(region);
        }
        Ok(Directory { version, members, regions, places })
    }

    pub fn regions(&self) -> &[Region] {
        &self.regions
    }

    /// The region and slot of a member.
    pub fn slot(&self, node: NodeId) -> Option<(u16, u16)> {
        self.places.get(&node).copied()
    }

    pub fn name(&self, region: u16, slot: u16) -> Option<&str> {
        let order = &self.regions.get(usize::from(region))?.order;
        order.get(usize::from(slot)).map(|index| self.members[*index].name.as_str())
    }

    /// Where a member stands, the same at all control nodes that are told the same of them and of the members.
    pub fn place(&self, node: NodeId, control: &[Peer]) -> Option<Placement> {
        let (number, slot) = self.slot(node)?;
        let region = &self.regions[usize::from(number)];
        let above = region.above(usize::from(slot));
        let above = above.into_iter().map(|place| self.peer(region.order[place]));
        let mut parents: Vec<Peer> = above.take(MAX_PARENTS - MIN_CONTROL_CANDIDATES).collect();
        if !control.is_empty() {
            let first = (NodeId::of(&region.name).0 % control.len() as u64) as usize;
            let on_parent_changed = control.iter().cycle().skip(first).take(control.len());
            parents.extend(on_parent_changed.take(MAX_PARENTS - parents.len()).copied());
        }
        let slots = region.order.len() as u16;
        Some(Placement { region: number, slot, slots, listing_hash: region.listing_hash, parents })
    }

    fn peer(&self, index: usize) -> Peer {
        let member = &self.members[index];
        Peer { node: NodeId::of(&member.name), address: member.address }
    }
}

fn parse_member(line: &str) -> Result<DirectoryMember, &'static str> {
    let fields: Vec<&str> = line.split(',').map(str::trim).collect();
    let [name, region, site, zone, address] = fields[..] else {
        return Err("not `name,region,site,zone,address`");
    };
    if [name, region, site].iter().any(|word| word.is_empty()) {
        return Err("an empty name, region or site");
    }
    if [name, region, site, zone].iter().any(|word| word.len() > MAX_NAME_BYTES) {
        return Err("a name that is too long");
    }
    let address = address.parse().map_err(|_| "no address with a port")?;
    let [name, region, site, zone] = [name, region, site, zone].map(str::to_owned);
    Ok(DirectoryMember { name, region, site, zone, address })
}

fn build_region(number: u16, name: &str, mut order: Vec<usize>, members: &[DirectoryMember]) -> Region {
    let key = |index: usize| {
        let member = &members[index];
        (NodeId::of(&member.site), &member.site, NodeId::of(&member.name), &member.name)
    };
    order.sort_by(|a, b| key(*a).cmp(&key(*b)));
    let mut sites = Vec::new();
    let mut text = format!("{number},{name}");
    for (slot, index) in order.iter().enumerate() {
        let member = &members[*index];
        if slot == 0 || members[order[slot - 1]].site != member.site {
            sites.push(slot);
        }
        text += &format!("\n{},{},{}", member.name, member.site, member.address);
    }
    sites.push(order.len());
    let listing_hash = xxhash_rust::xxh3::xxh3_64(text.as_bytes()) as u32;
    Region { name: name.to_owned(), listing_hash, order, sites }
}

impl Region {
    /// The parent within a site of a member that isn't its head.
    fn parent_rank(&self, site: usize, rank: usize) -> usize {
        let below = (1..=CHILD_SITES_PER_SITE).map(|child| site * CHILD_SITES_PER_SITE + child);
        let below = below.filter(|child| child + 1 < self.sites.len()).count();
        let of_head = CHILDREN_PER_MEMBER - below;
        rank.checked_sub(of_head + 1).map_or(0, |more| 1 + more / CHILDREN_PER_MEMBER)
    }

    /// Places above this one, the parent first, then the nearest.
    fn above(&self, place: usize) -> Vec<usize> {
        let site = self.sites.partition_point(|begin| *begin <= place) - 1;
        let head = self.sites[site];
        let rank = place - head;
        let mut above = Vec::new();
        if rank > 0 {
            above.push(head + self.parent_rank(site, rank));
            above.extend((1..=rank).take(MAX_PRECEDING_CANDIDATES).map(|back| place - back));
        }
        let mut site = site;
        while site > 0 {
            site = (site - 1) / CHILD_SITES_PER_SITE;
            above.push(self.sites[site]);
            if self.sites[site + 1] > self.sites[site] + 1 {
                above.push(self.sites[site] + 1);
            }
        }
        let mut seen = BTreeSet::new();
        above.retain(|place| seen.insert(*place));
        above
    }
}
