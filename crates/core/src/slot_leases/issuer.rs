//! Leases the slots of brittle servers to daemons.
//!
//! A request that finds no free slot may wait for one: the next slot that comes free is granted to the
//! most urgent waiting request. Leases of daemons that stop renewing them expire. An issuer that takes
//! over from another one learns of its leases when the daemons renew them; until then the bound of
//! the window rises slowly.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::crashes::ServerInstance;
use crate::limits::RequestRate;
use crate::slot_leases::window::Window;
use crate::slot_leases::{LEASE_MS, SlotId};
use crate::{Incarnation, Millis};

/// One in this many slots goes to the request that has waited for the longest time, whatever its
/// urgency.
const OLDEST_EVERY: u64 = 4;

/// Assumed time for which a slot is held while none has been released, in milliseconds.
const UNKNOWN_HOLD_MS: f64 = 50.0;

/// Weight of one released slot in the mean time for which slots are held.
const HOLD_WEIGHT: f64 = 0.1;

/// Bounds of the delay after which a request without a slot may ask again, in milliseconds.
const MIN_RETRY_MS: f64 = 20.0;
const MAX_RETRY_MS: f64 = 400.0;

/// Request of a daemon for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Requesting daemon.
    pub from: Incarnation,
    /// Id for the slot.
    pub id: SlotId,
    /// Urgency of the request to be sent; 0 is the most urgent.
    pub urgency: u32,
    /// Slots of the server by its listing; 0 if unknown.
    pub slots: u32,
}

/// Answer to a [`SlotRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotAnswer {
    /// The slot is leased.
    Granted,
    /// None is free.
    Denied {
        /// Time until one is expected to be, in milliseconds.
        retry_ms: Millis,
    },
}

/// Outcome of a [`SlotRequest`] at the issuer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Requested {
    /// The request is answered at once.
    Answered(SlotAnswer),
    /// The request waits until it is granted a slot, at most until this time.
    Waiting(Millis),
}

/// Slot that came free for a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Grant {
    /// Its daemon.
    pub to: Incarnation,
    /// The id that it requested.
    pub id: SlotId,
}

/// Slots of one server, for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct SlotStats {
    /// Number of leases.
    pub leased: usize,
    /// Bound on the number of leases.
    pub limit: u32,
    /// Number of waiting requests.
    pub waiting: usize,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    since: Millis,
    until: Millis,
}

#[derive(Debug, Clone, Copy)]
struct Waiter {
    /// The grant that ends its wait.
    grant: Grant,
    urgency: u32,
    since: Millis,
    until: Millis,
}

/// Slots of one server.
#[derive(Debug, Clone)]
struct ServerSlots {
    leases: HashMap<Grant, Lease>,
    waiting: Vec<Waiter>,
    window: Window,
    slots: u32,
    asked_at: Millis,
    hold_ms: f64,
    /// Number of slots granted, by which waiting requests take turns.
    granted: u64,
}

/// Slots that one daemon issues, by server instance.
#[derive(Debug, Clone, Default)]
pub struct SlotIssuer {
    servers: HashMap<ServerInstance, ServerSlots>,
}

impl SlotIssuer {
    /// Leases a slot of a server that bears `borne` rejections a second, if one is free. A request that can
    /// expect one before `until` waits for it. Returns the grants to other requests as well.
    pub fn request(
        &mut self,
        now: Millis,
        server: &ServerInstance,
        borne: RequestRate,
        request: SlotRequest,
        until: Millis,
    ) -> (Requested, Vec<Grant>) {
        let new = || ServerSlots::new(now, borne, request.slots);
        let server = self.servers.entry(server.clone()).or_insert_with(new);
        server.begin(now, borne, request.slots);
        let SlotRequest { from, id, urgency, .. } = request;
        let grant = Grant { to: from, id };
        server.waiting.push(Waiter { grant, urgency, since: now, until: until.max(now + 1) });
        let mut grants = server.grant_free(now);
        if let Some(index) = grants.iter().position(|other| *other == grant) {
            grants.swap_remove(index);
            return (Requested::Answered(SlotAnswer::Granted), grants);
        }
        let expected_ms = server.expected_wait_ms(now, urgency);
        if now as f64 + expected_ms < until as f64 {
            return (Requested::Waiting(until), grants);
        }
        server.stop_waiting(grant);
        (Requested::Answered(denied(expected_ms)), grants)
    }

    /// Ends the wait of a request. Returns its answer: it may have been granted a slot by now.
    pub fn end_wait(&mut self, now: Millis, server: &ServerInstance, request: Grant) -> SlotAnswer {
        let Some(server) = self.servers.get_mut(server) else { return denied(MAX_RETRY_MS) };
        if server.leases.contains_key(&request) {
            return SlotAnswer::Granted;
        }
        let waiter = server.waiting.iter().find(|waiter| waiter.grant == request);
        let urgency = waiter.map_or(0, |waiter| waiter.urgency);
        server.stop_waiting(request);
        denied(server.expected_wait_ms(now, urgency))
    }

    /// Ends a lease, or the wait for one; `is_rejected` is whether the server has rejected its request.
    /// Returns the grants to waiting requests.
    pub fn release(
        &mut self,
        now: Millis,
        server: &ServerInstance,
        from: Incarnation,
        id: SlotId,
        is_rejected: bool,
    ) -> Vec<Grant> {
        let Some(server) = self.servers.get_mut(server) else { return Vec::new() };
        server.release(now, Grant { to: from, id }, is_rejected);
        server.grant_free(now)
    }

    /// Grants slots that have come free with time, because leases have expired or the bound rises, to
    /// waiting requests.
    pub fn grant_due(&mut self, now: Millis) -> Vec<(ServerInstance, Vec<Grant>)> {
        let waiting = self.servers.iter_mut().filter(|(_, slots)| !slots.waiting.is_empty());
        let granted = waiting.map(|(server, slots)| (server.clone(), slots.grant_free(now)));
        granted.filter(|(_, grants)| !grants.is_empty()).collect()
    }

    /// Renews leases of a daemon. Those that are not known, because another daemon was the issuer,
    /// are added.
    pub fn renew(
        &mut self,
        now: Millis,
        server: &ServerInstance,
        borne: RequestRate,
        slots: u32,
        from: Incarnation,
        ids: &[SlotId],
    ) {
        let new = || ServerSlots::new(now, borne, slots);
        let server = self.servers.entry(server.clone()).or_insert_with(new);
        for id in ids {
            let lease = Lease { since: now, until: now };
            let held = Grant { to: from, id: *id };
            server.leases.entry(held).or_insert(lease).until = now + LEASE_MS;
        }
        server.window.record_running(server.leases.len() as u32, slots);
    }

    /// Removes the slots of servers for which `is_brittle` is false.
    pub fn retain(&mut self, is_brittle: impl Fn(&ServerInstance) -> bool) {
        self.servers.retain(|server, _| is_brittle(server));
    }

    /// Returns the slots of each server.
    pub fn stats(&self, now: Millis) -> impl Iterator<Item = (&ServerInstance, SlotStats)> {
        self.servers.iter().map(move |(server, slots)| (server, slots.stats(now)))
    }
}

impl ServerSlots {
    fn new(now: Millis, borne: RequestRate, slots: u32) -> Self {
        ServerSlots {
            leases: HashMap::new(),
            waiting: Vec::new(),
            window: Window::new(now, borne, slots),
            slots,
            asked_at: now,
            hold_ms: UNKNOWN_HOLD_MS,
            granted: 0,
        }
    }

    /// Prepares for a request. After a long time without any, another daemon may have been the issuer,
    /// and the bound rises anew.
    fn begin(&mut self, now: Millis, borne: RequestRate, slots: u32) {
        if now >= self.asked_at + LEASE_MS && self.leases.len() < slots as usize {
            self.window = Window::new(now, borne, slots);
            self.window.record_running(self.leases.len() as u32, slots);
        }
        self.asked_at = now;
        self.slots = slots;
        self.window.set_borne(borne);
    }

    fn stats(&self, now: Millis) -> SlotStats {
        let (leased, waiting) = (self.leases.len(), self.waiting.len());
        SlotStats { leased, limit: self.window.limit(now), waiting }
    }

    fn stop_waiting(&mut self, request: Grant) {
        self.waiting.retain(|waiter| waiter.grant != request);
    }

    /// Leases free slots to waiting requests.
    fn grant_free(&mut self, now: Millis) -> Vec<Grant> {
        self.leases.retain(|_, lease| now < lease.until);
        self.waiting.retain(|waiter| now < waiter.until);
        let mut grants = Vec::new();
        while let Some(next) = self.next_waiter()
            && self.window.admits(now, self.leases.len() as u32, self.slots)
        {
            let waiter = self.waiting.swap_remove(next);
            self.granted += 1;
            let lease = Lease { since: now, until: now + LEASE_MS };
            self.leases.insert(waiter.grant, lease);
            grants.push(waiter.grant);
        }
        grants
    }

    /// Returns the index of the request that gets the next slot.
    fn next_waiter(&self) -> Option<usize> {
        let is_oldest_due = self.granted % OLDEST_EVERY == OLDEST_EVERY - 1;
        let order = |index: &usize| {
            let waiter = &self.waiting[*index];
            (if is_oldest_due { 0 } else { waiter.urgency }, waiter.since)
        };
        (0..self.waiting.len()).min_by_key(order)
    }

    fn release(&mut self, now: Millis, request: Grant, is_rejected: bool) {
        let leased = self.leases.len() as u32;
        self.stop_waiting(request);
        let lease = self.leases.remove(&request);
        match lease {
            Some(_) if is_rejected => self.window.record_rejection(now, leased),
            // Sent before its daemon knew that the server is brittle.
            None if is_rejected => self.window.record_unleased_rejection(now),
            Some(lease) => {
                let held_ms = now.saturating_sub(lease.since) as f64;
                self.hold_ms += (held_ms - self.hold_ms) * HOLD_WEIGHT;
            }
            None => {}
        }
    }

    /// Returns the time until the last waiting request of this urgency is expected to get a slot, in
    /// milliseconds.
    fn expected_wait_ms(&self, now: Millis, urgency: u32) -> f64 {
        let before = self.waiting.iter().filter(|waiter| waiter.urgency <= urgency).count();
        before.max(1) as f64 * self.hold_ms / f64::from(self.window.limit(now))
    }
}

/// Returns the answer to a request that is expected to get a slot after this time.
fn denied(expected_ms: f64) -> SlotAnswer {
    SlotAnswer::Denied { retry_ms: expected_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS) as Millis }
}
