//! Persistence of blocks in the platform's store, so that a blocked request does not crash three
//! more servers after the loss of all daemons at once.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bankcove_core::crashes::{BLOCK_DURATION_MS, Block, CrashFacts};
use bankcove_core::{Fingerprint, Millis, Name};
use bankcove_ports::{Kind, WriteOutcome};
use serde::{Deserialize, Serialize};

use crate::crashes::Crashes;

/// Name of the object that contains all blocks.
const OBJECT_NAME: &str = "all";

/// Delay before blocks are written, so that hosts that decide on the same block simultaneously
/// write it once, and that reports of a success still in transit arrive in time.
const WRITE_DELAY: Duration = Duration::from_millis(300);

/// Pause after a failed read or write of the blocks.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Pause between two checks whether the store answers this daemon or a peer.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The store counts as available for this time after its last answer, in milliseconds.
const MAX_STORE_AGE_MS: Millis = 2_000;

/// Number of attempts to read the blocks of earlier incarnations; by then peers have reported them.
const MAX_READS: u32 = 10;

/// Stored form of all blocks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct StoredBlocks {
    blocks: BTreeMap<Fingerprint, StoredBlock>,
}

/// Stored form of one block.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct StoredBlock {
    /// When the request was blocked, in milliseconds since 1970.
    blocked_ms: Millis,
    /// Servers that crashed while running the request.
    servers: Vec<Name>,
}

/// Reads the blocks of earlier incarnations, then writes each new block, until the daemon ends.
pub async fn persist_blocks(crashes: Arc<Crashes>) {
    tokio::select! {
        () = read_then_write(&crashes) => {}
        () = crashes.fleet.base.shutdown.cancelled() => {}
    }
}

async fn read_then_write(crashes: &Arc<Crashes>) {
    for _ in 0..MAX_READS {
        wait_for_store(crashes).await;
        match read(crashes).await {
            Ok((_, stored)) => {
                merge_stored(crashes, stored);
                break;
            }
            Err(e) => {
                slog::info!(crashes.fleet.base.log, "failed to read stored blocks"; "error" => %e)
            }
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
    loop {
        crashes.to_persist.notified().await;
        tokio::time::sleep(WRITE_DELAY).await;
        while !write(crashes).await {
            tokio::time::sleep(RETRY_INTERVAL).await;
            wait_for_store(crashes).await;
        }
    }
}

/// Waits until the store has answered this daemon or a peer recently.
async fn wait_for_store(crashes: &Crashes) {
    let is_reachable = || {
        let age = crashes.fleet.connectivity.store_age(crashes.fleet.base.clock.now());
        age.is_some_and(|age| age < MAX_STORE_AGE_MS)
    };
    while !is_reachable() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the stored blocks and their version; version 0 if there are none.
async fn read(crashes: &Crashes) -> bankcove_ports::Result<(u64, StoredBlocks)> {
    let read = crashes.store.read::<StoredBlocks>(Kind::Blocked, OBJECT_NAME).await?;
    Ok(read.map_or((0, StoredBlocks::default()), |read| (read.version, read.value)))
}

/// Merges stored blocks into the crash state.
fn merge_stored(crashes: &Arc<Crashes>, stored: StoredBlocks) {
    let now_ms = crashes.fleet.base.clock.unix_ms();
    let block = |(request, stored): (Fingerprint, StoredBlock)| Block {
        request,
        age_ms: now_ms.saturating_sub(stored.blocked_ms),
        servers: stored.servers,
    };
    let blocks: Vec<Block> = stored.blocks.into_iter().map(block).collect();
    crashes.merge_facts(CrashFacts { blocks, ..CrashFacts::default() });
}

/// Adds the blocks in force on this daemon to the stored ones; returns whether the store has them.
async fn write(crashes: &Crashes) -> bool {
    let (version, stored) = match read(crashes).await {
        Ok(read) => read,
        Err(e) => {
            slog::info!(crashes.fleet.base.log, "failed to read stored blocks before writing"; "error" => %e);
            return false;
        }
    };
    let next = merged(crashes, stored.clone());
    if next == stored {
        return true;
    }
    let outcome = crashes.store.write(Kind::Blocked, OBJECT_NAME, version, &next).await;
    let is_written = matches!(outcome, WriteOutcome::Written(_));
    slog::info!(crashes.fleet.base.log, "block write finished"; "written" => is_written, "count" => next.blocks.len());
    is_written
}

/// Returns the stored blocks without expired and lifted ones, together with the blocks in force on
/// this daemon.
fn merged(crashes: &Crashes, mut stored: StoredBlocks) -> StoredBlocks {
    let (now, now_ms) = (crashes.fleet.base.clock.now(), crashes.fleet.base.clock.unix_ms());
    let tracker = crashes.tracker.lock();
    stored.blocks.retain(|request, block| {
        let age_ms = now_ms.saturating_sub(block.blocked_ms);
        age_ms < BLOCK_DURATION_MS
            && !tracker.is_cleared_since(*request, now.saturating_sub(age_ms))
    });
    for block in tracker.blocks(now) {
        let blocked_ms = now_ms.saturating_sub(block.age_ms);
        let servers = block.servers;
        stored.blocks.entry(block.request).or_insert(StoredBlock { blocked_ms, servers });
    }
    stored
}
