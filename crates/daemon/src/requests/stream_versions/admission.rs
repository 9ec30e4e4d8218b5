//! Admission of versions: a listed version is recorded in the store before streams begin at it, and
//! removed when no stream of it can go on any more.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::Millis;
use bankcove_core::Name;
use bankcove_core::stream_versions::{Admission, AdmittedVersions};
use bankcove_ports::{Kind, WriteOutcome};

use crate::peer::PeerServiceClient;
use crate::requests::stream_versions::StreamVersions;

/// Name of the object that contains the versions of all services.
const OBJECT_NAME: &str = "admitted";

/// Longest interval between two checks whether listed versions are admitted.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Pause after a failed read or write.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Pause after peers were asked that do not know all versions.
const PEER_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Number of peers that are asked for the versions that they know to be admitted.
const MAX_PEERS_ASKED: usize = 2;

/// Number of times for which a daemon that learns of changes from peers asks them before the store.
const MAX_PEER_ROUNDS: u32 = 2;

/// Number of conditional writes before a pause; other daemons write the same versions.
const MAX_WRITES: usize = 3;

/// Interval of checks whether admitted versions can be removed.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(30);

/// Time without news of the servers after which this daemon forgets the admitted versions: they may
/// have been removed since.
const FORGET_AFTER_MS: Millis = 60_000;

/// Longest wait for the store when a caller takes up a stream.
const READ_TIMEOUT: Duration = Duration::from_millis(250);

/// Number of reads for the callers that wait: the first may fail because its connection was reset.
const MAX_READS: usize = 2;

/// Versions that the store had at a time.
#[derive(Debug, Default)]
pub(super) struct ReadVersions {
    /// When the read was sent; `None` before the first one.
    asked_at: Option<Millis>,
    /// `None` if the store did not answer.
    versions: Option<AdmittedVersions>,
}

/// Keeps all listed versions admitted, until the daemon ends.
pub async fn keep_admitted(streams: Arc<StreamVersions>) {
    let keep = async {
        let mut failures = 0;
        loop {
            streams.forget_outdated();
            if streams.has_missing() && !streams.admit_missing(failures).await {
                let asked_peers = failures < MAX_PEER_ROUNDS;
                failures += 1;
                let pause = if asked_peers { PEER_RETRY_INTERVAL } else { RETRY_INTERVAL };
                tokio::time::sleep(pause).await;
                continue;
            }
            failures = 0;
            streams.tell_untold().await;
            let changed = streams.fleet.servers_changed.notified();
            let _unchanged = tokio::time::timeout(CHECK_INTERVAL, changed).await;
        }
    };
    tokio::select! {
        () = keep => {}
        () = streams.fleet.base.shutdown.cancelled() => {}
    }
}

/// Removes versions that no server has had for a long time, until the daemon ends.
pub async fn remove_unused(streams: Arc<StreamVersions>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(REMOVAL_INTERVAL) => streams.write_without_unused().await,
            () = streams.fleet.base.shutdown.cancelled() => return,
        }
    }
}

impl StreamVersions {
    /// Returns whether streams of the service may begin at this version.
    pub fn is_admitted(&self, service: &Name, version: Option<&Name>) -> bool {
        // A daemon that was suspended is asked before it forgets.
        !self.is_outdated() && self.admission.lock().may_begin(service, version)
    }

    /// Returns what this daemon knows of the admitted versions, for a peer.
    pub fn admitted(&self) -> Admission {
        self.admission.lock().clone()
    }

    /// Returns the listed versions at which no streams may begin yet.
    fn missing(&self) -> AdmittedVersions {
        let mut listed = AdmittedVersions::default();
        for (service, version) in self.router.lock().version_history().listed() {
            listed.add(service, version);
        }
        let mut admission = self.admission.lock();
        admission.record_listed(&listed);
        admission.missing(&listed)
    }

    fn has_missing(&self) -> bool {
        !self.missing().is_empty()
    }

    fn is_outdated(&self) -> bool {
        let news_age = self.fleet.connectivity.news_age(self.now());
        // Without peers nobody else removes them.
        let has_peers = self.fleet.size().is_none_or(|size| size > 1);
        has_peers && news_age.is_none_or(|age| age > FORGET_AFTER_MS)
    }

    fn forget_outdated(&self) {
        if self.is_outdated() {
            *self.admission.lock() = Admission::default();
        }
    }

    /// Learns from the store or from peers that the listed versions are admitted, or admits them;
    /// returns whether all are. In a large fleet peers are asked first.
    async fn admit_missing(&self, failures: u32) -> bool {
        if failures < MAX_PEER_ROUNDS && self.fleet.is_synced_by_peers() {
            self.ask_peers_for_admitted().await;
            return !self.has_missing();
        }
        let is_available = !self.fleet.connectivity.is_store_unavailable(self.now());
        if is_available && self.write_missing().await {
            return true;
        }
        self.ask_peers_for_admitted().await;
        !self.has_missing()
    }

    /// Adds the listed versions to those in the store; returns whether the store has them.
    async fn write_missing(&self) -> bool {
        for _ in 0..MAX_WRITES {
            let Some((object_version, stored)) = self.read_admitted().await else { return false };
            self.admission.lock().confirm(&stored);
            let missing = self.missing();
            if missing.is_empty() {
                return true;
            }
            // An object that was lost is written anew as a whole.
            let mut next = stored;
            next.merge(self.admission.lock().known());
            next.merge(&missing);
            if self.write_admitted(object_version, &next).await {
                slog::info!(self.fleet.base.log, "versions admitted"; "versions" => ?missing);
                self.admission.lock().confirm(&next);
                return true;
            }
        }
        false
    }

    async fn ask_peers_for_admitted(&self) {
        let timeout = Duration::from_millis(self.fleet.base.cfg.limits.peer_timeout_ms);
        let peers = self.fleet.members.lock().sample(MAX_PEERS_ASKED, rand::random());
        for peer in peers {
            let ask =
                |client: PeerServiceClient, cx| async move { client.admitted_versions(cx).await };
            if let Some(known) = self.fleet.base.peers.call(&peer.address, timeout, ask).await {
                self.admission.lock().merge(&known);
            }
        }
    }

    /// Returns the versions in the store with the version of their object; `None` if the store does
    /// not answer.
    async fn read_admitted(&self) -> Option<(u64, AdmittedVersions)> {
        let read = self.store.read::<AdmittedVersions>(Kind::StreamVersions, OBJECT_NAME).await;
        match read {
            Ok(read) => Some(read.map_or_else(Default::default, |read| (read.version, read.value))),
            Err(e) => {
                slog::info!(self.fleet.base.log, "failed to read admitted versions"; "error" => %e);
                None
            }
        }
    }

    async fn write_admitted(&self, object_version: u64, next: &AdmittedVersions) -> bool {
        let write = self.store.write(Kind::StreamVersions, OBJECT_NAME, object_version, next);
        matches!(write.await, WriteOutcome::Written(_))
    }

    /// Removes the versions that were not listed for as long as a stream can last, if this daemon is
    /// the one that does so.
    async fn write_without_unused(&self) {
        let is_unused = |service: &Name, version: Option<&Name>| {
            let router = self.router.lock();
            router.version_history().is_unused(self.now(), service, version)
        };
        let is_responsible = self.fleet.members.lock().is_first_owner(0);
        let mut kept = self.admission.lock().known().clone();
        kept.retain(|service, version| !is_unused(service, version));
        if kept == *self.admission.lock().known() {
            return;
        }
        self.admission.lock().keep_only(&kept);
        if !is_responsible {
            return;
        }
        let Some((object_version, stored)) = self.read_admitted().await else { return };
        let mut next = stored.clone();
        next.retain(|service, version| !is_unused(service, version));
        if next != stored {
            let written = self.write_admitted(object_version, &next).await;
            slog::info!(self.fleet.base.log, "unused versions removed"; "written" => written);
        }
    }

    /// Returns the only version at which streams of the service may have begun by now, by a read of
    /// the store; requests that wait at the same time share one read.
    pub(super) async fn only_admitted(&self, service: &Name) -> Option<Name> {
        let arrived_at = self.now();
        let mut last = self.last_read.lock().await;
        if last.asked_at.is_none_or(|asked_at| asked_at <= arrived_at) {
            *last = ReadVersions { asked_at: Some(self.now()), versions: None };
            let read = tokio::time::timeout(READ_TIMEOUT, self.read_for_callers()).await;
            last.versions = read.ok().flatten();
        }
        let versions = last.versions.as_ref()?;
        let only = versions.only(service).filter(|_| self.is_only_service(service, versions));
        only.cloned()
    }

    async fn read_for_callers(&self) -> Option<AdmittedVersions> {
        for _ in 0..MAX_READS {
            if let Some((_, versions)) = self.read_admitted().await {
                return Some(versions);
            }
        }
        None
    }
}
