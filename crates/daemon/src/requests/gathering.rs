//! Memory for what servers have sent of events and answers that are not complete yet.
//!
//! All of it together is bounded: beyond the host's bound, reading from a server waits. One answer or
//! event at a time is gathered beyond it, so that those that wait for each other's memory all complete.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::base::Base;

/// Size up to which an event or answer is not counted, in bytes: the usual ones wait for nothing.
const UNCOUNTED_BYTES: usize = 16 << 10;

/// Bound for daemons without an entry proxy, in bytes.
const DEFAULT_MAX_BYTES: u64 = 16 << 20;

/// Smallest bound, in bytes: answers are gathered also where the settings let none be held.
const MIN_MAX_BYTES: u64 = 8 << 20;

/// Memory of the host for what is gathered.
pub struct GatherMemory {
    base: Base,
    /// A permit for each byte.
    room: Arc<Semaphore>,
    /// Permit to gather beyond the bound.
    overflow: Arc<Semaphore>,
    max_bytes: Mutex<usize>,
}

impl GatherMemory {
    /// Creates the memory of a host on which nothing is gathered, with the bound of the settings.
    pub fn new(base: Base) -> Arc<Self> {
        let settings = base.cfg.entry.as_ref();
        let max_bytes = settings.map_or(DEFAULT_MAX_BYTES, |entry| entry.max_held_answer_bytes());
        let max_bytes = max_bytes.max(MIN_MAX_BYTES) as usize;
        Arc::new(GatherMemory {
            base,
            room: Arc::new(Semaphore::new(max_bytes)),
            overflow: Arc::new(Semaphore::new(1)),
            max_bytes: Mutex::new(max_bytes),
        })
    }

    /// Replaces the bound. A smaller one takes effect as far as memory is free.
    pub fn set_max_bytes(&self, max_bytes: u64) {
        let max_bytes = max_bytes.max(MIN_MAX_BYTES) as usize;
        let mut known = self.max_bytes.lock();
        if max_bytes >= *known {
            self.room.add_permits(max_bytes - *known);
            *known = max_bytes;
        } else {
            *known -= self.room.forget_permits(*known - max_bytes);
        }
    }

    /// Returns the state for the dump.
    pub fn dump(&self) -> Value {
        let max_bytes = *self.max_bytes.lock();
        let bytes = max_bytes.saturating_sub(self.room.available_permits());
        json!({
            "bytes": bytes, "max_bytes": max_bytes,
            "exceeds": self.overflow.available_permits() == 0,
        })
    }
}

/// Account of one event or answer; dropping it releases its memory.
pub struct Gathering {
    memory: Arc<GatherMemory>,
    held: Option<OwnedSemaphorePermit>,
    overflow: Option<OwnedSemaphorePermit>,
}

impl Gathering {
    /// Creates the account of something of which nothing was received.
    pub fn new(memory: &Arc<GatherMemory>) -> Self {
        Gathering { memory: Arc::clone(memory), held: None, overflow: None }
    }

    /// Sets how much was received, in bytes. Waits for memory if it is more than before.
    pub async fn resize(&mut self, bytes: usize) {
        let bytes = if bytes <= UNCOUNTED_BYTES { 0 } else { bytes };
        let held = self.held.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        if bytes <= held {
            self.shrink(held - bytes);
        } else if self.overflow.is_none() {
            self.grow(bytes - held).await;
        }
    }

    /// Releases all memory.
    pub fn release(&mut self) {
        (self.held, self.overflow) = (None, None);
    }

    fn shrink(&mut self, bytes: usize) {
        if bytes > 0 {
            let released = self.held.as_mut().and_then(|held| held.split(bytes));
            drop(released);
        }
        // Others wait for it, and what is left has its own permits.
        self.overflow = None;
    }

    async fn grow(&mut self, bytes: usize) {
        let permits = u32::try_from(bytes).unwrap_or(u32::MAX);
        let room = Arc::clone(&self.memory.room);
        if let Ok(added) = Arc::clone(&room).try_acquire_many_owned(permits) {
            return self.add(added);
        }
        self.memory.base.metrics.count("gathered.bound_reached");
        tokio::select! {
            // The semaphores are never closed.
            Ok(added) = room.acquire_many_owned(permits) => self.add(added),
            Ok(overflow) = Arc::clone(&self.memory.overflow).acquire_owned() => {
                self.overflow = Some(overflow);
            }
        }
    }

    /// Lets another one exceed the bound if there is memory for these bytes by now.
    fn return_overflow(&mut self, bytes: usize) {
        let held = self.held.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        let permits = u32::try_from(bytes.saturating_sub(held)).unwrap_or(u32::MAX);
        let room = Arc::clone(&self.memory.room);
        if self.overflow.is_some()
            && let Ok(added) = room.try_acquire_many_owned(permits)
        {
            self.add(added);
            self.overflow = None;
        }
    }

    fn add(&mut self, added: OwnedSemaphorePermit) {
        match &mut self.held {
            Some(held) => held.merge(added),
            None => self.held = Some(added),
        }
    }

    /// Returns the gathered bytes, which count until they are dropped.
    pub fn complete(mut self, data: BytesMut) -> Bytes {
        self.return_overflow(data.len());
        if self.held.is_none() && self.overflow.is_none() {
            return data.freeze();
        }
        Bytes::from_owner(GatheredBytes { data: data.freeze(), _account: self })
    }
}

/// Bytes with the account of their memory.
struct GatheredBytes {
    data: Bytes,
    _account: Gathering,
}

impl AsRef<[u8]> for GatheredBytes {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}
