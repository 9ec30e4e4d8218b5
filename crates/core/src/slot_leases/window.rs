//! Bound on the open requests of all daemons at one brittle server.

use std::collections::VecDeque;

use crate::Millis;
use crate::limits::RequestRate;

/// Window in which a server counts its rejections, in milliseconds.
const REJECTION_WINDOW_MS: Millis = 1_000;

/// Fraction of the rejections that a server bears after which only one request at a time is sent.
const CAUTION_FRACTION: f64 = 0.6;

/// Fraction of the rejections that a server bears which is risked by raising the bound.
const RISKED_FRACTION: f64 = 0.2;

/// Divisor of the listed slots for the first bound: another issuer may have leased some.
const FIRST_BOUND_DIVISOR: u32 = 3;

/// Interval at which the bound rises while the server has rejected nothing, in milliseconds.
const RAMP_INTERVAL_MS: Millis = 100;

/// Time after which a raised bound is known to be accepted, in milliseconds: rejections are reported
/// within some 10 ms.
const PROVEN_MS: Millis = 100;

/// Longest interval between two raises, in milliseconds.
const MAX_RAISE_INTERVAL_MS: Millis = 60_000;

/// Bound that rises by one request at a time, up to the listed slots, and falls with rejections.
#[derive(Debug, Clone)]
pub(super) struct Window {
    limit: u32,
    /// Rejections per second that the server bears.
    borne: f64,
    rejections: VecDeque<Millis>,
    raise_at: Millis,
    raise_interval_ms: Millis,
    /// When the bound was raised, until that is known to be accepted.
    raised_at: Option<Millis>,
}

impl Window {
    /// Creates the bound of a server with these listed slots; 0 if unknown.
    pub(super) fn new(now: Millis, borne: RequestRate, slots: u32) -> Self {
        Window {
            limit: (slots / FIRST_BOUND_DIVISOR).max(1),
            borne: borne.per_second(),
            rejections: VecDeque::new(),
            raise_at: now,
            raise_interval_ms: RAMP_INTERVAL_MS,
            raised_at: None,
        }
    }

    /// Returns the bound in force.
    pub(super) fn limit(&self, now: Millis) -> u32 {
        if self.is_cautious(now) { 1 } else { self.limit }
    }

    /// Updates the number of rejections that the server bears.
    pub(super) fn set_borne(&mut self, borne: RequestRate) {
        self.borne = borne.per_second();
    }

    /// Returns whether one more request may be sent beside `open` ones; raises the bound for it if
    /// that is due.
    pub(super) fn admits(&mut self, now: Millis, open: u32, slots: u32) -> bool {
        self.confirm_raise(now);
        if open < self.limit(now) {
            return true;
        }
        let has_slot = slots == 0 || open < slots;
        let is_due = now >= self.raise_at && self.raised_at.is_none();
        if !has_slot || !is_due || open > self.limit || self.is_cautious(now) {
            return false;
        }
        self.limit = open + 1;
        self.raised_at = Some(now);
        self.raise_at = now + self.raise_interval_ms;
        true
    }

    /// Records that the server runs `open` requests, which another issuer has admitted.
    pub(super) fn record_running(&mut self, open: u32, slots: u32) {
        if self.rejections.is_empty() {
            self.limit = self.limit.max(open.min(slots));
        }
    }

    /// Records that the server has rejected a request without a lease, which shows nothing of the
    /// bound.
    pub(super) fn record_unleased_rejection(&mut self, now: Millis) {
        self.forget_old(now);
        self.rejections.push_back(now);
    }

    /// Records that the server has rejected one of `open` requests with leases.
    pub(super) fn record_rejection(&mut self, now: Millis, open: u32) {
        self.record_unleased_rejection(now);
        let interval_ms = self.cautious_interval_ms();
        let is_raise_rejected = self.raised_at.take().is_some() && open >= self.limit;
        if is_raise_rejected {
            self.limit = (self.limit - 1).max(1);
            self.raise_interval_ms = (2 * self.raise_interval_ms).max(interval_ms);
        } else {
            self.limit = (self.limit.min(open) / 2).max(1);
            self.raise_interval_ms = interval_ms;
        }
        self.raise_interval_ms = self.raise_interval_ms.min(MAX_RAISE_INTERVAL_MS);
        self.raise_at = now + self.raise_interval_ms;
    }

    fn confirm_raise(&mut self, now: Millis) {
        if self.raised_at.is_some_and(|at| now >= at + PROVEN_MS) {
            self.raised_at = None;
            self.raise_interval_ms = self.raise_interval_ms.min(self.cautious_interval_ms());
        }
    }

    /// Returns the interval between raises after a rejection, in milliseconds.
    fn cautious_interval_ms(&self) -> Millis {
        let interval_ms = 1_000.0 / (self.borne * RISKED_FRACTION).max(f64::MIN_POSITIVE);
        interval_ms.min(MAX_RAISE_INTERVAL_MS as f64).ceil() as Millis
    }

    /// Returns whether few more rejections would make the server fall over.
    fn is_cautious(&self, now: Millis) -> bool {
        let is_recent = |at: &&Millis| now.saturating_sub(**at) < REJECTION_WINDOW_MS;
        let recent = self.rejections.iter().filter(is_recent).count();
        recent as f64 >= (self.borne * CAUTION_FRACTION).floor().max(1.0)
    }

    fn forget_old(&mut self, now: Millis) {
        let is_old = |at: &Millis| now.saturating_sub(*at) >= REJECTION_WINDOW_MS;
        while self.rejections.front().is_some_and(is_old) {
            self.rejections.pop_front();
        }
    }
}
