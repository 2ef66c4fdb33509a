//! Processes that start and end, network faults and changes of the directory.

use super::{directory, Cut, FleetEvent, World, DIRECTORY_READ_DELAY, EPOCH_MS};
use crate::slopes::measure::processor;
use crate::virtual_fleet::layout::Layout;
use rockflow_dissemination::{Directory, Identity, Incarnation, Node, NodeConfig, Publisher};
use std::time::Duration;

impl World {
    /// A new life that knows nothing.
    pub fn start(&mut self, at: usize) {
        if self.alive(at) || (self.member(at) && !self.checker.is_listed(at)) {
            return;
        }
        let now = self.now;
        let seed = self.rng.rand_u64();
        let unix = EPOCH_MS as i64 + now.as_millis() as i64 + self.processes[at].clock;
        let identity =
            Identity { node: self.layout.peer(at).node, incarnation: Incarnation(unix.max(1) as u64) };
        let mut seeds = Vec::new();
        for _ in 0..self.play.seeds {
            let near = self.layout.region(self.layout.places[at].region);
            let near: Vec<_> = near.into_iter().filter(|other| *other != at).collect();
            if !near.is_empty() {
                let pick = self.below(near.len());
                seeds.push(Layout::address(near[pick]));
            }
        }
        let config = NodeConfig {
            identity,
            control_id: self.layout.control_id(at),
            control: self.layout.control_peers(),
            seeds,
            purge_window: self.play.window,
            bytes_per_second: self.play.bytes_per_second,
            heartbeat_interval: self.play.heartbeat_interval,
        };
        let control = config.control_id;
        let process = &mut self.processes[at];
        process.identity = identity;
        process.epoch += 1;
        process.has_new_incarnation = false;
        process.stopped = false;
        process.next_tick = None;
        process.publisher = control.map(|_| Publisher::new(config.purge_window));
        let directory = control.is_some().then(|| process.directory.clone());
        let clock = processor();
        let mut node = Node::new(config, directory, seed, now);
        let outputs = node.start(now);
        self.spent[at] += processor() - clock;
        process.node = Some(node);
        if self.member(at) {
            self.checker.on_start(now, at);
        }
        self.carry(at, outputs);
    }

    /// As SIGKILL: what it held is gone.
    pub fn kill(&mut self, at: usize) {
        self.checker.disturbed_at_all = true;
        let process = &mut self.processes[at];
        // The file of the members is read again by its next life.
        let unread = process.held.iter().rev().find_map(|held| match held {
            FleetEvent::Directory { directory, .. } => Some(directory.clone()),
            _ => None,
        });
        if let Some(directory) = unread {
            process.directory = directory;
        }
        process.node = None;
        process.publisher = None;
        process.held.clear();
        process.held_bytes = 0;
        process.stopped = false;
        self.follows[at] = None;
        if self.member(at) {
            self.checker.on_exit(at);
        } else {
            self.publisher_ends(at);
            for (control, entry) in self.recent_settings() {
                if control == at {
                    self.checker.doubt(entry);
                }
            }
        }
    }

    /// Settings that were published just now, and by whom.
    pub(super) fn recent_settings(&self) -> Vec<(usize, usize)> {
        let since = self.now.saturating_sub(self.play.heartbeat_interval * 3);
        let lately = self.published_by.iter().rev();
        // Of settings alone these stand in the order of their time: a purge may be published long after it was said.
        let lately = lately.filter(|(_, entry)| self.checker.is_setting(*entry));
        lately.take_while(|(_, entry)| self.checker.entries[*entry].at >= since).copied().collect()
    }

    pub(super) fn publisher_ends(&mut self, at: usize) {
        let mine = self.published_by.iter().filter(|(control, _)| *control == at);
        mine.for_each(|(_, entry)| self.checker.publisher_ended(*entry));
    }

    /// Killed now, begun again with nothing after so long.
    pub fn restart(&mut self, at: usize, after: Duration) {
        self.kill(at);
        self.schedule(self.now + after, FleetEvent::Start(at));
    }

    /// As SIGSTOP until then: what comes meanwhile waits in its socket, as far as that holds it.
    pub fn stop(&mut self, at: usize, until: Duration) {
        if self.alive(at) {
            self.checker.disturbed_at_all = true;
            self.processes[at].stopped = true;
            if self.member(at) {
                self.checker.set_stopped(at, true);
                self.checker.record_disturbance(at, until);
            }
            for (control, entry) in self.recent_settings() {
                if control == at {
                    self.checker.held_up(entry, until);
                }
            }
            self.schedule(until, FleetEvent::Wake(at));
        }
    }

    /// Its next lives begin with a clock that is wrong by so many milliseconds.
    pub fn set_clock(&mut self, at: usize, wrong_ms: i64) {
        self.processes[at].clock = wrong_ms;
    }

    /// The board's clock and that of a control node are apart by so many milliseconds: what the board says seems older there
    /// by so much, but never older than a board takes to tell of it.
    pub fn set_board_clock(&mut self, at: usize, behind_ms: i64) {
        self.processes[at].board_clock_lag_ms = behind_ms;
    }

    /// Nothing goes from some to others until then.
    pub fn cut(&mut self, from: &[usize], to: &[usize], until: Duration) {
        let set = |picked: &[usize]| {
            let mut set = vec![false; self.layout.nodes()];
            picked.iter().for_each(|at| set[*at] = true);
            set
        };
        self.checker.disturbed_at_all = true;
        let cut = Cut { from: set(from), to: set(to), until };
        self.cuts.push(cut);
    }

    /// Members that nothing is asked of before then, as they are cut off.
    pub fn disturb(&mut self, picked: &[usize], until: Duration) {
        for at in picked {
            if self.member(*at) {
                self.checker.record_disturbance(*at, until);
            }
        }
    }

    /// The fleet in two: nothing goes from the picked to all others, nor back, until then.
    pub fn part(&mut self, one: &[usize], until: Duration) {
        let mut sides = vec![Some(1); self.layout.nodes()];
        one.iter().for_each(|at| sides[*at] = Some(0));
        let other: Vec<_> = (0..self.layout.nodes()).filter(|at| sides[*at] == Some(1)).collect();
        self.cut(one, &other, until);
        self.cut(&other, one, until);
        self.checker.on_partition(sides[..self.layout.member_slots].to_vec(), until);
        for (control, entry) in self.recent_settings() {
            self.checker.sided(entry, sides[control]);
        }
        self.sides = sides;
    }

    /// New members in place of others: another directory, which control nodes read within a second of each other.
    pub fn replace(&mut self, members: &[usize]) {
        for at in members {
            let spare = self.play.shape.members + self.replaced;
            if spare >= self.layout.member_slots {
                return;
            }
            self.replaced += 1;
            self.layout.places[spare] = self.layout.places[*at];
            self.kill(*at);
            self.checker.on_replacement(spare, *at);
            self.sides[spare] = self.sides[*at];
            for cut in &mut self.cuts {
                (cut.from[spare], cut.to[spare]) = (cut.from[*at], cut.to[*at]);
            }
            let after = Duration::from_secs(1) + self.within(Duration::from_secs(4));
            self.schedule(self.now + after, FleetEvent::Start(spare));
        }
        let told: Vec<_> = (0..self.layout.member_slots).filter(|at| self.checker.is_listed(*at)).collect();
        self.directory = directory(&self.layout, self.directory.version + 1, &told);
        for place in 0..self.layout.shape.control {
            let at = self.layout.control(place);
            self.on_directory_read(at);
            let (after, directory) = (self.within(DIRECTORY_READ_DELAY), self.directory.clone());
            self.schedule(self.now + after, FleetEvent::Directory { at, directory });
        }
    }

    /// The checker is told by which directory a control node goes.
    pub(super) fn on_directory_read(&mut self, at: usize) {
        let directory = &self.processes[at].directory;
        let named = |member: usize| directory.region_of(self.layout.peer(member).node).is_some();
        let told = (0..self.layout.member_slots).map(named).collect();
        self.checker.on_directory_read(at, told);
    }

    /// One control node reads another directory.
    pub fn directory_at(&mut self, at: usize, directory: Directory) {
        self.processes[at].directory = directory.clone();
        self.on_directory_read(at);
        let now = self.now;
        self.does(at, |node| node.set_directory(now, directory));
    }

    /// The directory that was published last.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Whether a partition of the fleet into sides is in force.
    pub fn parted(&self) -> bool {
        self.cuts.iter().any(|cut| cut.until > self.now) && self.sides.iter().any(|side| side.is_some())
    }
}
