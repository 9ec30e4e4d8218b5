//! Responses of servers, checked for the request that they answer.
//!
//! A server may repeat a response at the place of the next one on the same connection. What a response
//! states counts only for the send that it answers: its head has to name the request
//! ([`UncheckedResponse::check`]), and its connection carries no other send of the request
//! ([`NumberedPermit`](crate::entry::sends::NumberedPermit)).

use std::ops::Deref;

use bankcove_ports::wire::{ResponseHead, Wire};
use hyper::Response;
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::CaptureConnection;

/// Response to a send, of which nothing may be used yet.
#[derive(Debug)]
pub struct UncheckedResponse {
    res: Response<Incoming>,
    /// Its connection, if other requests may use it later.
    connection: Option<CaptureConnection>,
}

/// Response that answers the request which was sent.
#[derive(Debug)]
pub struct OwnResponse {
    /// Head and body.
    pub res: Response<Incoming>,
    /// Parsed head.
    pub head: OwnHead,
}

/// Parsed head of a response, which names the request that was sent.
#[derive(Debug)]
pub struct OwnHead(ResponseHead);

/// Error: the head of a response names another request, or none.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer is not the server's answer to this request")]
pub struct ForeignResponse {
    /// Identifier in the head.
    pub id: Option<String>,
}

impl UncheckedResponse {
    /// Response over a connection of a pool.
    pub(in crate::entry) fn pooled(res: Response<Incoming>, connection: CaptureConnection) -> Self {
        UncheckedResponse { res, connection: Some(connection) }
    }

    /// Response over a connection that is used for one request.
    pub(in crate::entry) fn single(res: Response<Incoming>) -> Self {
        UncheckedResponse { res, connection: None }
    }

    /// Checks that the response names the request with this identifier.
    ///
    /// # Errors
    /// [`ForeignResponse`] if it does not. Its connection is not used again: the next response on it
    /// answers this request.
    pub fn check(self, wire: &dyn Wire, id: &str) -> Result<OwnResponse, ForeignResponse> {
        let head = wire.read_response(self.res.status(), self.res.headers());
        let checked = OwnHead::check(head, id);
        let connection = self.connection.as_ref().map(CaptureConnection::connection_metadata);
        if let (Err(_), Some(Some(connection))) = (&checked, connection.as_deref()) {
            connection.poison();
        }
        checked.map(|head| OwnResponse { res: self.res, head })
    }
}

impl OwnHead {
    /// Checks that a head names the request with this identifier.
    ///
    /// # Errors
    /// [`ForeignResponse`] if it does not.
    pub fn check(head: ResponseHead, id: &str) -> Result<Self, ForeignResponse> {
        if head.id.as_deref() == Some(id) {
            Ok(OwnHead(head))
        } else {
            Err(ForeignResponse { id: head.id })
        }
    }
}

impl Deref for OwnHead {
    type Target = ResponseHead;

    fn deref(&self) -> &ResponseHead {
        &self.0
    }
}
