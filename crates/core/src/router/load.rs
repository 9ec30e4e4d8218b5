//! Load of a server in two dimensions: requests, and prompt tokens not read yet.

/// Highest load of a server without slack, as a multiple of its hall's mean load.
const MAX_LOAD_FACTOR: f64 = 1.25;

/// Load of one server, or of all servers of a hall together.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct Load {
    /// Running and waiting requests.
    pub(super) requests: f64,
    /// Prompt tokens that are not read yet.
    pub(super) unread: f64,
}

impl Load {
    /// Returns the load bound of a server of speed 1 when servers whose speeds add up to
    /// `capacity` together have this load. `slack` is added, so that idle halls keep prefix
    /// affinity.
    pub(super) fn bound(&self, capacity: f64, slack: Load) -> Load {
        let share = MAX_LOAD_FACTOR / capacity;
        Load {
            requests: self.requests * share + slack.requests,
            unread: self.unread * share + slack.unread,
        }
    }

    /// Returns the load of a server of speed 1 that delays requests as much as this load delays
    /// them at a server of this speed.
    pub(super) fn at_speed(&self, speed: f64) -> Load {
        Load { requests: self.requests / speed, unread: self.unread / speed }
    }

    /// Returns whether neither dimension exceeds the bound.
    pub(super) fn is_within(&self, bound: &Load) -> bool {
        self.requests <= bound.requests && self.unread <= bound.unread
    }

    /// Returns whether this load is lower. Unread tokens are compared first, since they delay
    /// other requests most.
    pub(super) fn is_less(&self, other: &Load) -> bool {
        (self.unread, self.requests) < (other.unread, other.requests)
    }

    /// Updates this total when the load of one server changes from `before` to `after`.
    pub(super) fn change(&mut self, before: &Load, after: &Load) {
        self.requests += after.requests - before.requests;
        self.unread += after.unread - before.unread;
    }
}
