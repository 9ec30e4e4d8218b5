//! Status of each server as seen by this daemon, for operators.

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
    /// It is leaving.
    Leaving,
    /// It has asked this daemon to send nothing for a while.
    Resting,
    /// This daemon may not send to it now because of its limit.
    AtLimit,
    /// It has just started.
    Cold,
    /// It has failed too often.
    Ejected,
    /// This daemon has as many open requests there as its row allows, or it has rejected one
    /// because it is full.
    Full,
}

/// Status of one server.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServerStatus {
    /// Its name.
    pub server: Name,
    /// Its hall.
    pub hall: Name,
    /// Version of its software; `None` when unknown.
    pub version: Option<Name>,
    /// Whether it gets requests, and if not, why.
    pub state: Availability,
    /// The source of the state; empty when the server is ready.
    pub why: &'static str,
    /// Milliseconds until the state ends, where known.
    pub left_ms: Option<Millis>,
    /// Number of open requests of this daemon there.
    pub open: u32,
    /// Requests per second that it accepts from all daemons together, if it announced a limit.
    pub limit_per_s: Option<f64>,
    /// When this instance of it was started, in milliseconds since 1970; 0 when unknown.
    pub started_ms: Millis,
    /// Speed relative to the fast servers of its pool, 1 or less, to two decimal places.
    pub speed: f64,
    /// Time for which the oldest unanswered request of this daemon has waited there, in
    /// milliseconds.
    pub oldest_wait_ms: Millis,
}

impl Router {
    /// Returns the current status of each server.
    pub fn statuses(&self, now: Millis) -> Vec<ServerStatus> {
        let numbered = self.servers.iter().enumerate();
        numbered
            .map(|(index, view)| {
                let speed = self.pool_of(index).map_or(1.0, |pool| pool.speed(view));
                view.status(now, speed)
            })
            .collect()
    }
}

impl ServerView {
    fn status(&self, now: Millis, speed: f64) -> ServerStatus {
        let (state, why, until) = self.availability(now);
        ServerStatus {
            server: self.name.clone(),
            hall: self.hall.clone(),
            version: self.version.clone(),
            state,
            why,
            left_ms: until.map(|until| until - now),
            open: self.in_flight,
            limit_per_s: self.limit_per_s,
            started_ms: self.started_ms,
            speed: (speed * 100.0).round() / 100.0,
            oldest_wait_ms: self.oldest_wait_ms(now),
        }
    }

    /// Returns the state, its source, and when it ends, where known.
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
        } else if self.room.is_full(now) {
            (Availability::Full, "a rejected request", Some(self.room.full_until))
        } else {
            (Availability::Ready, "", None)
        }
    }
}
