//! What a server has to do, in the two ways that it can be too much.

/// A server may have this many times its hall's mean load.
const MAX_LOAD_FACTOR: f64 = 1.25;

/// What a server, or all servers of a hall, have to do.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct Load {
    /// Requests that run or wait.
    pub(super) requests: f64,
    /// Tokens of prompts that are still to be read.
    pub(super) unread: f64,
}

impl Load {
    /// The most that one of `members` may have that together have this much;
    /// `slack` comes on top, so that idle halls keep affinity.
    pub(super) fn bound(&self, members: usize, slack: Load) -> Load {
        let part = MAX_LOAD_FACTOR / members.max(1) as f64;
        Load {
            requests: self.requests * part + slack.requests,
            unread: self.unread * part + slack.unread,
        }
    }

    /// Whether neither is above the bound.
    pub(super) fn is_within(&self, bound: &Load) -> bool {
        self.requests <= bound.requests && self.unread <= bound.unread
    }

    /// Whether less is to be done: what is unread delays others first.
    pub(super) fn is_less(&self, other: &Load) -> bool {
        (self.unread, self.requests) < (other.unread, other.requests)
    }

    /// Takes in that one part of this has changed.
    pub(super) fn change(&mut self, before: &Load, after: &Load) {
        self.requests += after.requests - before.requests;
        self.unread += after.unread - before.unread;
    }
}
