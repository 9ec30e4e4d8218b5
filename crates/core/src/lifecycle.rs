//! Life cycle of one attempt as a typestate: the state of an attempt determines
//! which responses the caller may receive, and the compiler checks it.
//!
//! Only an attempt that has not been dispatched can end as "not run"; after
//! dispatch, the response is the complete one or "unknown".

use crate::holder::{Holder, Reservation};
use crate::{AttemptId, RequestHash, Tokens};

/// State: the request was read and its workspace is known.
#[derive(Debug)]
pub struct Received;

/// State: the maximum cost of the request is reserved.
#[derive(Debug)]
pub struct Admitted {
    reservation: Reservation,
}

/// State: the request may have reached a backend server.
#[derive(Debug)]
pub struct Dispatched {
    reservation: Reservation,
}

/// State: the attempt has ended, at this cost.
#[derive(Debug)]
pub struct Finished {
    used: Tokens,
}

/// Proof that a backend server did not execute the request: no byte of it was
/// written, or the server responded that it did not execute it.
#[derive(Debug)]
pub struct NotExecuted(());

impl NotExecuted {
    /// The connection to the backend server could not be established.
    pub fn connection_failed() -> Self {
        NotExecuted(())
    }

    /// The request was not sent.
    pub fn never_sent() -> Self {
        NotExecuted(())
    }

    /// The backend server refused the request and responded that it did not execute it.
    pub fn refused_by_server() -> Self {
        NotExecuted(())
    }
}

/// Permission to respond "not run" to the caller; created only before dispatch.
#[derive(Debug)]
pub struct NotRun {
    /// The attempt that did not run.
    pub attempt: AttemptId,
}

/// One attempt at a request, in the state `S`.
#[derive(Debug)]
pub struct Attempt<S> {
    /// The request.
    pub request: RequestHash,
    /// This attempt.
    pub id: AttemptId,
    state: S,
}

impl<S> Attempt<S> {
    fn map_state<T>(self, map: impl FnOnce(S) -> T) -> Attempt<T> {
        Attempt { request: self.request, id: self.id, state: map(self.state) }
    }
}

impl Attempt<Received> {
    /// Creates an attempt at a request that was just read.
    pub fn new(request: RequestHash, id: AttemptId) -> Self {
        Attempt { request, id, state: Received }
    }

    /// Admits the attempt with its reserved tokens.
    pub fn admit(self, reservation: Reservation) -> Attempt<Admitted> {
        self.map_state(|_| Admitted { reservation })
    }

    /// Ends the attempt before execution.
    pub fn not_run(self) -> NotRun {
        NotRun { attempt: self.id }
    }
}

impl Attempt<Admitted> {
    /// Returns the maximum cost, which is reserved, in tokens.
    pub fn max_cost(&self) -> Tokens {
        self.state.reservation.tokens()
    }

    /// Marks the attempt as dispatched; from then on it may have been executed.
    pub fn dispatch(self) -> Attempt<Dispatched> {
        self.map_state(|state| Dispatched { reservation: state.reservation })
    }

    /// Ends the attempt before execution and releases its tokens.
    pub fn not_run(self, holder: &mut Holder) -> NotRun {
        holder.settle(self.state.reservation, 0);
        NotRun { attempt: self.id }
    }
}

impl Attempt<Dispatched> {
    /// Returns the maximum cost, which is reserved, in tokens.
    pub fn max_cost(&self) -> Tokens {
        self.state.reservation.tokens()
    }

    /// Returns to the admitted state, given proof that the request was not executed.
    pub fn revert_dispatch(self, _proof: NotExecuted) -> Attempt<Admitted> {
        self.map_state(|state| Admitted { reservation: state.reservation })
    }

    /// Ends the attempt at the cost that the backend server reported, at most the
    /// reserved maximum; at the maximum if the cost is unknown.
    pub fn finish(self, holder: &mut Holder, used: Option<Tokens>) -> Attempt<Finished> {
        let reservation = self.state.reservation;
        let used = used.unwrap_or(reservation.tokens()).min(reservation.tokens());
        holder.settle(reservation, used);
        Attempt { request: self.request, id: self.id, state: Finished { used } }
    }
}

impl Attempt<Finished> {
    /// Returns the cost.
    pub fn used(&self) -> Tokens {
        self.state.used
    }
}
