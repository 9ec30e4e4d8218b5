//! Life cycle of one attempt, as types: what may be told to a caller depends
//! on how far the attempt has come, and the compiler checks it.
//!
//! "Not run" can be told only by an attempt that has not been dispatched; once
//! it has, the answer is the whole one or "unknown".

use crate::holder::{Holder, Reservation};
use crate::{AttemptId, RequestHash, Tokens};

/// The request was read and its workspace is known.
#[derive(Debug)]
pub struct Received;

/// Its greatest cost is set aside.
#[derive(Debug)]
pub struct Admitted {
    reservation: Reservation,
}

/// It may have reached a backend server.
#[derive(Debug)]
pub struct Dispatched {
    reservation: Reservation,
}

/// The backend server has ended it, at this cost.
#[derive(Debug)]
pub struct Finished {
    used: Tokens,
}

/// Proof that no byte of a request was written to the backend server: the
/// connection itself failed, or the server said that it did not run it.
#[derive(Debug)]
pub struct NotExecuted(());

impl NotExecuted {
    /// The connection could not be made.
    pub fn connection_failed() -> Self {
        NotExecuted(())
    }

    /// It was not sent.
    pub fn never_sent() -> Self {
        NotExecuted(())
    }

    /// The backend server refused the request and said that it did not run.
    pub fn refused_by_server() -> Self {
        NotExecuted(())
    }
}

/// The right to tell the caller "not run"; made only before dispatch.
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
    fn with<T>(self, make: impl FnOnce(S) -> T) -> Attempt<T> {
        Attempt { request: self.request, id: self.id, state: make(self.state) }
    }
}

impl Attempt<Received> {
    /// An attempt at a request that was just read.
    pub fn new(request: RequestHash, id: AttemptId) -> Self {
        Attempt { request, id, state: Received }
    }

    /// Goes on with the tokens set aside.
    pub fn admit(self, reservation: Reservation) -> Attempt<Admitted> {
        self.with(|_| Admitted { reservation })
    }

    /// Ends it before anything ran.
    pub fn not_run(self) -> NotRun {
        NotRun { attempt: self.id }
    }
}

impl Attempt<Admitted> {
    /// The most that it may cost.
    pub fn limit(&self) -> Tokens {
        self.state.reservation.tokens()
    }

    /// From here on it may have run.
    pub fn dispatch(self) -> Attempt<Dispatched> {
        self.with(|state| Dispatched { reservation: state.reservation })
    }

    /// Ends it before anything ran; its tokens are free again.
    pub fn not_run(self, holder: &mut Holder) -> NotRun {
        holder.settle(self.state.reservation, 0);
        NotRun { attempt: self.id }
    }
}

impl Attempt<Dispatched> {
    /// The most that it may cost.
    pub fn limit(&self) -> Tokens {
        self.state.reservation.tokens()
    }

    /// Goes back: it is proved that nothing ran.
    pub fn revert_dispatch(self, _proof: NotExecuted) -> Attempt<Admitted> {
        self.with(|state| Admitted { reservation: state.reservation })
    }

    /// Ends it at the cost that the backend server told, or the greatest cost
    /// when that is not known.
    pub fn finish(self, holder: &mut Holder, used: Option<Tokens>) -> Attempt<Finished> {
        let reservation = self.state.reservation;
        let used = used.unwrap_or(reservation.tokens()).min(reservation.tokens());
        holder.settle(reservation, used);
        Attempt { request: self.request, id: self.id, state: Finished { used } }
    }
}

impl Attempt<Finished> {
    /// What it cost.
    pub fn used(&self) -> Tokens {
        self.state.used
    }
}
