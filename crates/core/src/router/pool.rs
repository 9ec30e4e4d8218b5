//! Pools: the servers of one model or service, grouped by hall.

use xxhash_rust::xxh3::xxh3_64;

use crate::id::rendezvous_score;
use crate::router::load::Load;
use crate::router::prefill::MeanPace;
use crate::router::{Homes, RoutingRequest};
use crate::table::{HOURS_PER_DAY, Server, Table};
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
    /// Hashed points in ascending order, each with an index into the servers.
    pub(super) ring: Vec<(u64, u32)>,
    pub(super) members: Vec<u32>,
    pub(super) load: Load,
}

/// Servers of one model or service, grouped by hall.
#[derive(Debug, Clone)]
pub(super) struct Pool {
    pub(super) halls: Vec<HallPool>,
    /// Longest pause of a stream that callers accept, in milliseconds.
    pub(super) pause_goal: Millis,
    pub(super) mean_pace: MeanPace,
}

impl Default for Pool {
    fn default() -> Self {
        Pool { halls: Vec::new(), pause_goal: Millis::MAX, mean_pace: MeanPace::default() }
    }
}

impl HallPool {
    /// Creates the hall's part of a pool, without servers. A hall without a row in the table has
    /// weight 1, no region and is open.
    pub(super) fn new(table: &Table, hall: &Name) -> Self {
        let row = table.halls.iter().find(|row| row.name == *hall);
        let mut weights = [row.map_or(1.0, |row| row.weight); HOURS_PER_DAY];
        if let Some(row) = row {
            for (weight, by_hour) in weights.iter_mut().zip(&row.weights_by_hour) {
                *weight = *by_hour;
            }
        }
        HallPool {
            hall: hall.clone(),
            hall_key: xxh3_64(hall.as_str().as_bytes()),
            is_open: row.is_none_or(|row| row.state.is_serving()),
            region: row.and_then(|row| row.region.clone()),
            weights,
            ring: Vec::new(),
            members: Vec::new(),
            load: Load::default(),
        }
    }

    /// Returns whether the hall accepts requests with these home regions.
    pub(super) fn may_serve(&self, homes: &Homes) -> bool {
        self.is_open && homes.allow(self.region.as_ref())
    }

    /// Adds a server with its current load. The caller sorts the ring afterwards.
    pub(super) fn add(&mut self, row: &Server, index: u32, load: Load) {
        self.members.push(index);
        self.load.change(&Load::default(), &load);
        let key = xxh3_64(row.name.as_str().as_bytes());
        let points = ((row.weight * POINTS_PER_SERVER).ceil() as u32).clamp(1, MAX_POINTS);
        for point in 0..points {
            self.ring.push((rendezvous_score(u64::from(point), key), index));
        }
    }

    /// Returns the hall's score in weighted rendezvous hashing: a hall ranks first for a share
    /// of the prefixes proportional to its weight in this hour.
    pub(super) fn score(&self, request: &RoutingRequest) -> f64 {
        let hash = rendezvous_score(request.prefix, self.hall_key);
        let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        -self.weights[request.hour % HOURS_PER_DAY] / uniform.ln()
    }
}
