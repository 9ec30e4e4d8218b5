//! Crashes that are remembered, by server and by request, and which of them speak against a
//! request.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::facts::{Crash, ServerStart};
use crate::{Fingerprint, Millis};

/// How long a crash is remembered, in milliseconds: a caller that comes every minute is still
/// stopped at its third one.
const RETENTION_MS: Millis = 300_000;

/// Crashes that are told are younger than this, in milliseconds: what one daemon has just
/// forgotten must not come back from another.
const REPORTED_MS: Millis = RETENTION_MS - 10_000;

/// Crashes remembered at most: of a pool that a crash a second keeps down, some four minutes.
const MAX_CRASHES: usize = 256;

/// Requests remembered of one crash at most: twice what an engine runs at once.
const MAX_ABOARD: usize = 128;

/// Crashes within this of the first one may have one cause, in milliseconds: hosts see those
/// of a rack within some 10 ms, and a word between hosts is under way for some 10 ms more.
const SAME_MOMENT_MS: Millis = 100;

/// Crashes that speak against a request.
#[derive(Debug, Clone, Default)]
pub(super) struct Evidence<'a> {
    /// The servers, the first one first.
    pub(super) servers: Vec<&'a ServerStart>,
    /// How many moments they crashed in.
    pub(super) moments: usize,
}

/// One crash.
#[derive(Debug, Clone, Default)]
struct Remembered {
    at: Millis,
    running: BTreeSet<Fingerprint>,
}

/// The crashes that are remembered.
#[derive(Debug, Clone, Default)]
pub(super) struct CrashHistory {
    crashes: BTreeMap<ServerStart, Remembered>,
    by_request: HashMap<Fingerprint, BTreeSet<ServerStart>>,
    dropped: u64,
}

impl CrashHistory {
    pub(super) fn len(&self) -> usize {
        self.crashes.len()
    }

    /// Facts that gave way to newer ones.
    pub(super) fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Whether this start of a server is known to have crashed.
    pub(super) fn has(&self, server: &ServerStart) -> bool {
        self.crashes.contains_key(server)
    }

    /// How many crashes this request was aboard of, whatever their cause.
    pub(super) fn crash_count(&self, request: Fingerprint) -> usize {
        self.by_request.get(&request).map_or(0, BTreeSet::len)
    }

    /// Requests that this start of a server was running when it crashed.
    pub(super) fn requests_of(&self, server: &ServerStart) -> impl Iterator<Item = Fingerprint> {
        self.crashes.get(server).into_iter().flat_map(|crash| crash.running.iter().copied())
    }

    /// Requests that were aboard of a crash beside this one, and this one.
    pub(super) fn crashed_with(&self, request: Fingerprint) -> impl Iterator<Item = Fingerprint> {
        let servers = self.by_request.get(&request).into_iter().flatten();
        servers.flat_map(|server| self.requests_of(server))
    }

    /// Adds a crash, or to what is known of it; the requests that are new there.
    pub(super) fn add(
        &mut self,
        at: Millis,
        server: &ServerStart,
        running: impl IntoIterator<Item = Fingerprint>,
    ) -> Vec<Fingerprint> {
        let crash = self
            .crashes
            .entry(server.clone())
            .or_insert_with(|| Remembered { at, running: BTreeSet::new() });
        let mut new = Vec::new();
        for request in running {
            if crash.running.len() >= MAX_ABOARD && !crash.running.contains(&request) {
                self.dropped += 1;
                continue;
            }
            if crash.running.insert(request) {
                self.by_request.entry(request).or_default().insert(server.clone());
                new.push(request);
            }
        }
        self.make_room();
        new
    }

    /// Forgets crashes that are too long ago.
    pub(super) fn forget_old(&mut self, now: Millis) {
        let is_old = |crash: &Remembered| now.saturating_sub(crash.at) >= RETENTION_MS;
        let old = self.crashes.iter().filter(|(_, crash)| is_old(crash));
        let old: Vec<ServerStart> = old.map(|(server, _)| server.clone()).collect();
        old.iter().for_each(|server| self.forget(server));
    }

    /// Whether a crash of this age is still worth telling.
    pub(super) fn is_reported_at(age_ms: Millis) -> bool {
        age_ms < REPORTED_MS
    }

    /// The crashes that are told to a peer.
    pub(super) fn told(&self, now: Millis) -> impl Iterator<Item = Crash> {
        let crashes = self.crashes.iter().map(move |(server, crash)| Crash {
            server: server.clone(),
            age_ms: now.saturating_sub(crash.at),
            running: crash.running.clone(),
        });
        crashes.filter(|crash| Self::is_reported_at(crash.age_ms))
    }

    /// Crashes that speak against `request`, the earliest first: those after `since`, but for
    /// those that a request which `explains` has caused, and those of one moment with crashes
    /// of servers that were not running it, which count once. A caller whose copies run on
    /// several servers of a rack that loses power has crashed none of them.
    pub(super) fn against(
        &self,
        request: Fingerprint,
        since: Option<Millis>,
        explains: impl Fn(&Fingerprint) -> bool,
    ) -> Evidence<'_> {
        let servers = self.by_request.get(&request).into_iter().flatten();
        let crashes = servers.filter_map(|server| self.crashes.get_key_value(server));
        let mut crashes: Vec<(&ServerStart, &Remembered)> = crashes
            .filter(|(_, crash)| since.is_none_or(|since| crash.at > since))
            .filter(|(_, crash)| {
                !crash.running.iter().any(|other| *other != request && explains(other))
            })
            .collect();
        crashes.sort_by_key(|(_, crash)| crash.at);
        crashes.dedup_by(|(_, later), (_, first)| self.is_one_cause(request, first, later));
        let mut moments = 0;
        let mut began = None;
        for (_, crash) in &crashes {
            if began.is_none_or(|began| crash.at - began > SAME_MOMENT_MS) {
                began = Some(crash.at);
                moments += 1;
            }
        }
        Evidence { servers: crashes.into_iter().map(|(server, _)| server).collect(), moments }
    }

    /// Whether a server crashed under the request after `from`, up to `to`.
    pub(super) fn was_aboard_between(
        &self,
        request: Fingerprint,
        from: Millis,
        to: Millis,
    ) -> bool {
        let servers = self.by_request.get(&request).into_iter().flatten();
        let mut crashes = servers.filter_map(|server| self.crashes.get(server));
        crashes.any(|crash| crash.at > from && crash.at <= to)
    }

    /// Whether both crashes came at one moment, in which a server crashed as well that was
    /// not running `request`.
    fn is_one_cause(&self, request: Fingerprint, first: &Remembered, later: &Remembered) -> bool {
        let is_near = |crash: &Remembered| crash.at.abs_diff(first.at) <= SAME_MOMENT_MS;
        let of_others = |crash: &Remembered| is_near(crash) && !crash.running.contains(&request);
        is_near(later) && self.crashes.values().any(of_others)
    }

    fn make_room(&mut self) {
        while self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
            let Some(oldest) = oldest.map(|(server, _)| server.clone()) else { return };
            self.forget(&oldest);
            self.dropped += 1;
        }
    }

    fn forget(&mut self, server: &ServerStart) {
        let Some(crash) = self.crashes.remove(server) else { return };
        for request in &crash.running {
            let Some(servers) = self.by_request.get_mut(request) else { continue };
            servers.remove(server);
            if servers.is_empty() {
                self.by_request.remove(request);
            }
        }
    }
}
