//! Servers that fall over when they have to reject too many requests in a second.
//!
//! A server announces how many rejections a second it bears, from all daemons together. This
//! daemon then bounds its open requests there: by an equal share of the server's slots at first,
//! and by what the server held after it has rejected one. The bound grows by one request at a time,
//! so rarely that the attempts of all daemons stay below what the server bears.

use serde::Serialize;

use crate::crashes::ServerInstance;
use crate::limits::RequestRate;
use crate::router::Router;
use crate::router::view::ServerView;
use crate::{Millis, Name};

/// Fraction of the rejections that a server bears which all daemons together risk.
const RISKED_FRACTION: f64 = 0.2;

/// Longest time until the bound grows, in milliseconds.
const MAX_RAISE_INTERVAL_MS: f64 = 60_000.0;

/// Bound on the open requests of this daemon at a brittle server.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub(super) struct Brittle {
    /// Rejections per second that the server bears.
    rejections_per_s: f64,
    /// Maximum number of open requests.
    window: u32,
    /// When one more may be tried.
    raise_at: Millis,
    /// Mean time until one more may be tried, in milliseconds.
    raise_interval_ms: Millis,
}

impl Brittle {
    /// Returns whether no further request may be sent, with `in_flight` open ones.
    fn is_full(&self, now: Millis, in_flight: u32) -> bool {
        in_flight >= self.window.saturating_add(u32::from(now >= self.raise_at))
    }

    /// Records that a request was sent, with which `in_flight` are open. `seed` is random.
    fn record_sent(&mut self, now: Millis, in_flight: u32, seed: u64) {
        if in_flight > self.window {
            self.window = in_flight;
            self.raise_later(now, seed);
        }
    }

    /// Records that one of `in_flight` requests was rejected. `seed` is random.
    fn record_rejection(&mut self, now: Millis, in_flight: u32, seed: u64) {
        self.window = self.window.min(in_flight.saturating_sub(1));
        self.raise_later(now, seed);
    }

    /// Sets the time of the next attempt at random, so that daemons do not make theirs together.
    fn raise_later(&mut self, now: Millis, seed: u64) {
        self.raise_at = now + self.raise_interval_ms / 2 + seed % self.raise_interval_ms.max(1);
    }
}

impl Router {
    /// Records that this instance of a server bears so many rejections a second from `daemons`
    /// daemons together, or, with `None`, any number. Returns whether that is new. `seed` is random.
    pub fn set_brittle(
        &mut self,
        now: Millis,
        server: &ServerInstance,
        rejections: Option<RequestRate>,
        daemons: usize,
        seed: u64,
    ) -> bool {
        let Some(index) = self.index_of_instance(&server.name, server.started_ms) else {
            return false;
        };
        let view = &mut self.servers[index];
        let per_s = rejections.map(RequestRate::per_second);
        if view.brittle.map(|brittle| brittle.rejections_per_s) == per_s {
            return false;
        }
        let share = view.room.slots.div_ceil(daemons.max(1) as u32);
        let known = view.brittle.map_or(share.max(1), |known| known.window);
        view.brittle = per_s.map(|rejections_per_s| {
            let interval_ms = daemons as f64 * 1_000.0 / (rejections_per_s * RISKED_FRACTION);
            let raise_interval_ms = interval_ms.min(MAX_RAISE_INTERVAL_MS).ceil() as Millis;
            let raise_at = now + seed % raise_interval_ms.max(1);
            Brittle { rejections_per_s, window: known, raise_at, raise_interval_ms }
        });
        true
    }

    /// Records that this instance of a server has rejected a request of this daemon because it is
    /// full. The request still counts as open. Returns the number of open requests of this daemon at
    /// the server, if it is brittle. `seed` is random.
    pub fn record_rejection(
        &mut self,
        now: Millis,
        server: &ServerInstance,
        seed: u64,
    ) -> Option<u32> {
        let index = self.index_of_instance(&server.name, server.started_ms)?;
        let view = &mut self.servers[index];
        let in_flight = view.in_flight;
        view.brittle.as_mut()?.record_rejection(now, in_flight, seed);
        Some(in_flight)
    }

    /// Updates the bound of this instance of a server after a request was sent to it. `seed` is
    /// random.
    pub fn raise_window(&mut self, now: Millis, name: &Name, started_ms: Millis, seed: u64) {
        let Some(index) = self.index_of_instance(name, started_ms) else { return };
        let view = &mut self.servers[index];
        let in_flight = view.in_flight;
        if let Some(brittle) = &mut view.brittle {
            brittle.record_sent(now, in_flight, seed);
        }
    }

    /// Returns whether any server is brittle.
    pub fn has_brittle(&self) -> bool {
        self.servers.iter().any(|view| view.brittle.is_some())
    }
}

impl ServerView {
    /// Returns whether this daemon has as many requests open at the server as the server bears.
    pub(super) fn is_at_window(&self, now: Millis) -> bool {
        self.brittle.is_some_and(|brittle| brittle.is_full(now, self.in_flight))
    }
}
