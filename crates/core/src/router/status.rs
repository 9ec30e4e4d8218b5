//! What each server is to this daemon, for people.

use serde::Serialize;

use crate::router::Router;
use crate::router::view::ServerView;
use crate::{Millis, Name};

/// Whether a server gets requests, and if not, why.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Availability {
    /// It gets requests.
    Ready,
    /// It leaves.
    Leaving,
    /// It has asked this daemon for rest.
    Resting,
    /// This daemon may send it nothing now for its limit.
    AtLimit,
    /// It has just started.
    Cold,
    /// It has failed too often.
    Ejected,
    /// As many requests of this daemon are open there as its row allows.
    Full,
}

/// One server.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServerStatus {
    /// Its name.
    pub server: Name,
    /// Its hall.
    pub hall: Name,
    /// Whether it gets requests.
    pub state: Availability,
    /// What the state rests on.
    pub why: &'static str,
    /// For how much longer, in milliseconds, where that is known.
    pub left_ms: Option<Millis>,
    /// Requests of this daemon that are open there.
    pub open: u32,
    /// Requests a second that it takes from all daemons, when it said so.
    pub limit_per_s: Option<f64>,
    /// When this start of it began, in milliseconds since 1970; 0 where nobody tells.
    pub started_ms: Millis,
}

impl Router {
    /// What each server is to this daemon now.
    pub fn statuses(&self, now: Millis) -> Vec<ServerStatus> {
        self.servers.iter().map(|view| view.status(now)).collect()
    }
}

impl ServerView {
    fn status(&self, now: Millis) -> ServerStatus {
        let (state, why, until) = self.availability(now);
        ServerStatus {
            server: self.name.clone(),
            hall: self.hall.clone(),
            state,
            why,
            left_ms: until.map(|until| until - now),
            open: self.in_flight,
            limit_per_s: self.limit_per_s,
            started_ms: self.started_ms,
        }
    }

    fn availability(&self, now: Millis) -> (Availability, &'static str, Option<Millis>) {
        if self.said_leaving {
            (Availability::Leaving, "its own answers", None)
        } else if self.row_draining {
            (Availability::Leaving, "its row", None)
        } else if self.listed_leaving {
            (Availability::Leaving, "the platform's list", None)
        } else if self.is_leaving(now) {
            (Availability::Leaving, "a load report or a refusal", Some(self.leaving_until))
        } else if self.is_resting(now) {
            (Availability::Resting, "its Retry-After", Some(self.rests_until))
        } else if self.is_at_limit(now) {
            (Availability::AtLimit, "the limit that it names", Some(self.no_permit_until))
        } else if self.is_cold(now) {
            (Availability::Cold, "its start", Some(self.cold_until))
        } else if now < self.ejected_until {
            (Availability::Ejected, "failures in a row", Some(self.ejected_until))
        } else if self.in_flight >= self.limit {
            (Availability::Full, "open requests", None)
        } else {
            (Availability::Ready, "", None)
        }
    }
}
