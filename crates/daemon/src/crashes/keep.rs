//! Sentences in the platform's store: the loss of all daemons at once must not let a condemned
//! request crash three servers more.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bankcove_core::crashes::{CrashFacts, HOLD_MS, Sentence};
use bankcove_core::{Fingerprint, Millis, Name};
use bankcove_ports::{Kind, WriteOutcome};
use serde::{Deserialize, Serialize};

use crate::crashes::spread;
use crate::daemon::Daemon;

/// Name of the only object.
const OBJECT: &str = "all";

/// Pause before sentences are written: hosts that found the same one at once write it once, and
/// word of a success that is under way still comes in time.
const SETTLE: Duration = Duration::from_millis(300);

/// Pause after the store did not take or tell the sentences.
const RETRY: Duration = Duration::from_secs(1);

/// Pause between two looks whether the store answers this daemon or a peer.
const AWAY_POLL: Duration = Duration::from_millis(100);

/// The store answers when it did so within this, in milliseconds.
const HEARD_MS: Millis = 2_000;

/// Tries to read what earlier starts have kept, by which time peers have told it.
const READS: u32 = 10;

/// Sentences as the store keeps them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Kept {
    sentences: BTreeMap<Fingerprint, KeptSentence>,
}

/// One sentence as the store keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct KeptSentence {
    /// When the request was condemned, in milliseconds since 1970.
    condemned_ms: Millis,
    /// Servers that crashed under it.
    servers: Vec<Name>,
}

/// Reads what earlier starts have kept, then writes each new sentence, until the daemon ends.
pub async fn keep(daemon: Arc<Daemon>) {
    tokio::select! {
        () = read_then_write(&daemon) => {}
        () = daemon.ended.cancelled() => {}
    }
}

async fn read_then_write(daemon: &Arc<Daemon>) {
    for _ in 0..READS {
        store_answers(daemon).await;
        match read(daemon).await {
            Ok((_, kept)) => {
                take_in(daemon, kept);
                break;
            }
            Err(e) => slog::info!(daemon.log, "kept sentences not read yet"; "error" => %e),
        }
        tokio::time::sleep(RETRY).await;
    }
    loop {
        daemon.crashes.to_keep.notified().await;
        tokio::time::sleep(SETTLE).await;
        while !write(daemon).await {
            tokio::time::sleep(RETRY).await;
            store_answers(daemon).await;
        }
    }
}

async fn store_answers(daemon: &Daemon) {
    let is_heard = || {
        let age = daemon.contact.store_age(daemon.clock.now());
        age.is_some_and(|age| age < HEARD_MS)
    };
    while !is_heard() {
        tokio::time::sleep(AWAY_POLL).await;
    }
}

async fn read(daemon: &Daemon) -> bankcove_ports::Result<(u64, Kept)> {
    let read = daemon.store.read::<Kept>(Kind::Condemned, OBJECT).await?;
    Ok(read.map_or((0, Kept::default()), |read| (read.version, read.value)))
}

fn take_in(daemon: &Arc<Daemon>, kept: Kept) {
    let now_ms = daemon.clock.unix_ms();
    let sentence = |(request, kept): (Fingerprint, KeptSentence)| Sentence {
        request,
        age_ms: now_ms.saturating_sub(kept.condemned_ms),
        servers: kept.servers,
    };
    let sentences: Vec<Sentence> = kept.sentences.into_iter().map(sentence).collect();
    spread::told(daemon, CrashFacts { sentences, ..CrashFacts::default() });
}

/// Writes the sentences that are known here to those that are kept; whether the store has them.
async fn write(daemon: &Daemon) -> bool {
    let (version, kept) = match read(daemon).await {
        Ok(read) => read,
        Err(e) => {
            slog::info!(daemon.log, "sentences not kept yet"; "error" => %e);
            return false;
        }
    };
    let next = merged(daemon, kept.clone());
    if next == kept {
        return true;
    }
    let outcome = daemon.store.write(Kind::Condemned, OBJECT, version, &next).await;
    let is_written = matches!(outcome, WriteOutcome::Written(_));
    slog::info!(daemon.log, "sentences kept"; "written" => is_written, "count" => next.sentences.len());
    is_written
}

/// What is kept, without what is over or lifted, and what is known here.
fn merged(daemon: &Daemon, mut kept: Kept) -> Kept {
    let (now, now_ms) = (daemon.clock.now(), daemon.clock.unix_ms());
    let book = daemon.crashes.book.lock();
    kept.sentences.retain(|request, sentence| {
        let age_ms = now_ms.saturating_sub(sentence.condemned_ms);
        age_ms < HOLD_MS && !book.is_cleared_since(*request, now.saturating_sub(age_ms))
    });
    for sentence in book.sentences(now) {
        let condemned_ms = now_ms.saturating_sub(sentence.age_ms);
        let servers = sentence.servers;
        kept.sentences.entry(sentence.request).or_insert(KeptSentence { condemned_ms, servers });
    }
    kept
}
