//! Choice of the peer through which requests reach a group of servers.

/// Number of further tunnels that a peer of the same hall may carry before one elsewhere is
/// preferred: traffic between halls is slower and charged.
const SAME_HALL_PREFERENCE: u32 = 8;

/// A peer that may carry tunnels.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerLoad {
    /// Whether it is in this daemon's hall.
    pub is_same_hall: bool,
    /// Number of tunnels that it carries, by its last report and those that this daemon has opened
    /// since.
    pub tunnels: u32,
}

impl PeerLoad {
    /// Returns the load by which two peers are compared.
    fn cost(self) -> u32 {
        let preference = if self.is_same_hall { 0 } else { SAME_HALL_PREFERENCE };
        self.tunnels.saturating_add(preference)
    }
}

/// Returns the index of the less loaded of two peers drawn by `seed`; `None` without peers.
/// Comparing only two keeps daemons with the same reports from all choosing the same peer.
pub fn choose_peer(peers: &[PeerLoad], seed: u64) -> Option<usize> {
    if peers.is_empty() {
        return None;
    }
    let first = seed as usize % peers.len();
    let others = peers.len() - 1;
    if others == 0 {
        return Some(first);
    }
    let step = 1 + (seed >> 32) as usize % others;
    let second = (first + step) % peers.len();
    Some(if peers[second].cost() < peers[first].cost() { second } else { first })
}
