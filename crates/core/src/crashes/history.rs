//! Recent crashes, indexed by server instance and by request, and the evidence against a request
//! that follows from them.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use xxhash_rust::xxh3::xxh3_64;

use super::facts::{Crash, ServerInstance};
use crate::{Fingerprint, Millis};

/// Retention of crashes, in milliseconds: long enough to block a caller that retries every minute
/// at its third crash.
const RETENTION_MS: Millis = 300_000;

/// Maximum age of crashes that are sent to peers, in milliseconds. It is below the retention, so
/// that a crash that one daemon has just removed is not sent back by another.
const MAX_REPORTED_AGE_MS: Millis = RETENTION_MS - 10_000;

/// Maximum number of crashes: about four minutes at one crash per second.
const MAX_CRASHES: usize = 256;

/// Maximum number of requests per crash: twice what an engine runs concurrently.
const MAX_REQUESTS_PER_CRASH: usize = 128;

/// Maximum number of prompt parts per crash: four for each of these requests.
const MAX_PARTS_PER_CRASH: usize = 512;

/// Crashes within this time of the first one, in milliseconds, may have a common cause: hosts
/// detect the crashes of a rack within about 10 ms, and a message between hosts takes about
/// 10 ms more.
const INCIDENT_WINDOW_MS: Millis = 100;

/// Crashes that count against a request.
#[derive(Debug, Clone, Default)]
pub(super) struct Evidence<'a> {
    /// Crashed servers, in the order of their crashes.
    pub(super) servers: Vec<&'a ServerInstance>,
    /// Number of incidents, that is groups of nearly simultaneous crashes.
    pub(super) incidents: usize,
}

/// Time of a crash and the requests that its server was running.
#[derive(Debug, Clone, Default)]
struct CrashRecord {
    at: Millis,
    running: BTreeSet<Fingerprint>,
    /// Number of prompt parts in `running`.
    parts: usize,
    /// Sum of the hashes of the server with each of `running`.
    digest: u64,
}

impl CrashRecord {
    /// Returns whether there is room for a further one of this kind.
    fn has_room_for(&self, one: Fingerprint) -> bool {
        if one.is_part() {
            self.parts < MAX_PARTS_PER_CRASH
        } else {
            self.running.len() - self.parts < MAX_REQUESTS_PER_CRASH
        }
    }
}

/// Returns what a server's run of a request or part adds to the digest.
fn digest_term(server: &ServerInstance, one: Fingerprint) -> u64 {
    let name = server.name.as_str().as_bytes();
    xxh3_64(&[name, &server.started_ms.to_le_bytes(), &one.0.to_le_bytes()].concat())
}

/// Servers that crashed while they were running a request or part.
#[derive(Debug, Clone, Default)]
struct CrashedServers {
    servers: BTreeSet<ServerInstance>,
    /// Time of the last of these crashes.
    last_at: Millis,
}

/// Recent crashes, bounded in age and number.
#[derive(Debug, Clone, Default)]
pub(super) struct CrashHistory {
    crashes: BTreeMap<ServerInstance, CrashRecord>,
    by_request: HashMap<Fingerprint, CrashedServers>,
    dropped: u64,
}

impl CrashHistory {
    pub(super) fn len(&self) -> usize {
        self.crashes.len()
    }

    /// Returns the number of crashes evicted and requests left out because of the size bounds.
    pub(super) fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns whether this server instance is known to have crashed.
    pub(super) fn contains(&self, server: &ServerInstance) -> bool {
        self.crashes.contains_key(server)
    }

    /// Returns the number of crashes of servers that were running this request, whatever their
    /// cause.
    pub(super) fn crash_count(&self, request: Fingerprint) -> usize {
        self.by_request.get(&request).map_or(0, |crashed| crashed.servers.len())
    }

    /// Returns the requests that this server instance was running when it crashed.
    pub(super) fn requests_of(&self, server: &ServerInstance) -> impl Iterator<Item = Fingerprint> {
        self.crashes.get(server).into_iter().flat_map(|crash| crash.running.iter().copied())
    }

    /// Returns the requests that share a crash with this one, and this one.
    pub(super) fn crashed_with(&self, request: Fingerprint) -> impl Iterator<Item = Fingerprint> {
        self.servers_of(request).flat_map(|server| self.requests_of(server))
    }

    /// Returns the servers that crashed while they were running this request or part.
    fn servers_of(&self, one: Fingerprint) -> impl Iterator<Item = &ServerInstance> {
        self.by_request.get(&one).into_iter().flat_map(|crashed| &crashed.servers)
    }

    /// Adds a crash, or requests to a known crash; returns the requests that are new for it.
    pub(super) fn add(
        &mut self,
        at: Millis,
        server: &ServerInstance,
        running: impl IntoIterator<Item = Fingerprint>,
    ) -> Vec<Fingerprint> {
        let crash = self
            .crashes
            .entry(server.clone())
            .or_insert_with(|| CrashRecord { at, ..CrashRecord::default() });
        let mut new = Vec::new();
        for request in running {
            if crash.running.contains(&request) {
                continue;
            }
            if !crash.has_room_for(request) {
                self.dropped += 1;
                continue;
            }
            if crash.running.insert(request) {
                crash.parts += usize::from(request.is_part());
                crash.digest = crash.digest.wrapping_add(digest_term(server, request));
                let crashed = self.by_request.entry(request).or_default();
                crashed.servers.insert(server.clone());
                crashed.last_at = crashed.last_at.max(crash.at);
                new.push(request);
            }
        }
        self.evict_oldest();
        new
    }

    /// Removes crashes that are older than the retention.
    pub(super) fn remove_expired(&mut self, now: Millis) {
        let is_expired = |crash: &CrashRecord| now.saturating_sub(crash.at) >= RETENTION_MS;
        let expired = self.crashes.iter().filter(|(_, crash)| is_expired(crash));
        let expired: Vec<ServerInstance> = expired.map(|(server, _)| server.clone()).collect();
        expired.iter().for_each(|server| self.remove(server));
    }

    /// Returns whether a crash of this age is sent to peers.
    pub(super) fn is_reportable(age_ms: Millis) -> bool {
        age_ms < MAX_REPORTED_AGE_MS
    }

    /// Returns an order-independent hash of the crashes that are sent to peers.
    pub(super) fn digest(&self, now: Millis) -> u64 {
        let reportable =
            self.crashes.values().filter(|crash| Self::is_reportable(now.saturating_sub(crash.at)));
        reportable.fold(0, |sum, crash| sum.wrapping_add(crash.digest))
    }

    /// Returns the time of a crash.
    pub(super) fn time_of(&self, server: &ServerInstance) -> Option<Millis> {
        self.crashes.get(server).map(|crash| crash.at)
    }

    /// Returns the servers of a pool that crashed from `since` on, as far as prompt parts were there
    /// and none of the requests and parts there `explains` the crash.
    pub(super) fn crashes_of_pool(
        &self,
        pool: u32,
        since: Millis,
        explains: impl Fn(&Fingerprint) -> bool,
    ) -> usize {
        let is_of_pool = |one: &Fingerprint| one.is_part() && one.part_pool() == pool;
        let counts = |crash: &&CrashRecord| {
            crash.at >= since
                && crash.running.iter().any(is_of_pool)
                && !crash.running.iter().any(&explains)
        };
        self.crashes.values().filter(counts).count()
    }

    /// Returns the number of crashes of servers that were running this request or part, after `from`
    /// and up to `to`.
    pub(super) fn crashes_between(&self, one: Fingerprint, from: Millis, to: Millis) -> usize {
        let crashes = self.servers_of(one).filter_map(|server| self.crashes.get(server));
        crashes.filter(|crash| crash.at > from && crash.at <= to).count()
    }

    /// Returns the crashes that are sent to peers.
    pub(super) fn reportable(&self, now: Millis) -> impl Iterator<Item = Crash> {
        let crashes = self.crashes.iter().map(move |(server, crash)| Crash {
            server: server.clone(),
            age_ms: now.saturating_sub(crash.at),
            running: crash.running.clone(),
        });
        crashes.filter(|crash| Self::is_reportable(crash.age_ms))
    }

    /// Returns the crashes after `since` that count against `request`, earliest first. Crashes
    /// that another request `explains` don't count. Crashes at the same time as one of a server
    /// that was not running `request` count once: a request with copies on several servers of a
    /// rack that loses power has crashed none of them.
    pub(super) fn evidence_against(
        &self,
        request: Fingerprint,
        since: Option<Millis>,
        explains: impl Fn(&Fingerprint) -> bool,
    ) -> Evidence<'_> {
        let last_at = self.by_request.get(&request).map_or(0, |crashed| crashed.last_at);
        // Popular parts are at many crashes, and nearly always cleared.
        if since.is_some_and(|since| since >= last_at) {
            return Evidence::default();
        }
        let crashes =
            self.servers_of(request).filter_map(|server| self.crashes.get_key_value(server));
        let mut crashes: Vec<(&ServerInstance, &CrashRecord)> = crashes
            .filter(|(_, crash)| since.is_none_or(|since| crash.at > since))
            .filter(|(_, crash)| {
                !crash.running.iter().any(|other| *other != request && explains(other))
            })
            .collect();
        crashes.sort_by_key(|(_, crash)| crash.at);
        crashes.dedup_by(|(_, later), (_, first)| self.has_common_cause(request, first, later));
        let mut incidents = 0;
        let mut incident_start = None;
        for (_, crash) in &crashes {
            if incident_start
                .is_none_or(|incident_start| crash.at - incident_start > INCIDENT_WINDOW_MS)
            {
                incident_start = Some(crash.at);
                incidents += 1;
            }
        }
        Evidence { servers: crashes.into_iter().map(|(server, _)| server).collect(), incidents }
    }

    /// Returns whether both crashes happened at the same time as the crash of a server that was not
    /// running `request`.
    fn has_common_cause(
        &self,
        request: Fingerprint,
        first: &CrashRecord,
        later: &CrashRecord,
    ) -> bool {
        let is_near = |crash: &CrashRecord| crash.at.abs_diff(first.at) <= INCIDENT_WINDOW_MS;
        let is_unrelated =
            |crash: &CrashRecord| is_near(crash) && !crash.running.contains(&request);
        is_near(later) && self.crashes.values().any(is_unrelated)
    }

    /// Evicts the oldest crashes while there are too many.
    fn evict_oldest(&mut self) {
        while self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
            let Some(oldest) = oldest.map(|(server, _)| server.clone()) else { return };
            self.remove(&oldest);
            self.dropped += 1;
        }
    }

    fn remove(&mut self, server: &ServerInstance) {
        let Some(crash) = self.crashes.remove(server) else { return };
        for request in &crash.running {
            let Some(crashed) = self.by_request.get_mut(request) else { continue };
            crashed.servers.remove(server);
            if crashed.servers.is_empty() {
                self.by_request.remove(request);
            }
        }
    }
}
