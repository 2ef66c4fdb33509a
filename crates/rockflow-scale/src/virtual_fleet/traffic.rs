//! Bytes and frames by node and second.

use std::time::Duration;

/// What one node sent and heard in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Second {
    /// Bytes sent.
    pub bytes_out: u32,
    /// Bytes received.
    pub bytes_in: u32,
    /// Frames sent.
    pub frames_out: u16,
    /// Frames received.
    pub frames_in: u16,
}

/// A way to look at traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrafficDirection {
    /// Received.
    In,
    /// Sent.
    Out,
}

impl Second {
    /// Bytes in one direction.
    pub fn bytes(&self, way: TrafficDirection) -> f64 {
        f64::from(match way {
            TrafficDirection::In => self.bytes_in,
            TrafficDirection::Out => self.bytes_out,
        })
    }

    /// Frames in both directions.
    pub fn frames(&self) -> f64 {
        f64::from(self.frames_in) + f64::from(self.frames_out)
    }
}

/// Traffic of each node by second of virtual time.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    nodes: Vec<Vec<Second>>,
}

/// A mean over all nodes, and the worst of them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spread {
    /// Mean over the nodes.
    pub mean: f64,
    /// Largest value of a node.
    pub worst: f64,
    /// Index of the node with the largest value.
    pub worst_node: usize,
}

impl Spread {
    /// Aggregates values by node index.
    pub fn of(values: impl Iterator<Item = (usize, f64)>) -> Spread {
        let (mut sum, mut count, mut spread) = (0.0, 0.0, Spread::default());
        for (node, value) in values {
            sum += value;
            count += 1.0;
            if value > spread.worst {
                (spread.worst, spread.worst_node) = (value, node);
            }
        }
        spread.mean = if count > 0.0 { sum / count } else { 0.0 };
        spread
    }
}

impl Traffic {
    /// Creates an empty record for this number of nodes.
    pub fn new(nodes: usize) -> Traffic {
        Traffic { nodes: vec![Vec::new(); nodes] }
    }

    fn second(&mut self, now: Duration, at: usize) -> &mut Second {
        let (seconds, now) = (&mut self.nodes[at], now.as_secs() as usize);
        if seconds.len() <= now {
            seconds.resize(now + 1, Second::default());
        }
        &mut seconds[now]
    }

    /// Records a frame sent by a node.
    pub fn sent(&mut self, now: Duration, at: usize, bytes: usize) {
        let second = self.second(now, at);
        second.bytes_out = second.bytes_out.saturating_add(bytes as u32);
        second.frames_out = second.frames_out.saturating_add(1);
    }

    /// Records a frame received by a node.
    pub fn record_received(&mut self, now: Duration, at: usize, bytes: usize) {
        let second = self.second(now, at);
        second.bytes_in = second.bytes_in.saturating_add(bytes as u32);
        second.frames_in = second.frames_in.saturating_add(1);
    }

    /// What a node had from one second up to another.
    fn span(&self, at: usize, from: u64, to: u64) -> impl Iterator<Item = Second> + '_ {
        let seconds = &self.nodes[at];
        (from..to).map(|second| seconds.get(second as usize).copied().unwrap_or_default())
    }

    /// Bytes a second over a span, by node.
    pub fn rate(&self, nodes: &[usize], from: u64, to: u64, way: TrafficDirection) -> Spread {
        let seconds = to.saturating_sub(from).max(1) as f64;
        Spread::of(nodes.iter().map(|at| {
            let bytes: f64 = self.span(*at, from, to).map(|second| second.bytes(way)).sum();
            (*at, bytes / seconds)
        }))
    }

    /// Frames a second in and out over a span, by node.
    pub fn frames(&self, nodes: &[usize], from: u64, to: u64) -> Spread {
        let seconds = to.saturating_sub(from).max(1) as f64;
        Spread::of(nodes.iter().map(|at| {
            let frames: f64 = self.span(*at, from, to).map(|second| second.frames()).sum();
            (*at, frames / seconds)
        }))
    }

    /// The greatest mean over a sliding window, by node.
    pub fn sliding(&self, nodes: &[usize], from: u64, to: u64, window: u64, way: TrafficDirection) -> Spread {
        Spread::of(nodes.iter().map(|at| {
            let bytes: Vec<_> = self.span(*at, from, to).map(|second| second.bytes(way)).collect();
            let window = (window as usize).min(bytes.len()).max(1);
            let mut sum: f64 = bytes.iter().take(window).sum();
            let mut most = sum;
            for next in window..bytes.len() {
                sum += bytes[next] - bytes[next - window];
                most = most.max(sum);
            }
            (*at, most / window as f64)
        }))
    }

    /// The greatest second, by node.
    pub fn worst_second(&self, nodes: &[usize], from: u64, to: u64, way: TrafficDirection) -> Spread {
        Spread::of(
            nodes.iter().map(|at| {
                (*at, self.span(*at, from, to).map(|second| second.bytes(way)).fold(0.0, f64::max))
            }),
        )
    }
}
