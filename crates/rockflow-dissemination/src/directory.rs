//! The directory of the expected members, and each member's position in the tree.

use crate::identity::{NodeId, Peer};
use crate::message::MAX_PARENTS;
use crate::setting::MAX_NAME_BYTES;
use crate::slot_set::MAX_SLOTS;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Maximum number of members in a directory. A directory with more is rejected as a whole.
const MAX_MEMBERS: usize = 16_384;
/// Maximum number of regions in a directory. A directory with more is rejected as a whole.
const MAX_REGIONS: usize = 256;
/// Number of children that the tree gives one member. The head of a site, that is, its first member, has one child
/// fewer within its site for each site below it.
const CHILDREN_PER_MEMBER: usize = 3;
/// Number of members directly before a member in its site that are candidates for its parent.
const MAX_PRECEDING_CANDIDATES: usize = 3;
/// Number of sites that the tree puts below a site.
const CHILD_SITES_PER_SITE: usize = 2;
/// Minimum number of parent candidates that are reserved for control nodes.
const MIN_CONTROL_CANDIDATES: usize = 2;

/// One member as the operator lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryMember {
    /// Name of the member, unique in the directory.
    pub name: String,
    /// Name of the member's region.
    pub region: String,
    /// Name of the member's site within the region.
    pub site: String,
    /// Name of the member's zone; may be empty.
    pub zone: String,
    /// Address at which the member receives datagrams.
    pub address: SocketAddr,
}

/// A directory that is not valid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {problem}")]
pub struct DirectoryError {
    /// The invalid line, counted from 1.
    pub line: usize,
    /// What is wrong with the line.
    pub problem: DirectoryProblem,
}

/// What is wrong with a directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DirectoryProblem {
    /// The first line is not `version,` with a number of at least 1.
    #[error("expected `version,N` with N of at least 1")]
    NoVersion,
    /// An earlier line has the same member name.
    #[error("duplicate member name")]
    DuplicateName,
    /// An earlier line has the same address.
    #[error("duplicate member address")]
    DuplicateAddress,
    /// There are more members than a directory may have.
    #[error("more than {} members", MAX_MEMBERS)]
    TooManyMembers,
    /// There are more members or regions than a directory may have.
    #[error("more than {} members or {} regions", MAX_MEMBERS, MAX_REGIONS)]
    TooManyMembersOrRegions,
    /// A region has more than [`MAX_SLOTS`] members.
    #[error("more than {} members in one region", MAX_SLOTS)]
    TooManyInRegion,
    /// Two members have the same name.
    #[error("two members with the same name")]
    NameTwice,
    /// A line does not have the five fields.
    #[error("expected `name,region,site,zone,address`")]
    WrongFields,
    /// The name, region or site is empty.
    #[error("empty name, region or site")]
    EmptyField,
    /// A field is longer than [`MAX_NAME_BYTES`] bytes.
    #[error("name, region, site or zone longer than {} bytes", MAX_NAME_BYTES)]
    FieldTooLong,
    /// The last field is not an IP address with a port.
    #[error("expected an IP address with a port")]
    BadAddress,
}

/// A member's position in the tree.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Index of the member's region.
    pub region: u16,
    /// The member's slot in the region.
    pub slot: u16,
    /// Number of slots in the region.
    pub slots: u16,
    /// Hash of the region's listing, see [`Region::listing_hash`].
    pub listing_hash: u32,
    /// Candidates for the member's parent, the preferred one first: members above it in the tree, then control nodes.
    pub parents: Vec<Peer>,
}

/// A region and its members in the order of their slots: by site, then within the site.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Region {
    /// Name of the region.
    pub name: String,
    /// Hash of everything on which the positions in the region depend. It identifies the listing by which the slots are
    /// numbered.
    pub listing_hash: u32,
    /// For each slot, the index of its member in [`Directory::members`].
    pub order: Vec<usize>,
    /// The first slot of each site, and last the number of slots.
    site_starts: Vec<usize>,
}

/// The region of a member and its slot there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SlotPosition {
    region: u16,
    slot: u16,
}

/// All expected members, grouped into regions.
///
/// ```
/// use rockflow_dissemination::Directory;
///
/// let directory = Directory::parse("version,7\nd1,eu,fra,a,10.0.0.1:7500\nd2,eu,fra,b,10.0.0.2:7500\n")?;
/// assert_eq!((directory.version, directory.members.len()), (7, 2));
/// # Ok::<(), rockflow_dissemination::DirectoryError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Directory {
    /// Version of the directory, greater after each change; at least 1 if it was parsed.
    pub version: u64,
    /// The members in the order of the file; their positions in this list are their indices.
    pub members: Vec<DirectoryMember>,
    regions: Vec<Region>,
    positions: BTreeMap<NodeId, SlotPosition>,
}

impl Directory {
    /// Parses a directory: a first line `version,N`, then `name,region,site,zone,address` for each member. Empty lines
    /// and lines that begin with `#` are skipped.
    ///
    /// # Errors
    /// Names the first line that is not valid, or the version line if the directory as a whole is not.
    pub fn parse(text: &str) -> Result<Directory, DirectoryError> {
        let lines = text.lines().map(str::trim).enumerate().map(|(index, line)| (index + 1, line));
        let mut lines = lines.filter(|(_, line)| !line.is_empty() && !line.starts_with('#'));
        let no_version = |line| DirectoryError { line, problem: DirectoryProblem::NoVersion };
        let (version_line, first) = lines.next().ok_or(no_version(1))?;
        let version = parse_version(first).ok_or(no_version(version_line))?;
        let mut members = Vec::new();
        let mut ids = BTreeSet::new();
        let mut addresses = BTreeSet::new();
        for (line, text) in lines {
            let error = |problem| DirectoryError { line, problem };
            let member = parse_member(text).map_err(error)?;
            if !ids.insert(NodeId::of(&member.name)) {
                return Err(error(DirectoryProblem::DuplicateName));
            }
            if !addresses.insert(member.address) {
                return Err(error(DirectoryProblem::DuplicateAddress));
            }
            if members.len() >= MAX_MEMBERS {
                return Err(error(DirectoryProblem::TooManyMembers));
            }
            members.push(member);
        }
        Directory::of(version, members).map_err(|problem| DirectoryError { line: version_line, problem })
    }

    /// Builds a directory of these members.
    ///
    /// # Errors
    /// Fails if there are too many members or regions, too many members in one region, or two members of the same name.
    pub fn of(version: u64, members: Vec<DirectoryMember>) -> Result<Directory, DirectoryProblem> {
        let mut by_region: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
        for (index, member) in members.iter().enumerate() {
            by_region.entry(&member.region).or_default().push(index);
        }
        if members.len() > MAX_MEMBERS || by_region.len() > MAX_REGIONS {
            return Err(DirectoryProblem::TooManyMembersOrRegions);
        }
        if by_region.values().any(|order| order.len() > MAX_SLOTS) {
            return Err(DirectoryProblem::TooManyInRegion);
        }
        let mut regions = Vec::new();
        let mut positions = BTreeMap::new();
        for (region_index, (name, order)) in (0_u16..).zip(by_region) {
            let region = build_region(region_index, name, order, &members);
            for (slot, index) in (0_u16..).zip(&region.order) {
                let position = SlotPosition { region: region_index, slot };
                if positions.insert(NodeId::of(&members[*index].name), position).is_some() {
                    return Err(DirectoryProblem::NameTwice);
                }
            }
            regions.push(region);
        }
        Ok(Directory { version, members, regions, positions })
    }

    /// The regions, ordered by their index.
    pub fn regions(&self) -> &[Region] {
        &self.regions
    }

    /// The region of a member; `None` if the directory does not list it.
    pub fn region_of(&self, node: NodeId) -> Option<&Region> {
        let position = self.positions.get(&node)?;
        self.regions.get(usize::from(position.region))
    }

    /// The name of the member at a slot of a region; `None` if there is no such slot.
    pub fn name(&self, region: u16, slot: u16) -> Option<&str> {
        let order = &self.regions.get(usize::from(region))?.order;
        order.get(usize::from(slot)).map(|index| self.members[*index].name.as_str())
    }

    /// The position of a member in the tree; `None` if the directory does not list it. All control nodes that have the
    /// same directory and the same list of control nodes give the same positions.
    pub fn place(&self, node: NodeId, control: &[Peer]) -> Option<Placement> {
        let position = *self.positions.get(&node)?;
        let region = &self.regions[usize::from(position.region)];
        let ancestor_slots = region.ancestors(usize::from(position.slot));
        let ancestors = ancestor_slots.into_iter().map(|slot| self.peer(region.order[slot]));
        let mut parents: Vec<Peer> = ancestors.take(MAX_PARENTS - MIN_CONTROL_CANDIDATES).collect();
        if !control.is_empty() {
            let first_control = (NodeId::of(&region.name).0 % control.len() as u64) as usize;
            let rotated = control.iter().cycle().skip(first_control).take(control.len());
            parents.extend(rotated.take(MAX_PARENTS - parents.len()).copied());
        }
        Some(Placement {
            region: position.region,
            slot: position.slot,
            slots: region.order.len() as u16,
            listing_hash: region.listing_hash,
            parents,
        })
    }

    fn peer(&self, index: usize) -> Peer {
        let member = &self.members[index];
        Peer { node: NodeId::of(&member.name), address: member.address }
    }
}

fn parse_version(line: &str) -> Option<u64> {
    let version = line.strip_prefix("version,")?.trim().parse().ok()?;
    (version > 0).then_some(version)
}

fn parse_member(line: &str) -> Result<DirectoryMember, DirectoryProblem> {
    let fields: Vec<&str> = line.split(',').map(str::trim).collect();
    let [name, region, site, zone, address] = fields[..] else {
        return Err(DirectoryProblem::WrongFields);
    };
    if [name, region, site].iter().any(|field| field.is_empty()) {
        return Err(DirectoryProblem::EmptyField);
    }
    if [name, region, site, zone].iter().any(|field| field.len() > MAX_NAME_BYTES) {
        return Err(DirectoryProblem::FieldTooLong);
    }
    let address = address.parse().map_err(|_| DirectoryProblem::BadAddress)?;
    let [name, region, site, zone] = [name, region, site, zone].map(str::to_owned);
    Ok(DirectoryMember { name, region, site, zone, address })
}

/// Orders the members of a region by the hashes of their sites and names, and hashes the listing.
fn build_region(region_index: u16, name: &str, mut order: Vec<usize>, members: &[DirectoryMember]) -> Region {
    let key = |index: usize| {
        let member = &members[index];
        (NodeId::of(&member.site), &member.site, NodeId::of(&member.name), &member.name)
    };
    order.sort_by(|left, right| key(*left).cmp(&key(*right)));
    let mut site_starts = Vec::new();
    let mut listing = format!("{region_index},{name}");
    for (slot, member_index) in order.iter().enumerate() {
        let member = &members[*member_index];
        if slot == 0 || members[order[slot - 1]].site != member.site {
            site_starts.push(slot);
        }
        listing += &format!("\n{},{},{}", member.name, member.site, member.address);
    }
    site_starts.push(order.len());
    let listing_hash = xxhash_rust::xxh3::xxh3_64(listing.as_bytes()) as u32;
    Region { name: name.to_owned(), listing_hash, order, site_starts }
}

impl Region {
    /// The slots above this one: the parent first, then from the nearest to the farthest.
    fn ancestors(&self, slot: usize) -> Vec<usize> {
        let mut site = self.site_starts.partition_point(|start| *start <= slot) - 1;
        let head = self.site_starts[site];
        let rank = slot - head;
        let mut ancestors = Vec::new();
        if rank > 0 {
            ancestors.push(head + self.parent_rank(site, rank));
            ancestors.extend((1..=rank).take(MAX_PRECEDING_CANDIDATES).map(|distance| slot - distance));
        }
        while site > 0 {
            site = (site - 1) / CHILD_SITES_PER_SITE;
            let head = self.site_starts[site];
            ancestors.push(head);
            if self.site_starts[site + 1] > head + 1 {
                ancestors.push(head + 1);
            }
        }
        let mut seen = BTreeSet::new();
        ancestors.retain(|slot| seen.insert(*slot));
        ancestors
    }

    /// The rank of a member's parent within their site. The head of a site has rank 0; `rank` is greater than 0.
    fn parent_rank(&self, site: usize, rank: usize) -> usize {
        let child_sites = (1..=CHILD_SITES_PER_SITE).map(|child| site * CHILD_SITES_PER_SITE + child);
        let child_site_count = child_sites.filter(|child| child + 1 < self.site_starts.len()).count();
        let children_of_head = CHILDREN_PER_MEMBER - child_site_count;
        match rank.checked_sub(children_of_head + 1) {
            Some(beyond_head) => 1 + beyond_head / CHILDREN_PER_MEMBER,
            None => 0,
        }
    }
}
