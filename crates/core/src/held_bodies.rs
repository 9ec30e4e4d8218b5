//! Bounds on the request bodies that a host holds.
//!
//! A body is held from the arrival of its bytes until no further attempt can send them. All together
//! are bounded: what does not fit is refused. Part of the bound is kept for small bodies and for urgent
//! requests, and a workspace may hold a multiple of what it leaves free, so that callers with large
//! bodies don't keep others from being served.

use std::collections::{HashMap, VecDeque};

use crate::{Millis, Name};

/// Size up to which a body is small, in bytes.
pub const SMALL_BODY_BYTES: u64 = 64 << 10;

/// Percentage of the bound that bodies may use which are not small, for requests of each priority rank;
/// the last value applies to all further ranks.
const LARGE_BODIES_PERCENT: [u64; 3] = [90, 85, 80];

/// Maximum ratio of what one workspace holds to what is left free.
const WORKSPACE_TO_FREE: u64 = 4;

/// Time over which the rate of release is measured, in milliseconds, and the length of one sample.
const RATE_WINDOW_MS: Millis = 1_000;
const RATE_SAMPLE_MS: Millis = 50;

/// Shortest and longest retry delay, in milliseconds. The longest applies also while nothing is
/// released.
const RETRY_RANGE_MS: (Millis, Millis) = (100, 2_000);

/// The request that a body belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct BodyOwner {
    /// Workspace of the caller, if it is known.
    pub workspace: Option<Name>,
    /// Priority rank of the request; 0 is the most urgent.
    pub rank: u32,
}

/// Reason for which bytes of a body are not held, with the figures that it rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoRoom {
    /// Bytes that all bodies hold.
    pub held_bytes: u64,
    /// Bytes that bodies of the workspace hold.
    pub workspace_bytes: u64,
    /// Bytes that may be held for such a request.
    pub limit_bytes: u64,
}

/// Bytes of request bodies that the host holds, and the bounds on them.
#[derive(Debug, Clone)]
pub struct HeldBodies {
    max_bytes: u64,
    held_bytes: u64,
    by_workspace: HashMap<Option<Name>, u64>,
    releases: ReleaseRate,
    /// Time by which there is room for all refused bodies that were told when to return.
    room_at: Millis,
}

impl HeldBodies {
    /// Creates the state of a host that holds at most `max_bytes`.
    pub fn new(max_bytes: u64) -> Self {
        HeldBodies {
            max_bytes,
            held_bytes: 0,
            by_workspace: HashMap::new(),
            releases: ReleaseRate::default(),
            room_at: 0,
        }
    }

    /// Replaces the bound. A smaller one applies to the bytes that arrive from now on.
    pub fn set_max_bytes(&mut self, max_bytes: u64) {
        self.max_bytes = max_bytes;
    }

    /// Returns the bytes held.
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Returns the bound.
    pub fn max_bytes(&self) -> u64 {
        self.max_bytes
    }

    /// Returns the size of the largest body that the host can hold for such a request, in bytes, when
    /// it holds no other.
    pub fn largest_body(&self, owner: &BodyOwner) -> u64 {
        let of_limit = |limit: u64| limit / (WORKSPACE_TO_FREE + 1) * WORKSPACE_TO_FREE;
        of_limit(self.limit(owner, u64::MAX)).max(of_limit(self.max_bytes).min(SMALL_BODY_BYTES))
    }

    /// Checks that `bytes` more of a body of which `body_bytes` are held have room. Records nothing.
    ///
    /// # Errors
    /// [`NoRoom`] if they have none.
    pub fn check(&self, owner: &BodyOwner, body_bytes: u64, bytes: u64) -> Result<(), NoRoom> {
        let limit_bytes = self.limit(owner, body_bytes + bytes);
        let workspace_bytes = self.by_workspace.get(&owner.workspace).copied().unwrap_or_default();
        let free = limit_bytes.checked_sub(self.held_bytes + bytes);
        if free.is_some_and(|free| workspace_bytes + bytes <= free * WORKSPACE_TO_FREE) {
            return Ok(());
        }
        Err(NoRoom { held_bytes: self.held_bytes, workspace_bytes, limit_bytes })
    }

    /// Records that `bytes` more are held for a request.
    pub fn add(&mut self, owner: &BodyOwner, bytes: u64) {
        self.held_bytes += bytes;
        *self.by_workspace.entry(owner.workspace.clone()).or_default() += bytes;
    }

    /// Records that `bytes` are no longer held for a request.
    pub fn release(&mut self, owner: &BodyOwner, bytes: u64, now: Millis) {
        self.held_bytes = self.held_bytes.saturating_sub(bytes);
        self.releases.record(bytes, now);
        if let Some(held) = self.by_workspace.get_mut(&owner.workspace) {
            *held = held.saturating_sub(bytes);
            if *held == 0 {
                self.by_workspace.remove(&owner.workspace);
            }
        }
    }

    /// Returns the time after which a refused body of `bytes` will have room at the present rate of
    /// release, in milliseconds. Bodies refused before it return first.
    pub fn retry_after(&mut self, bytes: u64, now: Millis) -> Millis {
        let (shortest, longest) = RETRY_RANGE_MS;
        let released = self.releases.total(now);
        let takes = bytes.saturating_mul(RATE_WINDOW_MS).checked_div(released).unwrap_or(longest);
        self.room_at = self.room_at.max(now).saturating_add(takes).min(now + longest);
        (self.room_at - now).max(shortest)
    }

    /// Returns what may be held in total when a body of this size is added, in bytes.
    fn limit(&self, owner: &BodyOwner, body_bytes: u64) -> u64 {
        if body_bytes <= SMALL_BODY_BYTES {
            return self.max_bytes;
        }
        let rank = (owner.rank as usize).min(LARGE_BODIES_PERCENT.len() - 1);
        self.max_bytes / 100 * LARGE_BODIES_PERCENT[rank]
    }
}

/// Bytes that were released within the last [`RATE_WINDOW_MS`].
#[derive(Debug, Clone, Default)]
struct ReleaseRate {
    /// Start and bytes of each sample.
    samples: VecDeque<(Millis, u64)>,
}

impl ReleaseRate {
    fn record(&mut self, bytes: u64, now: Millis) {
        self.drop_old(now);
        match self.samples.back_mut() {
            Some((at, released)) if now.saturating_sub(*at) < RATE_SAMPLE_MS => *released += bytes,
            _ => self.samples.push_back((now, bytes)),
        }
    }

    fn total(&mut self, now: Millis) -> u64 {
        self.drop_old(now);
        self.samples.iter().map(|(_, released)| released).sum()
    }

    fn drop_old(&mut self, now: Millis) {
        while self.samples.front().is_some_and(|(at, _)| now.saturating_sub(*at) > RATE_WINDOW_MS) {
            self.samples.pop_front();
        }
    }
}
