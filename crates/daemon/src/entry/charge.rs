//! What one request costs its budget: set aside at its most, settled at what
//! was handed out, whatever way the request ends.

use std::sync::Arc;

use bankcove_core::Tokens;
use bankcove_core::holder::Reservation;
use slog::Logger;

use crate::requests::RequestContext;

/// Events that a server may have made beyond those that arrived, before it saw
/// that nobody reads them: it stops within half a second, at 30 ms an event.
const UNSEEN_EVENTS: Tokens = 16;

/// The charge of one request; dropping it settles it.
pub struct Charge {
    requests: Arc<RequestContext>,
    log: Logger,
    reservation: Option<Reservation>,
    input_tokens: Tokens,
    tokens_per_event: Tokens,
    events: Tokens,
    unseen: bool,
    ran: bool,
}

impl Charge {
    /// A charge of `reservation`; none for a request that costs nothing. `log` tells
    /// the request.
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
            unseen: false,
            ran: false,
        }
    }

    /// The request is on its way to a server: it may run from here on.
    pub fn sent(&mut self) {
        self.ran = true;
        self.unseen = true;
    }

    /// It is proved that this try ran nowhere. `ran_before` tells whether an
    /// earlier one did.
    pub fn not_run(&mut self, ran_before: bool) {
        self.ran = ran_before;
        self.unseen = ran_before;
    }

    /// An event was handed to the caller.
    pub fn event(&mut self) {
        self.events += 1;
    }

    /// The answer is whole: there is nothing that did not arrive.
    pub fn whole(&mut self) {
        self.unseen = false;
    }

    /// Tokens that the request has cost so far.
    pub fn tokens(&self) -> Tokens {
        if !self.ran {
            return 0;
        }
        let unseen = if self.unseen { UNSEEN_EVENTS } else { 0 };
        self.input_tokens + (self.events + unseen) * self.tokens_per_event
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let tokens = self.tokens();
        if let Some(reservation) = self.reservation.take() {
            if self.unseen {
                // Nothing else says what a failed or abandoned request has cost.
                slog::info!(self.log, "request charged";
                    "budget" => %reservation.budget(), "tokens" => tokens,
                    "reserved" => reservation.tokens(), "events" => self.events);
            }
            self.requests.budgets.holder().settle(reservation, tokens);
        }
    }
}
