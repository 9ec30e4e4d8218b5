//! Bounds on the answers that a host holds for callers that read slowly.
//!
//! A server cuts off an answer that stays unread for some seconds, so an answer is read from the
//! server faster than its caller reads it, and the difference is held in memory. Past a bound,
//! reading from the server waits for the caller.

use crate::Millis;

/// Maximum number of bytes that one read from a server returns.
pub const MAX_READ_BYTES: u64 = 64 << 10;

/// Divisor of the host's bound for the bound of one answer: a few callers that read nothing must
/// not use up what is held for all.
const ANSWER_DIVISOR: u64 = 16;

/// Fraction of the host's bound, as numerator and denominator, below which reading continues once
/// the bound was reached. A lower one wakes waiting answers less often.
const RESUME_FRACTION: (u64, u64) = (7, 8);

/// Minimum interval between two reports that the host's bound is reached, in milliseconds.
const REPORT_INTERVAL_MS: Millis = 10_000;

/// Whether an answer may be read from its server now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadDecision {
    /// The next bytes may be read and held.
    Read,
    /// The answer's own bound is reached: its caller has to read first.
    AnswerFull,
    /// The host's bound is reached: the caller has to read first, or others have to.
    HostFull,
}

/// Report that the host's bound is reached, for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BoundReport {
    /// Bytes held.
    pub held_bytes: u64,
    /// The host's bound.
    pub max_bytes: u64,
    /// How often the bound was reached since the last report, this time included.
    pub times: u64,
}

/// Bytes of answers that the host holds, and the bounds on them.
#[derive(Debug, Clone)]
pub struct HeldAnswers {
    max_bytes: u64,
    held_bytes: u64,
    /// Whether the bound was reached, and less than [`RESUME_FRACTION`] has been released since.
    is_full: bool,
    /// How often the bound was reached since the last report.
    unreported: u64,
    reported_at: Option<Millis>,
}

impl HeldAnswers {
    /// Creates the state of a host that holds at most `max_bytes`, beside one read of each answer.
    /// With 0, no answer is read faster than its caller reads it.
    pub fn new(max_bytes: u64) -> Self {
        HeldAnswers { max_bytes, held_bytes: 0, is_full: false, unreported: 0, reported_at: None }
    }

    /// Replaces the host's bound.
    pub fn set_max_bytes(&mut self, max_bytes: u64) {
        self.max_bytes = max_bytes;
        self.is_full = false;
    }

    /// Returns the bytes held.
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Returns the host's bound.
    pub fn max_bytes(&self) -> u64 {
        self.max_bytes
    }

    /// Returns the bound of one answer.
    pub fn max_answer_bytes(&self) -> u64 {
        self.max_bytes / ANSWER_DIVISOR
    }

    /// Returns whether answers wait because the host's bound is reached.
    pub fn is_full(&self) -> bool {
        self.is_full
    }

    /// Decides whether an answer of which `answer_bytes` are held may be read from its server. An
    /// answer of which nothing is held may always be read: its caller waits for it.
    pub fn decide(&mut self, answer_bytes: u64) -> ReadDecision {
        if answer_bytes == 0 {
            return ReadDecision::Read;
        }
        if answer_bytes + MAX_READ_BYTES > self.max_answer_bytes() {
            return ReadDecision::AnswerFull;
        }
        if !self.is_full && self.held_bytes + MAX_READ_BYTES > self.max_bytes {
            self.is_full = true;
            self.unreported += 1;
        }
        if self.is_full { ReadDecision::HostFull } else { ReadDecision::Read }
    }

    /// Returns a report if the host's bound was reached and the last report is long enough ago.
    pub fn take_report(&mut self, now: Millis) -> Option<BoundReport> {
        let is_due = self.reported_at.is_none_or(|at| now.saturating_sub(at) >= REPORT_INTERVAL_MS);
        if self.unreported == 0 || !is_due {
            return None;
        }
        self.reported_at = Some(now);
        let times = std::mem::take(&mut self.unreported);
        Some(BoundReport { held_bytes: self.held_bytes, max_bytes: self.max_bytes, times })
    }

    /// Records that `bytes` more are held.
    pub fn add(&mut self, bytes: u64) {
        self.held_bytes += bytes;
    }

    /// Records that `bytes` are no longer held. Returns whether answers that waited for the host's
    /// bound may be read again.
    pub fn release(&mut self, bytes: u64) -> bool {
        self.held_bytes = self.held_bytes.saturating_sub(bytes);
        let (numerator, denominator) = RESUME_FRACTION;
        let has_room = self.held_bytes <= self.max_bytes / denominator * numerator;
        let resumes = self.is_full && has_room;
        self.is_full &= !has_room;
        resumes
    }
}
