//! Bound for the interim responses (1xx) to a request: a server may send them without end, and each
//! one puts the response off.

use hyper::Request;
use hyper::ext::on_informational;
use tokio::sync::watch;

/// Maximum number of interim responses to a request.
const MAX_INTERIM_RESPONSES: u32 = 32;

/// Error: there were more than [`MAX_INTERIM_RESPONSES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("too many interim responses")]
pub struct TooManyInterimResponses;

/// Counter of the interim responses to one request.
pub struct InterimResponses(watch::Receiver<u32>);

impl InterimResponses {
    /// Counts the interim responses to a request that is about to be sent.
    pub fn count<B>(req: &mut Request<B>) -> Self {
        let (tx, rx) = watch::channel(0);
        on_informational(req, move |_| tx.send_modify(|count| *count += 1));
        InterimResponses(rx)
    }

    /// Waits for the response. Dropping `res` closes the connection.
    ///
    /// # Errors
    /// [`TooManyInterimResponses`], or the error of `res`.
    pub async fn bound<T, E>(mut self, res: impl Future<Output = Result<T, E>>) -> Result<T, E>
    where
        E: From<TooManyInterimResponses>,
    {
        tokio::select! {
            res = res => res,
            // The counter is closed when the response begins.
            Ok(_) = self.0.wait_for(|count| *count > MAX_INTERIM_RESPONSES) => {
                Err(TooManyInterimResponses.into())
            }
        }
    }
}
