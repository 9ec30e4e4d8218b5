//! Memory of the answers that this host holds for callers. The decisions on it are made in
//! [`bankcove_core::held_answers`].
//!
//! An answer counts as held from its receipt until the kernel has taken its bytes for the caller:
//! the HTTP server's own queue is included.

use std::sync::Arc;

use bankcove_core::held_answers::{HeldAnswers, ReadDecision};
use bytes::Bytes;
use parking_lot::Mutex;
use prometheus_client::metrics::gauge::Gauge;
use serde_json::{Value, json};
use tokio::sync::Notify;
use tokio_util::task::task_tracker::TaskTrackerToken;

use crate::base::Base;

/// Bytes of all answers that this host holds.
pub struct AnswerMemory {
    base: Base,
    held: Mutex<HeldAnswers>,
    level: Gauge,
    /// Notified when reading may continue after the host's bound was reached.
    has_room: Notify,
}

impl AnswerMemory {
    /// Creates the memory of a host without answers, with the bound of the settings.
    pub fn new(base: Base) -> Self {
        let settings = base.cfg.entry.as_ref();
        let max_bytes = settings.map_or(0, |entry| entry.max_held_answer_bytes());
        AnswerMemory {
            held: Mutex::new(HeldAnswers::new(max_bytes)),
            level: base.metrics.level("answers.held_bytes"),
            has_room: Notify::new(),
            base,
        }
    }

    /// Replaces the host's bound.
    pub fn set_max_bytes(&self, max_bytes: u64) {
        self.held.lock().set_max_bytes(max_bytes);
        self.has_room.notify_waiters();
    }

    /// Returns the state for the dump.
    pub fn dump(&self) -> Value {
        let held = self.held.lock();
        json!({
            "bytes": held.held_bytes(), "max_bytes": held.max_bytes(),
            "max_answer_bytes": held.max_answer_bytes(), "full": held.is_full(),
        })
    }

    fn add(&self, bytes: usize) {
        self.held.lock().add(bytes as u64);
        self.level.inc_by(bytes as i64);
    }

    fn release(&self, bytes: usize) {
        let resumes = self.held.lock().release(bytes as u64);
        self.level.dec_by(bytes as i64);
        if resumes {
            self.has_room.notify_waiters();
        }
    }

    /// Decides whether an answer of which `answer_bytes` are held may be read; logs and counts when
    /// the host's bound is reached.
    fn decide(&self, answer_bytes: u64) -> ReadDecision {
        let now = self.base.clock.now();
        let (decision, report) = {
            let mut held = self.held.lock();
            (held.decide(answer_bytes), held.take_report(now))
        };
        if let Some(report) = report {
            self.base.metrics.add("answers.bound_reached", report.times);
            slog::warn!(self.base.log, "held answers at their bound, reading waits for callers";
                "held_bytes" => report.held_bytes, "max_bytes" => report.max_bytes,
                "times" => report.times);
        }
        decision
    }
}

/// Amount of one answer that is held.
#[derive(Debug, Clone, Copy, Default)]
pub struct HeldAmount {
    /// Bytes held.
    pub bytes: usize,
    /// Pieces of it that wait in the HTTP server's write queue.
    pub pieces: usize,
}

/// Account of one answer. Its request counts as in flight until the last piece is dropped.
pub struct HeldAnswer {
    memory: Arc<AnswerMemory>,
    amount: Mutex<HeldAmount>,
    /// Notified when a piece is released.
    released: Notify,
    _in_flight: TaskTrackerToken,
}

impl HeldAnswer {
    /// Creates the account of an answer of which nothing is held yet.
    pub fn new(memory: &Arc<AnswerMemory>, in_flight: TaskTrackerToken) -> Arc<Self> {
        Arc::new(HeldAnswer {
            memory: Arc::clone(memory),
            amount: Mutex::default(),
            released: Notify::new(),
            _in_flight: in_flight,
        })
    }

    /// Returns how much of the answer is held.
    pub fn amount(&self) -> HeldAmount {
        *self.amount.lock()
    }

    /// Holds a part of the answer until the returned bytes are dropped.
    pub fn hold(self: &Arc<Self>, data: Bytes) -> Bytes {
        if data.is_empty() {
            return data;
        }
        self.record(data.len());
        self.recorded_piece(data)
    }

    /// Records that `bytes` more of the answer are held. They are released with the piece in which
    /// they are handed over.
    pub fn record(&self, bytes: usize) {
        self.amount.lock().bytes += bytes;
        self.memory.add(bytes);
    }

    /// Hands over bytes that are recorded as held, for the HTTP server; they are released when the
    /// returned piece is dropped.
    pub fn recorded_piece<B>(self: &Arc<Self>, data: B) -> Bytes
    where
        B: AsRef<[u8]> + Send + 'static,
    {
        self.amount.lock().pieces += 1;
        Bytes::from_owner(HeldPiece { data, answer: Arc::clone(self) })
    }

    /// Counts that the answer is buffered because its caller is slow.
    pub fn count_buffered(&self) {
        self.memory.base.metrics.count("answers.buffered");
    }

    /// Waits until more of the answer may be read from its server.
    pub async fn wait_for_room(&self) {
        loop {
            // Created before the decision, so that a notification after it is not missed.
            let has_room = self.memory.has_room.notified();
            tokio::pin!(has_room);
            has_room.as_mut().enable();
            match self.memory.decide(self.amount().bytes as u64) {
                ReadDecision::Read => return,
                ReadDecision::AnswerFull => self.released.notified().await,
                ReadDecision::HostFull => tokio::select! {
                    () = self.released.notified() => {}
                    () = has_room => {}
                },
            }
        }
    }

    /// Waits until nothing of the answer is held.
    pub async fn wait_until_released(&self) {
        while self.amount().bytes > 0 {
            self.released.notified().await;
        }
    }
}

/// A part of an answer that is held until it is dropped.
struct HeldPiece<B: AsRef<[u8]>> {
    data: B,
    answer: Arc<HeldAnswer>,
}

impl<B: AsRef<[u8]>> AsRef<[u8]> for HeldPiece<B> {
    fn as_ref(&self) -> &[u8] {
        self.data.as_ref()
    }
}

impl<B: AsRef<[u8]>> Drop for HeldPiece<B> {
    fn drop(&mut self) {
        let bytes = self.data.as_ref().len();
        {
            let mut amount = self.answer.amount.lock();
            amount.bytes -= bytes;
            amount.pieces -= 1;
        }
        self.answer.memory.release(bytes);
        self.answer.released.notify_one();
    }
}
