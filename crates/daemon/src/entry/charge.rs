//! Charge of one request to its budget: the maximum cost is reserved, and the tokens delivered are
//! charged when the request ends, in any way.

use std::sync::Arc;

use bankcove_core::Tokens;
use bankcove_core::holder::Reservation;
use slog::Logger;

use crate::requests::RequestContext;

/// Events that a server may have generated beyond those received, before it noticed that the
/// connection was closed: it stops within half a second and takes 30 ms for an event.
const MAX_UNRECEIVED_EVENTS: Tokens = 16;

/// Charge of one request, settled on drop.
pub struct Charge {
    requests: Arc<RequestContext>,
    log: Logger,
    reservation: Option<Reservation>,
    input_tokens: Tokens,
    tokens_per_event: Tokens,
    events: Tokens,
    /// Whether the server may have generated events that were not received.
    may_be_incomplete: bool,
    may_have_run: bool,
}

impl Charge {
    /// Creates a charge of `reservation`; `None` for a request that costs nothing. `log` adds the
    /// request's id.
    pub fn new(
        requests: &Arc<RequestContext>,
        log: &Logger,
        reservation: Option<Reservation>,
        input_tokens: Tokens,
        tokens_per_event: Tokens,
    ) -> Self {
        Charge {
            requests: Arc::clone(requests),
            log: log.clone(),
            reservation,
            input_tokens,
            tokens_per_event,
            events: 0,
            may_be_incomplete: false,
            may_have_run: false,
        }
    }

    /// Records that the request is being sent to a server and may run from now on.
    pub fn record_sent(&mut self) {
        self.may_have_run = true;
        self.may_be_incomplete = true;
    }

    /// Records that this attempt certainly did not run. `may_have_run_before` is whether an earlier
    /// one may have.
    pub fn record_not_run(&mut self, may_have_run_before: bool) {
        self.may_have_run = may_have_run_before;
        self.may_be_incomplete = may_have_run_before;
    }

    /// Reserves the tokens of one more event than before; returns whether they were free.
    pub fn reserve_event(&mut self) -> bool {
        let Some(reservation) = &mut self.reservation else { return true };
        self.requests.budgets.holder().extend(reservation, self.tokens_per_event)
    }

    /// Records that an event was received for the caller.
    pub fn record_event(&mut self) {
        self.events += 1;
    }

    /// Records that the answer was received completely.
    pub fn record_complete(&mut self) {
        self.may_be_incomplete = false;
    }

    /// Returns the tokens that the request has cost so far.
    pub fn tokens(&self) -> Tokens {
        if !self.may_have_run {
            return 0;
        }
        let unreceived = if self.may_be_incomplete { MAX_UNRECEIVED_EVENTS } else { 0 };
        self.input_tokens + (self.events + unreceived) * self.tokens_per_event
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let tokens = self.tokens();
        if let Some(reservation) = self.reservation.take() {
            if self.may_be_incomplete {
                // The only record of the cost of a failed or abandoned request.
                slog::info!(self.log, "request charged";
                    "budget" => %reservation.budget(), "tokens" => tokens,
                    "reserved" => reservation.tokens(), "events" => self.events);
            }
            self.requests.budgets.holder().settle(reservation, tokens);
        }
    }
}
