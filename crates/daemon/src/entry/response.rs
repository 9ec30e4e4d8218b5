//! Responses of servers, checked for the request that they answer.
//!
//! A server may repeat a response at the place of the next one on the same connection. What a response
//! states counts only for the send that it answers: its head has to name the request
//! ([`UncheckedResponse::check`]), and its connection carries no other send of the request
//! ([`NumberedPermit`](crate::entry::sends::NumberedPermit)).

use std::ops::Deref;

use bankcove_ports::observed::ConnectionState;
use bankcove_ports::wire::{ResponseHead, Wire};
use hyper::Response;
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::CaptureConnection;
use slog::{KV, Record, Serializer};

/// Response to a send, of which nothing may be used yet.
#[derive(Debug)]
pub struct UncheckedResponse {
    res: Response<Incoming>,
    /// Its connection, if other requests may use it later.
    pooled: Option<CaptureConnection>,
    connection: Option<ConnectionState>,
    origin: ResponseOrigin,
}

/// Where a response came from. As part of a log line it tells what its statement rests on.
#[derive(Debug, Clone)]
pub struct ResponseOrigin {
    status: u16,
    /// Number of its connection, and its own number on this connection, from 1.
    connection: Option<(u64, u64)>,
    /// Whether the whole request had been passed to the kernel when the head was received.
    is_request_written: bool,
}

impl ResponseOrigin {
    fn new(res: &Response<Incoming>, connection: Option<&ConnectionState>) -> Self {
        ResponseOrigin {
            status: res.status().as_u16(),
            connection: connection.map(|state| (state.number(), state.count_response())),
            is_request_written: connection.is_some_and(|state| !state.is_write_blocked()),
        }
    }

    /// Returns whether the whole request had been passed to the kernel when the head was received.
    pub fn is_request_written(&self) -> bool {
        self.is_request_written
    }
}

impl KV for ResponseOrigin {
    fn serialize(&self, _: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        serializer.emit_u16("status", self.status)?;
        serializer.emit_bool("request_written", self.is_request_written)?;
        let Some((connection, number)) = self.connection else { return Ok(()) };
        serializer.emit_u64("connection", connection)?;
        serializer.emit_u64("on_connection", number)
    }
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
        let state = res.extensions().get().cloned();
        Self::new(res, Some(connection), state)
    }

    /// Response over a connection that is used for one request.
    pub(in crate::entry) fn single(res: Response<Incoming>, connection: ConnectionState) -> Self {
        Self::new(res, None, Some(connection))
    }

    fn new(
        res: Response<Incoming>,
        pooled: Option<CaptureConnection>,
        connection: Option<ConnectionState>,
    ) -> Self {
        let origin = ResponseOrigin::new(&res, connection.as_ref());
        UncheckedResponse { res, pooled, connection, origin }
    }

    /// Returns where it came from.
    pub fn origin(&self) -> ResponseOrigin {
        self.origin.clone()
    }

    /// Checks that the response names the request with this identifier.
    ///
    /// # Errors
    /// [`ForeignResponse`] if it does not. Its connection is not used again: the next response on it
    /// answers this request.
    pub fn check(self, wire: &dyn Wire, id: &str) -> Result<OwnResponse, ForeignResponse> {
        let head = wire.read_response(self.res.status(), self.res.headers());
        let checked = OwnHead::check(head, id);
        match &checked {
            Err(_) => self.poison(),
            Ok(head) if head.unrun.is_some() => self.stop_writing(),
            Ok(_) => {}
        }
        checked.map(|head| OwnResponse { res: self.res, head })
    }

    /// Keeps other requests from using the connection.
    fn poison(&self) {
        let pooled = self.pooled.as_ref().map(CaptureConnection::connection_metadata);
        if let Some(Some(pooled)) = pooled.as_deref() {
            pooled.poison();
        }
    }

    /// Writes no more of a request that is not written yet: a server that has rejected it must not
    /// receive it in full, and the rest would only take up the link.
    fn stop_writing(&self) {
        if !self.origin.is_request_written
            && let Some(connection) = &self.connection
        {
            self.poison();
            connection.abandon();
        }
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
