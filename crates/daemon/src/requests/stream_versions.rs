//! Versions of interrupted streams: this daemon's records, those that peers keep for it, and the
//! versions that the list of servers allows.
//!
//! While a pool may have servers of several versions, a daemon tells a few peers the version of each
//! stream that can be resumed, before it forwards the first event. The peers are selected by the
//! stream's key, so that any daemon finds them when a caller takes the stream up there.

pub mod admission;

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use bankcove_core::members::Peer;
use bankcove_core::router::Router;
use bankcove_core::stream_versions::{
    Admission, AdmittedVersions, Lookup, Source, StreamAnswer, StreamKey, StreamRecords,
};
use bankcove_core::table::Table;
use bankcove_core::{Millis, Name};
use bankcove_ports::Store;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use parking_lot::Mutex;
use serde_json::{Value, json};
use slog::Logger;

use crate::fleet::Fleet;
use crate::peer::PeerServiceClient;
use crate::requests::stream_versions::admission::ReadVersions;

/// Number of peers that keep a record of a stream. With the daemon that carries it, the record
/// survives the loss of any three daemons at once.
const COPIES: usize = 3;

/// Number of peers that are asked for a record: those that keep it, also if this daemon ranks them
/// differently.
const MAX_ASKED: usize = 8;

/// Longest wait for the first peer to accept a record, while the first event is held back.
const TELL_TIMEOUT: Duration = Duration::from_millis(100);

/// A stream whose version is needed or known.
#[derive(Debug, Clone)]
pub struct StreamId {
    /// Its identity on all daemons; `None` if the caller does not name the attempt that began it.
    pub key: Option<StreamKey>,
    /// Its pool.
    pub service: Name,
    /// Time for which a stream can go on, in milliseconds.
    pub life_ms: Millis,
}

/// How the version of a stream is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KnownBy {
    /// By a record of this daemon.
    Record(Source),
    /// This daemon has seen no other version.
    OnlyVersion,
    /// By the record of this peer.
    PeerRecord(Name),
    /// This peer has seen no other version.
    PeerOnlyVersion(Name),
    /// Streams begin at no other version, by the store.
    OnlyAdmitted,
}

impl KnownBy {
    /// Returns the text for a log line.
    pub fn text(&self) -> &'static str {
        match self {
            KnownBy::Record(Source::Own) => "own record",
            KnownBy::Record(Source::Peer) => "told by a peer",
            KnownBy::OnlyVersion => "only version",
            KnownBy::PeerRecord(_) => "record of a peer",
            KnownBy::PeerOnlyVersion(_) => "only version at a peer",
            KnownBy::OnlyAdmitted => "only version in the store",
        }
    }

    /// Returns the peer that knows it.
    pub fn peer(&self) -> Option<&str> {
        match self {
            KnownBy::PeerRecord(peer) | KnownBy::PeerOnlyVersion(peer) => Some(peer.as_str()),
            _ => None,
        }
    }
}

/// A known version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownVersion {
    /// The version.
    pub version: Name,
    /// How it is known.
    pub by: KnownBy,
    /// Age of the record, in milliseconds.
    pub age_ms: Option<Millis>,
}

/// An open stream whose version peers were not told; dropping it ends the stream.
#[derive(Debug)]
pub struct UntoldStream {
    streams: Arc<StreamVersions>,
    key: StreamKey,
}

impl Drop for UntoldStream {
    fn drop(&mut self) {
        self.streams.untold.lock().remove(&self.key);
    }
}

/// Reason why the version of a stream is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotKnown {
    /// Every peer that was asked has answered that it does not know it.
    Nowhere,
    /// Peers that may know it did not answer.
    Unanswered,
    /// There are records of two versions.
    Contradictory,
}

/// Versions of streams as known to this daemon.
pub struct StreamVersions {
    fleet: Fleet,
    router: Arc<Mutex<Router>>,
    table: Arc<ArcSwapOption<Table>>,
    store: Store,
    records: Mutex<StreamRecords>,
    /// Open streams of this daemon whose versions peers were not told.
    untold: Mutex<HashMap<StreamKey, (StreamId, Name)>>,
    /// Versions that this daemon knows to be admitted.
    admission: Mutex<Admission>,
    /// Last read of the admitted versions for a caller that took up a stream.
    last_read: tokio::sync::Mutex<ReadVersions>,
}

impl fmt::Debug for StreamVersions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StreamVersions").field("records", &self.records).finish_non_exhaustive()
    }
}

impl StreamVersions {
    /// Creates the state without records.
    pub fn new(
        fleet: Fleet,
        router: Arc<Mutex<Router>>,
        table: Arc<ArcSwapOption<Table>>,
        store: Store,
    ) -> Self {
        StreamVersions {
            fleet,
            router,
            table,
            store,
            records: Mutex::default(),
            untold: Mutex::default(),
            admission: Mutex::default(),
            last_read: tokio::sync::Mutex::default(),
        }
    }

    fn now(&self) -> Millis {
        self.fleet.base.clock.now()
    }

    /// Returns the version that all servers of the pool have had for as long as the stream can last.
    fn only_version(&self, service: &Name, life_ms: Millis) -> Option<Name> {
        let now = self.now();
        let news_age = self.fleet.connectivity.news_age(now);
        let version = {
            let router = self.router.lock();
            router.version_history().only_version(now, service, life_ms, news_age).cloned()?
        };
        let admission = self.admission.lock();
        // A caller that has waited for long names a shorter life than its stream has had.
        let has_other = admission.known().has_other(service, &version);
        (!has_other && self.is_only_service(service, admission.known())).then_some(version)
    }

    /// Returns whether streams can't have begun at another service, as far as these versions tell.
    fn is_only_service(&self, service: &Name, admitted: &AdmittedVersions) -> bool {
        self.table.load().as_ref().is_some_and(|table| !admitted.has_other_service(service, table))
    }

    /// Returns whether any daemon can conclude that streams of the pool have this version: from the
    /// store, or, if that is away, by its own news.
    fn is_only_version(&self, service: &Name, life_ms: Millis, version: &Name) -> bool {
        let is_store_away = self.fleet.connectivity.is_store_unavailable(self.now());
        let is_only_admitted = {
            let admission = self.admission.lock();
            let known = admission.known();
            known.only(service) == Some(version) && self.is_only_service(service, known)
        };
        let is_in_store = is_only_admitted && !is_store_away;
        is_in_store || self.only_version(service, life_ms).as_ref() == Some(version)
    }

    /// Returns the versions of a pool at which no streams should begin if there are others: those
    /// that are new, and those that are not admitted.
    pub fn versions_held_back(&self, service: &Name) -> Vec<Name> {
        let router = self.router.lock();
        let history = router.version_history();
        let mut held_back = history.new_versions(self.now(), service);
        let admission = self.admission.lock();
        let listed = history.listed_in(service).flatten();
        held_back.extend(listed.filter(|v| !admission.may_begin(service, Some(v))).cloned());
        held_back
    }

    /// Records the version of a stream that this daemon carries, and tells peers unless all daemons
    /// can conclude it. Waits until one of them has the record, for [`TELL_TIMEOUT`] at most.
    ///
    /// The result must be kept while the stream is open: peers are told when daemons can no longer
    /// conclude it, because further versions are admitted or the store goes away.
    pub async fn record(
        self: &Arc<Self>,
        log: &Logger,
        stream: &StreamId,
        version: &Name,
    ) -> Option<UntoldStream> {
        let key = stream.key?;
        if self.is_only_version(&stream.service, stream.life_ms, version) {
            self.untold.lock().insert(key, (stream.clone(), version.clone()));
            return Some(UntoldStream { streams: Arc::clone(self), key });
        }
        self.tell(log, key, version, stream.life_ms).await;
        None
    }

    /// Tells peers the versions of the open streams that can no longer be concluded.
    async fn tell_untold(&self) {
        let kind = |stream: &StreamId, version: &Name| {
            (stream.service.clone(), version.clone(), stream.life_ms)
        };
        let mut kinds: HashSet<_> =
            self.untold.lock().values().map(|(stream, version)| kind(stream, version)).collect();
        kinds.retain(|(service, version, life_ms)| {
            !self.is_only_version(service, *life_ms, version)
        });
        if kinds.is_empty() {
            return;
        }
        let mut to_tell = Vec::new();
        self.untold.lock().retain(|key, (stream, version)| {
            let is_only = !kinds.contains(&kind(stream, version));
            if !is_only {
                to_tell.push((*key, version.clone(), stream.life_ms));
            }
            is_only
        });
        let log = &self.fleet.base.log;
        let tells = to_tell.iter().map(|(key, version, life)| self.tell(log, *key, version, *life));
        futures::future::join_all(tells).await;
    }

    /// Records the version of a stream here and at peers; waits for the first of them.
    async fn tell(&self, log: &Logger, key: StreamKey, version: &Name, life_ms: Millis) {
        self.records.lock().record(self.now(), key, version, Source::Own, life_ms);
        let peers: Vec<Peer> = {
            let owners = self.fleet.members.lock().owners(key.hash(), COPIES + 1);
            owners.into_iter().flatten().take(COPIES).collect()
        };
        let asked = peers.len();
        let mut calls: FuturesUnordered<_> =
            peers.into_iter().map(|peer| self.spawn_tell(peer, key, version, life_ms)).collect();
        let first_accepted = async {
            while let Some(outcome) = calls.next().await {
                if outcome.is_ok_and(|accepted| accepted) {
                    return true;
                }
            }
            false
        };
        let accepted = tokio::time::timeout(TELL_TIMEOUT, first_accepted).await.unwrap_or(false);
        let metrics = &self.fleet.base.metrics;
        metrics.count(if accepted { "stream.told" } else { "stream.not_told" });
        slog::debug!(log, "stream version recorded"; "version" => %version, "peers" => asked,
            "accepted" => accepted);
        if !accepted && asked > 0 {
            slog::info!(log, "no peer has the version of the stream";
                "version" => %version, "asked" => asked);
        }
    }

    /// Sends a record to a peer, also after the caller has stopped to wait for it.
    fn spawn_tell(
        &self,
        peer: Peer,
        key: StreamKey,
        version: &Name,
        life_ms: Millis,
    ) -> tokio::task::JoinHandle<bool> {
        let (fleet, version) = (self.fleet.clone(), version.clone());
        tokio::spawn(async move {
            let timeout = Duration::from_millis(fleet.base.cfg.limits.peer_timeout_ms);
            let tell = |client: PeerServiceClient, cx| async move {
                client.told_stream(cx, key, version, life_ms).await
            };
            fleet.base.peers.call(&peer.address, timeout, tell).await.is_some()
        })
    }

    /// Records the version of a stream that a peer carries.
    pub fn record_told(&self, key: StreamKey, version: &Name, life_ms: Millis) {
        self.records.lock().record(self.now(), key, version, Source::Peer, life_ms);
    }

    /// Returns what this daemon knows, for a peer.
    pub fn answer(&self, key: Option<StreamKey>, service: &Name, life_ms: Millis) -> StreamAnswer {
        match self.lookup(key) {
            Lookup::Recorded(version, _, age_ms) => StreamAnswer::Recorded { version, age_ms },
            Lookup::Contradictory => StreamAnswer::Contradictory,
            Lookup::Unknown => self
                .only_version(service, life_ms)
                .map_or(StreamAnswer::Unknown, StreamAnswer::OnlyVersion),
        }
    }

    fn lookup(&self, key: Option<StreamKey>) -> Lookup {
        let now = self.now();
        key.map_or(Lookup::Unknown, |key| self.records.lock().lookup(now, key))
    }

    /// Returns the version of a stream that a caller takes up; asks peers if this daemon does not
    /// know it.
    ///
    /// # Errors
    /// [`NotKnown`] if no daemon in reach knows it.
    pub async fn find(&self, stream: &StreamId) -> Result<KnownVersion, NotKnown> {
        match self.lookup(stream.key) {
            Lookup::Recorded(version, source, age_ms) => {
                let (by, age_ms) = (KnownBy::Record(source), Some(age_ms));
                return Ok(KnownVersion { version, by, age_ms });
            }
            Lookup::Contradictory => return Err(NotKnown::Contradictory),
            Lookup::Unknown => {}
        }
        if let Some(version) = self.only_version(&stream.service, stream.life_ms) {
            return Ok(KnownVersion { version, by: KnownBy::OnlyVersion, age_ms: None });
        }
        // The store can't tell streams of several versions apart, and peers have records only of
        // streams whose caller names the attempt that began them.
        if stream.key.is_none()
            && let Some(known) = self.find_in_store(&stream.service).await
        {
            return Ok(known);
        }
        match self.ask_peers(stream).await {
            Ok(known) => Ok(known),
            Err(NotKnown::Contradictory) => Err(NotKnown::Contradictory),
            Err(why) => self.find_in_store(&stream.service).await.ok_or(why),
        }
    }

    async fn find_in_store(&self, service: &Name) -> Option<KnownVersion> {
        let version = self.only_admitted(service).await?;
        Some(KnownVersion { version, by: KnownBy::OnlyAdmitted, age_ms: None })
    }

    /// Asks peers at the same time, and returns the first version that one of them knows.
    async fn ask_peers(&self, stream: &StreamId) -> Result<KnownVersion, NotKnown> {
        let rank_key = stream.key.map_or_else(rand::random, StreamKey::hash);
        let peers: Vec<Peer> = {
            let members = self.fleet.members.lock();
            let ranked = members.owners_including_silent(rank_key, MAX_ASKED + 1);
            ranked.into_iter().flatten().take(MAX_ASKED).collect()
        };
        let mut answers: FuturesUnordered<_> =
            peers.into_iter().map(|peer| self.ask(peer, stream)).collect();
        let mut not_known = NotKnown::Nowhere;
        while let Some((peer, answer)) = answers.next().await {
            let (version, by, age_ms) = match answer {
                Some(StreamAnswer::Recorded { version, age_ms }) => {
                    (version, KnownBy::PeerRecord(peer), Some(age_ms))
                }
                Some(StreamAnswer::OnlyVersion(version)) => {
                    (version, KnownBy::PeerOnlyVersion(peer), None)
                }
                Some(StreamAnswer::Contradictory) => return Err(NotKnown::Contradictory),
                Some(StreamAnswer::Unknown) => continue,
                None => {
                    not_known = NotKnown::Unanswered;
                    continue;
                }
            };
            return Ok(KnownVersion { version, by, age_ms });
        }
        Err(not_known)
    }

    /// Asks one peer; returns its name and its answer, if there was one.
    async fn ask(&self, peer: Peer, stream: &StreamId) -> (Name, Option<StreamAnswer>) {
        let timeout = Duration::from_millis(self.fleet.base.cfg.limits.peer_timeout_ms);
        let StreamId { key, service, life_ms } = stream.clone();
        let ask = |client: PeerServiceClient, cx| async move {
            client.stream_version(cx, key, service, life_ms).await
        };
        let answer = self.fleet.base.peers.call(&peer.address, timeout, ask).await;
        (peer.name, answer)
    }

    /// Returns the numbers of records and the versions of each pool as JSON, for operators.
    pub fn dump(&self) -> Value {
        let now = self.now();
        let (records, evicted) = {
            let records = self.records.lock();
            (records.len(), records.evicted())
        };
        let news_age_ms = self.fleet.connectivity.news_age(now);
        let router = self.router.lock();
        let untold = self.untold.lock().len();
        json!({
            "untold": untold, "records": records, "evicted": evicted, "news_age_ms": news_age_ms, "now_ms": now,
            "versions": router.version_history(), "admitted": self.admission.lock().known(),
        })
    }
}
