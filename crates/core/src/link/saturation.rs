//! What a host with a saturated link may still do, and how many new connections it lets in.
//!
//! Load pattern: the load balancer sends the callers of a whole hall to one host. Its link
//! receives twice what it can carry. Requests queue in front of it for seconds, and so do the
//! responses of peers and of the store.

use crate::Millis;
use crate::link::{BITS_PER_BYTE, BITS_PER_MEGABIT, Link};

/// Mean size of a request with its head, in bytes: 4 to 5 KB on the users' two largest
/// deployments, where a third to a half of the requests have bodies of 9 KB.
const MEAN_REQUEST_BYTES: f64 = 5_000.0;

/// Fewest connections that may wait to be accepted, so that a few callers that connect at the same
/// moment are all let in.
const MIN_BACKLOG: u32 = 4;

impl Link {
    /// Returns whether this host may send new work to servers. `news_age` is the age of the last
    /// message of the store or of a peer by which the host was current. When that is more than
    /// `max_age` and the link is saturated, a server may have announced that it is leaving in a message
    /// that is still queued. Beside a link that is not saturated, the age does not matter: messages that
    /// are on their way arrive.
    pub fn may_send(&mut self, news_age: Option<Millis>, max_age: Millis, now: Millis) -> bool {
        !self.is_saturated(now) || news_age.is_some_and(|age| age <= max_age)
    }
}

/// Returns how many connections may wait to be accepted on a link of this width, at most `max`.
///
/// A caller sends its request as soon as it is connected, and a refusal can't take these bytes
/// back. Only connections that are not made cost the link nothing. The requests of those that
/// wait occupy the link for `queue_ms`; 0 sets no limit.
pub fn backlog(mbps: Option<f64>, queue_ms: f64, max: u32) -> u32 {
    let Some(mbps) = mbps.filter(|_| queue_ms > 0.0) else { return max };
    let bytes = mbps * BITS_PER_MEGABIT / BITS_PER_BYTE * queue_ms / 1_000.0;
    ((bytes / MEAN_REQUEST_BYTES) as u32).clamp(MIN_BACKLOG, max)
}
