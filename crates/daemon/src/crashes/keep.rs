//! Blocks in the platform's store: the loss of all daemons at once must not let a blocked
//! request crash three servers more.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bankcove_core::crashes::{BLOCK_DURATION_MS, Block, CrashFacts};
use bankcove_core::{Fingerprint, Millis, Name};
use bankcove_ports::{Kind, WriteOutcome};
use serde::{Deserialize, Serialize};

use crate::crashes::Crashes;

/// Name of the only object.
const OBJECT: &str = "all";

/// Pause before blocks are written: hosts that found the same one at once write it once, and
/// word of a success that is under way still comes in time.
const SETTLE: Duration = Duration::from_millis(300);

/// Pause after the store did not take or tell the blocks.
const RETRY: Duration = Duration::from_secs(1);

/// Pause between two looks whether the store answers this daemon or a peer.
const AWAY_POLL: Duration = Duration::from_millis(100);

/// The store answers when it did so within this, in milliseconds.
const HEARD_MS: Millis = 2_000;

/// Tries to read what earlier starts have kept, by which time peers have told it.
const READS: u32 = 10;

/// Blocks as the store keeps them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Kept {
    blocks: BTreeMap<Fingerprint, KeptBlock>,
}

/// One block as the store keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct KeptBlock {
    /// When the request was blocked, in milliseconds since 1970.
    blocked_ms: Millis,
    /// Servers that crashed under it.
    servers: Vec<Name>,
}

/// Reads what earlier starts have kept, then writes each new block, until the daemon ends.
pub async fn keep(crashes: Arc<Crashes>) {
    tokio::select! {
        () = read_then_write(&crashes) => {}
        () = crashes.fleet.base.shutdown.cancelled() => {}
    }
}

async fn read_then_write(crashes: &Arc<Crashes>) {
    for _ in 0..READS {
        store_answers(crashes).await;
        match read(crashes).await {
            Ok((_, kept)) => {
                take_in(crashes, kept);
                break;
            }
            Err(e) => {
                slog::info!(crashes.fleet.base.log, "kept blocks not read yet"; "error" => %e)
            }
        }
        tokio::time::sleep(RETRY).await;
    }
    loop {
        crashes.to_keep.notified().await;
        tokio::time::sleep(SETTLE).await;
        while !write(crashes).await {
            tokio::time::sleep(RETRY).await;
            store_answers(crashes).await;
        }
    }
}

async fn store_answers(crashes: &Crashes) {
    let is_heard = || {
        let age = crashes.fleet.contact.store_age(crashes.fleet.base.clock.now());
        age.is_some_and(|age| age < HEARD_MS)
    };
    while !is_heard() {
        tokio::time::sleep(AWAY_POLL).await;
    }
}

async fn read(crashes: &Crashes) -> bankcove_ports::Result<(u64, Kept)> {
    let read = crashes.store.read::<Kept>(Kind::Blocked, OBJECT).await?;
    Ok(read.map_or((0, Kept::default()), |read| (read.version, read.value)))
}

fn take_in(crashes: &Arc<Crashes>, kept: Kept) {
    let now_ms = crashes.fleet.base.clock.unix_ms();
    let block = |(request, kept): (Fingerprint, KeptBlock)| Block {
        request,
        age_ms: now_ms.saturating_sub(kept.blocked_ms),
        servers: kept.servers,
    };
    let blocks: Vec<Block> = kept.blocks.into_iter().map(block).collect();
    crashes.told(CrashFacts { blocks, ..CrashFacts::default() });
}

/// Writes the blocks that are known here to those that are kept; whether the store has them.
async fn write(crashes: &Crashes) -> bool {
    let (version, kept) = match read(crashes).await {
        Ok(read) => read,
        Err(e) => {
            slog::info!(crashes.fleet.base.log, "blocks not kept yet"; "error" => %e);
            return false;
        }
    };
    let next = merged(crashes, kept.clone());
    if next == kept {
        return true;
    }
    let outcome = crashes.store.write(Kind::Blocked, OBJECT, version, &next).await;
    let is_written = matches!(outcome, WriteOutcome::Written(_));
    slog::info!(crashes.fleet.base.log, "blocks kept"; "written" => is_written, "count" => next.blocks.len());
    is_written
}

/// What is kept, without what is over or lifted, and what is known here.
fn merged(crashes: &Crashes, mut kept: Kept) -> Kept {
    let (now, now_ms) = (crashes.fleet.base.clock.now(), crashes.fleet.base.clock.unix_ms());
    let book = crashes.book.lock();
    kept.blocks.retain(|request, block| {
        let age_ms = now_ms.saturating_sub(block.blocked_ms);
        age_ms < BLOCK_DURATION_MS && !book.is_cleared_since(*request, now.saturating_sub(age_ms))
    });
    for block in book.blocks(now) {
        let blocked_ms = now_ms.saturating_sub(block.age_ms);
        let servers = block.servers;
        kept.blocks.entry(block.request).or_insert(KeptBlock { blocked_ms, servers });
    }
    kept
}
