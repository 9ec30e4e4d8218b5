//! Pools: the servers of one model or service, grouped by hall.

use xxhash_rust::xxh3::xxh3_64;

use crate::id::rendezvous_score;
use crate::router::adoption::REMOVED;
use crate::router::load::Load;
use crate::router::prefill::MeanPace;
use crate::router::speed::PoolSpeeds;
use crate::router::{Homes, RoutingRequest};
use crate::table::{HOURS_PER_DAY, Hall};
use crate::{Millis, Name};

/// Number of ring points of a server of weight 1.
const POINTS_PER_SERVER: f64 = 32.0;

/// Highest number of ring points of one server, whatever its weight.
const MAX_POINTS: u32 = 512;

/// Servers of a pool in one hall.
#[derive(Debug, Clone)]
pub(super) struct HallPool {
    pub(super) hall: Name,
    pub(super) hall_key: u64,
    /// Whether the hall accepts new requests; an evacuated one does not.
    pub(super) is_open: bool,
    pub(super) region: Option<Name>,
    pub(super) weights: [f64; HOURS_PER_DAY],
    /// Hashed points in ascending order, each with an index into the servers: half of the
    /// points' hash is kept, since the rings of 10,000 servers are the largest part of the router.
    pub(super) ring: Vec<(u32, u32)>,
    /// Number of points at the front of the ring that are in order.
    sorted: usize,
    pub(super) members: Vec<u32>,
    /// Sum of the members' speeds; their number in a pool of equal servers.
    pub(super) capacity: f64,
    pub(super) load: Load,
}

/// Servers of one model or service, grouped by hall.
#[derive(Debug, Clone)]
pub(super) struct Pool {
    /// Name of the model or service.
    pub(super) name: Name,
    pub(super) halls: Vec<HallPool>,
    /// Longest pause of a stream that callers accept, in milliseconds.
    pub(super) pause_goal: Millis,
    pub(super) mean_pace: MeanPace,
    pub(super) speeds: PoolSpeeds,
}

impl Pool {
    /// Creates a pool without servers.
    pub(super) fn new(name: Name) -> Self {
        Pool {
            name,
            halls: Vec::new(),
            pause_goal: Millis::MAX,
            mean_pace: MeanPace::default(),
            speeds: PoolSpeeds::default(),
        }
    }
}

impl HallPool {
    /// Creates the hall's part of a pool, without servers.
    pub(super) fn new(halls: &[Hall], hall: &Name) -> Self {
        let mut part = HallPool {
            hall: hall.clone(),
            hall_key: xxh3_64(hall.as_str().as_bytes()),
            is_open: true,
            region: None,
            weights: [1.0; HOURS_PER_DAY],
            ring: Vec::new(),
            sorted: 0,
            members: Vec::new(),
            capacity: 0.0,
            load: Load::default(),
        };
        part.refresh(halls);
        part
    }

    /// Takes the hall's row over. A hall without a row has weight 1, no region and is
    /// open.
    pub(super) fn refresh(&mut self, halls: &[Hall]) {
        let row = halls.iter().find(|row| row.name == self.hall);
        self.weights = [row.map_or(1.0, |row| row.weight); HOURS_PER_DAY];
        if let Some(row) = row {
            for (weight, by_hour) in self.weights.iter_mut().zip(&row.weights_by_hour) {
                *weight = *by_hour;
            }
        }
        self.is_open = row.is_none_or(|row| row.state.is_serving());
        self.region = row.and_then(|row| row.region.clone());
    }

    /// Returns whether the hall accepts requests with these home regions.
    pub(super) fn may_serve(&self, homes: &Homes) -> bool {
        self.is_open && homes.allow(self.region.as_ref())
    }

    /// Adds a server with its current load. The caller sorts the ring afterwards.
    pub(super) fn add(&mut self, name: &Name, weight: f64, index: u32, load: Load) {
        self.members.push(index);
        self.load.change(&Load::default(), &load);
        let key = xxh3_64(name.as_str().as_bytes());
        let points = ((weight * POINTS_PER_SERVER).ceil() as u32).clamp(1, MAX_POINTS);
        for point in 0..points {
            self.ring.push((ring_hash(rendezvous_score(u64::from(point), key)), index));
        }
    }

    /// Removes servers and gives others a new index, by the new index of each old one.
    pub(super) fn move_members(&mut self, moved: &[u32]) {
        let new_index = |index: &mut u32| {
            *index = moved.get(*index as usize).copied().unwrap_or(*index);
            *index != REMOVED
        };
        self.members.retain_mut(new_index);
        let mut at = 0;
        let (sorted, mut removed_sorted) = (self.sorted, 0);
        self.ring.retain_mut(|(_, index)| {
            let is_kept = new_index(index);
            removed_sorted += usize::from(!is_kept && at < sorted);
            at += 1;
            is_kept
        });
        self.sorted -= removed_sorted;
    }

    /// Restores the order of the ring after servers were added. Points that are in order are
    /// merged with the new ones, not sorted again.
    pub(super) fn sort_ring(&mut self) {
        if self.sorted == self.ring.len() {
            return;
        }
        self.ring[self.sorted..].sort_unstable();
        self.ring.sort();
        self.ring.shrink_to_fit();
        self.sorted = self.ring.len();
    }

    /// Returns the index of the first point from the prefix on.
    pub(super) fn ring_position(&self, prefix: u64) -> usize {
        self.ring.partition_point(|(point, _)| *point < ring_hash(prefix))
    }

    /// Returns the hall's score in weighted rendezvous hashing: a hall ranks first for a share
    /// of the prefixes proportional to its weight in this hour and to its servers' mean speed.
    pub(super) fn score(&self, request: &RoutingRequest) -> f64 {
        let hash = rendezvous_score(request.prefix, self.hall_key);
        let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        -self.weights[request.hour % HOURS_PER_DAY] * self.mean_speed() / uniform.ln()
    }
}

/// Returns the part of a hash by which points are ordered on a ring.
fn ring_hash(hash: u64) -> u32 {
    (hash >> 32) as u32
}
