//! Bound for the interim responses (1xx) to a request: a server may send them without end, and each
//! one puts the response off.

use hyper::Request;
use hyper::ext::on_informational;
use tokio::sync::watch;

use crate::entry::backend::SendError;

/// Maximum number of interim responses to a request.
const MAX_INTERIM_RESPONSES: u32 = 32;

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
    /// [`SendError::Malformed`] after too many interim responses, or the error of `res`.
    pub async fn bound<T>(
        mut self,
        res: impl Future<Output = Result<T, SendError>>,
    ) -> Result<T, SendError> {
        tokio::select! {
            res = res => res,
            // The counter is closed when the response begins.
            Ok(_) = self.0.wait_for(|count| *count > MAX_INTERIM_RESPONSES) => {
                Err(SendError::Malformed("too many interim responses".to_owned()))
            }
        }
    }
}
