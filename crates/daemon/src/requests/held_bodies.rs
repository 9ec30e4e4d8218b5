//! Memory of the request bodies that this host holds. The decisions on it are made in
//! [`bankcove_core::held_bodies`].
//!
//! A body is charged as its bytes arrive, and kept in segments, each of which is released when its last
//! owner drops it. The last send of a request takes the segments, so that they are released as they are
//! written to the server.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bankcove_core::held_bodies::{BodyOwner, HeldBodies, NoRoom};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use parking_lot::Mutex;
use prometheus_client::metrics::gauge::Gauge;
use salvo::Request;
use serde_json::{Value, json};
use slog::{KV, Record, Serializer};

use crate::base::Base;

/// Size of a segment, in bytes. The allocator reuses blocks of this size; it fragments with large ones.
const SEGMENT_BYTES: usize = 64 << 10;

/// Bound for daemons without an entry proxy, in bytes.
const DEFAULT_MAX_BYTES: u64 = 24 << 20;

/// Reason for which a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It exceeds this limit in bytes.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// The connection broke, or what it brought is no body.
    #[error("the body can't be read")]
    Broken,
    /// It was not received within this time.
    #[error("the body took longer than {} ms", .0.as_millis())]
    TooSlow(Duration),
    /// The host holds too many bodies.
    #[error("this host holds as many request bodies as it can")]
    Full(BodiesFull),
}

impl BodyError {
    /// Returns the code for logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            BodyError::TooLarge(_) | BodyError::Broken => "body_too_large",
            BodyError::TooSlow(_) => "body_too_slow",
            BodyError::Full(_) => "bodies_full",
        }
    }
}

/// Refusal of a body for which the host has no room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodiesFull {
    /// Figures of the decision.
    pub no_room: NoRoom,
    /// Time after which there will be room.
    pub retry_after: Duration,
}

impl KV for BodiesFull {
    fn serialize(&self, _: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        serializer.emit_u64("held_bytes", self.no_room.held_bytes)?;
        serializer.emit_u64("workspace_bytes", self.no_room.workspace_bytes)?;
        serializer.emit_u64("limit_bytes", self.no_room.limit_bytes)?;
        serializer.emit_u64("retry_after_ms", self.retry_after.as_millis() as u64)
    }
}

/// Limits on a body that is read.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// Largest size, in bytes.
    pub max_bytes: usize,
    /// Longest time.
    pub timeout: Duration,
}

/// Bytes of all request bodies that this host holds.
pub struct BodyMemory {
    base: Base,
    held: Mutex<HeldBodies>,
    level: Gauge,
}

impl BodyMemory {
    /// Creates the memory of a host without requests, with the bound of the settings.
    pub fn new(base: Base) -> Arc<Self> {
        let settings = base.cfg.entry.as_ref();
        let max_bytes = settings.map_or(DEFAULT_MAX_BYTES, |entry| entry.max_held_body_bytes());
        Arc::new(BodyMemory {
            held: Mutex::new(HeldBodies::new(max_bytes)),
            level: base.metrics.level("bodies.held_bytes"),
            base,
        })
    }

    /// Replaces the host's bound.
    pub fn set_max_bytes(&self, max_bytes: u64) {
        self.held.lock().set_max_bytes(max_bytes);
    }

    /// Returns the state for the dump.
    pub fn dump(&self) -> Value {
        let held = self.held.lock();
        json!({"bytes": held.held_bytes(), "max_bytes": held.max_bytes()})
    }

    /// Checks a body before it is read, by the length that its head declares; 0 if it declares none.
    ///
    /// # Errors
    /// [`BodyError::TooLarge`] or [`BodyError::Full`].
    pub fn check(
        &self,
        owner: &BodyOwner,
        declared: usize,
        limits: BodyLimits,
    ) -> Result<(), BodyError> {
        let largest = self.held.lock().largest_body(owner) as usize;
        let max_bytes = limits.max_bytes.min(largest);
        if declared > max_bytes {
            return Err(BodyError::TooLarge(max_bytes));
        }
        let fits = self.held.lock().check(owner, 0, declared as u64);
        fits.map_err(|no_room| self.refuse(no_room, declared))
    }

    /// Reads a body; `declared` as in [`BodyMemory::check`]. A refused body is not read to its end.
    ///
    /// # Errors
    /// [`BodyError`].
    pub async fn read(
        self: &Arc<Self>,
        owner: BodyOwner,
        declared: usize,
        limits: BodyLimits,
        req: &mut Request,
    ) -> Result<HeldBody, BodyError> {
        let reader = BodyReader::new(self, owner, declared, SEGMENT_BYTES);
        Ok(reader.read(limits, req).await?.finish())
    }

    /// Reads a body in one piece, as [`BodyMemory::read`] does.
    ///
    /// # Errors
    /// [`BodyError`].
    pub async fn read_contiguous(
        self: &Arc<Self>,
        owner: BodyOwner,
        declared: usize,
        limits: BodyLimits,
        req: &mut Request,
    ) -> Result<ChargedBytes, BodyError> {
        let reader = BodyReader::new(self, owner, declared, usize::MAX);
        let BodyReader { open, charge, .. } = reader.read(limits, req).await?;
        Ok(ChargedBytes { data: open, charge })
    }

    fn refuse(&self, no_room: NoRoom, bytes: usize) -> BodyError {
        self.base.metrics.count("bodies.bound_reached");
        let now = self.base.clock.now();
        let retry_after_ms = self.held.lock().retry_after(bytes as u64, now);
        let retry_after = Duration::from_millis(retry_after_ms);
        BodyError::Full(BodiesFull { no_room, retry_after })
    }
}

/// Account of bytes that belong to one request; dropping it releases them.
#[derive(Debug)]
pub struct BodyCharge {
    memory: Arc<BodyMemory>,
    owner: Arc<BodyOwner>,
    bytes: usize,
}

impl std::fmt::Debug for BodyMemory {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("BodyMemory").field("held", &self.held).finish_non_exhaustive()
    }
}

impl BodyCharge {
    /// Charges `bytes` more of a body of which `body_bytes` are held.
    fn grow(&mut self, body_bytes: usize, bytes: usize) -> Result<(), BodyError> {
        let mut held = self.memory.held.lock();
        let fits = held.check(&self.owner, body_bytes as u64, bytes as u64);
        if let Err(no_room) = fits {
            drop(held);
            return Err(self.memory.refuse(no_room, body_bytes + bytes));
        }
        held.add(&self.owner, bytes as u64);
        self.bytes += bytes;
        self.memory.level.inc_by(bytes as i64);
        Ok(())
    }

    /// Returns the account of `bytes` of these.
    fn split(&mut self, bytes: usize) -> Self {
        self.bytes -= bytes;
        BodyCharge { memory: Arc::clone(&self.memory), owner: Arc::clone(&self.owner), bytes }
    }
}

impl Drop for BodyCharge {
    fn drop(&mut self) {
        if self.bytes > 0 {
            let now = self.memory.base.clock.now();
            self.memory.held.lock().release(&self.owner, self.bytes as u64, now);
            self.memory.level.dec_by(self.bytes as i64);
        }
    }
}

/// Bytes with the account of their memory.
#[derive(Debug)]
pub struct ChargedBytes {
    data: BytesMut,
    charge: BodyCharge,
}

impl ChargedBytes {
    /// Returns the bytes, which are charged until the last clone of them is dropped.
    pub fn into_bytes(self) -> Bytes {
        Bytes::from_owner(self)
    }

    /// Returns the account, for what was parsed from the bytes.
    pub fn into_charge(self) -> BodyCharge {
        self.charge
    }
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

/// A body that is being read.
struct BodyReader {
    /// Account of what `open` holds.
    charge: BodyCharge,
    segments: Vec<Bytes>,
    open: BytesMut,
    segment_bytes: usize,
    /// Bytes read.
    len: usize,
    declared: usize,
}

impl BodyReader {
    fn new(
        memory: &Arc<BodyMemory>,
        owner: BodyOwner,
        declared: usize,
        segment_bytes: usize,
    ) -> Self {
        let (memory, owner) = (Arc::clone(memory), Arc::new(owner));
        BodyReader {
            charge: BodyCharge { memory, owner, bytes: 0 },
            segments: Vec::new(),
            open: BytesMut::new(),
            segment_bytes,
            len: 0,
            declared,
        }
    }

    /// Reads to the end of the body.
    async fn read(mut self, limits: BodyLimits, req: &mut Request) -> Result<Self, BodyError> {
        self.charge.memory.check(&self.charge.owner, self.declared, limits)?;
        match tokio::time::timeout(limits.timeout, self.read_frames(limits.max_bytes, req)).await {
            Ok(read) => read.map(|()| self),
            Err(_) => Err(BodyError::TooSlow(limits.timeout)),
        }
    }

    async fn read_frames(&mut self, max_bytes: usize, req: &mut Request) -> Result<(), BodyError> {
        while let Some(frame) = req.body_mut().frame().await {
            let frame = frame.map_err(|_| BodyError::Broken)?;
            let Ok(data) = frame.into_data() else { continue };
            if self.len + data.len() > max_bytes {
                return Err(BodyError::TooLarge(max_bytes));
            }
            self.charge.grow(self.len, data.len())?;
            self.append(&data);
        }
        Ok(())
    }

    fn append(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            if self.open.is_empty() {
                let expected = self.declared.saturating_sub(self.len).max(data.len());
                self.open.reserve(expected.min(self.segment_bytes));
            }
            let (fits, rest) = data.split_at(data.len().min(self.segment_bytes - self.open.len()));
            self.open.extend_from_slice(fits);
            self.len += fits.len();
            data = rest;
            if self.open.len() == self.segment_bytes {
                self.close_segment();
            }
        }
    }

    fn close_segment(&mut self) {
        if !self.open.is_empty() {
            let data = std::mem::take(&mut self.open);
            let charge = self.charge.split(data.len());
            self.segments.push(ChargedBytes { data, charge }.into_bytes());
        }
    }

    fn finish(mut self) -> HeldBody {
        self.close_segment();
        HeldBody { len: self.len, segments: Arc::new(Mutex::new(Some(self.segments))) }
    }
}

/// Segments of a body; `None` once no further send may use them.
type SharedSegments = Arc<Mutex<Option<Vec<Bytes>>>>;

/// Body of a request that was read.
#[derive(Debug)]
pub struct HeldBody {
    len: usize,
    segments: SharedSegments,
}

impl HeldBody {
    /// Returns its length in bytes, also once it is released.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether its length is 0.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns whether it can no longer be sent.
    pub fn is_released(&self) -> bool {
        self.segments.lock().is_none()
    }

    /// Releases its memory, except what sends are still writing. No further send is possible.
    pub fn release(&self) {
        *self.segments.lock() = None;
    }

    /// Returns its segments; none once it is released.
    pub fn segments(&self) -> Vec<Bytes> {
        self.segments.lock().clone().unwrap_or_default()
    }

    /// Returns the body for one send. The last send takes the segments when it begins to be written.
    pub fn to_send(&self, is_last: bool) -> SendBody {
        let segments = Arc::clone(&self.segments);
        SendBody { segments, is_last, unsent: None, bytes_left: self.len }
    }
}

/// Body of one send to a server.
#[derive(Debug)]
pub struct SendBody {
    segments: SharedSegments,
    is_last: bool,
    /// Segments that are not written; `None` until the first is.
    unsent: Option<std::vec::IntoIter<Bytes>>,
    bytes_left: usize,
}

impl Body for SendBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let this = &mut *self;
        let unsent = this.unsent.get_or_insert_with(|| {
            let mut segments = this.segments.lock();
            let segments = if this.is_last { segments.take() } else { segments.clone() };
            segments.unwrap_or_default().into_iter()
        });
        let next = unsent.next();
        this.bytes_left -= next.as_ref().map_or(0, Bytes::len);
        Poll::Ready(next.map(|data| Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes_left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes_left as u64)
    }
}
