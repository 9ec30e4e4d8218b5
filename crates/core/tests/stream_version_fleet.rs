//! Replay of a fleet whose hosts begin streams and take up those of lost hosts, while versions come and
//! go, hosts are killed, suspended and cut off, and the store is away.

use std::collections::{BTreeMap, BTreeSet};

use bankcove_core::stream_versions::{
    AdmittedVersions, Lookup, Source, StreamKey, StreamRecords, VersionHistory,
};
use bankcove_core::{Millis, Name};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use yare::parameterized;

const HOSTS: usize = 8;
/// Number of seeds of mixed faults.
const SEEDS: u64 = 20;
/// Fraction of the streams taken up that must go on at least, as new streams nearly always begin.
const MIN_FOUND: f64 = 0.5;
const TICK: Millis = 100;
/// Longest time for which a caller goes on with its stream; hosts assume twice as long.
const PATIENCE: Millis = 10_000;
const LIFE: Millis = 2 * PATIENCE;
const COPIES: usize = 3;
const CHECK_INTERVAL: Millis = 500;
const REMOVAL_INTERVAL: Millis = 30_000;

/// Fault that strikes at random.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// Single hosts are killed, one after the other.
    OneHost,
    /// A third of the hosts is killed at once.
    Third,
    /// All hosts are killed at once.
    AllHosts,
    /// Hosts are suspended.
    Suspended,
    /// Hosts are cut off from the store and from each other.
    CutOff,
    /// Hosts hear news, but nobody hears them.
    Unheard,
    /// The store is away, and hosts are killed.
    StoreAway,
    /// All of these.
    Mixed,
}

impl Fault {
    const ALL: [Fault; 7] = [
        Fault::OneHost,
        Fault::Third,
        Fault::AllHosts,
        Fault::Suspended,
        Fault::CutOff,
        Fault::Unheard,
        Fault::StoreAway,
    ];
}

#[derive(Default)]
struct Host {
    history: VersionHistory,
    records: StreamRecords,
    admitted: AdmittedVersions,
    list: BTreeSet<Option<Name>>,
    news_at: Option<Millis>,
    suspended_until: Millis,
    cut_until: Millis,
    unheard_until: Millis,
}

struct OpenStream {
    key: StreamKey,
    host: usize,
    version: Name,
    begun_at: Millis,
    is_told: bool,
}

struct Fleet {
    rng: StdRng,
    now: Millis,
    service: Name,
    hosts: Vec<Host>,
    /// Versions with servers that are listed.
    listed: BTreeSet<Option<Name>>,
    /// Versions whose servers have left the list and still serve until this time.
    lingering: BTreeMap<Name, Millis>,
    stored: AdmittedVersions,
    store_away_until: Millis,
    streams: Vec<OpenStream>,
    begun: u64,
    taken_up: u64,
    found: u64,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let hosts = (0..HOSTS).map(|_| Host::default()).collect();
        Fleet {
            rng: StdRng::seed_from_u64(seed),
            now: 1_000,
            service: Name::from("engines"),
            hosts,
            listed: BTreeSet::from([Some(Name::from("v1"))]),
            lingering: BTreeMap::new(),
            stored: AdmittedVersions::default(),
            store_away_until: 0,
            streams: Vec::new(),
            begun: 0,
            taken_up: 0,
            found: 0,
        }
    }

    fn is_up(&self, n: usize) -> bool {
        self.hosts[n].suspended_until <= self.now
    }

    fn is_connected(&self, n: usize) -> bool {
        self.is_up(n) && self.hosts[n].cut_until <= self.now
    }

    /// Returns whether calls between this host and others, or the store, are answered.
    fn can_call(&self, n: usize) -> bool {
        self.is_connected(n) && self.hosts[n].unheard_until <= self.now
    }

    fn is_store_away(&self) -> bool {
        self.now < self.store_away_until
    }

    fn news_age(&self, n: usize) -> Option<Millis> {
        self.hosts[n].news_at.map(|at| self.now - at)
    }

    /// Adopts the list: from the store, or from the peer with the latest news.
    fn sync(&mut self, n: usize) {
        if !self.is_connected(n) {
            return;
        }
        if self.is_store_away() {
            let peers = (0..HOSTS).filter(|peer| *peer != n && self.is_connected(*peer));
            let latest = peers.max_by_key(|peer| self.hosts[*peer].news_at);
            let Some(latest) = latest.filter(|peer| self.hosts[*peer].news_at.is_some()) else {
                return;
            };
            self.hosts[n].list = self.hosts[latest].list.clone();
            let known = self.hosts[latest].admitted.clone();
            self.hosts[n].admitted.merge(&known);
        } else {
            self.hosts[n].list = self.listed.clone();
        }
        let (now, service) = (self.now, self.service.clone());
        let host = &mut self.hosts[n];
        host.news_at = Some(now);
        host.history.record_listed(now, &BTreeMap::from([(service, host.list.clone())]));
    }

    fn check(&mut self, n: usize) {
        let (now, news_age) = (self.now, self.news_age(n));
        if now % CHECK_INTERVAL == 0 && self.is_up(n) {
            self.hosts[n].history.check_news(now, news_age);
        }
    }

    /// Admits listed versions, and removes unused ones.
    fn admit(&mut self, n: usize) {
        if !self.can_call(n) || self.is_store_away() {
            return;
        }
        let (now, service) = (self.now, self.service.clone());
        let host = &mut self.hosts[n];
        for version in &host.list {
            self.stored.add(&service, version.as_ref());
        }
        host.admitted.merge(&self.stored);
        if now % REMOVAL_INTERVAL == 0 {
            let history = &host.history;
            let keep =
                |service: &Name, version: Option<&Name>| !history.is_unused(now, service, version);
            host.admitted.retain(keep);
            self.stored.retain(keep);
        }
    }

    fn only_version(&self, n: usize) -> Option<Name> {
        let host = &self.hosts[n];
        let only = host.history.only_version(self.now, &self.service, LIFE, self.news_age(n));
        only.cloned()
    }

    fn owners(&self, key: StreamKey) -> impl Iterator<Item = usize> + use<> {
        let first = key.hash() as usize % HOSTS;
        (0..HOSTS).map(move |n| (first + n) % HOSTS)
    }

    fn tell(&mut self, n: usize, key: StreamKey, version: &Name) {
        self.hosts[n].records.record(self.now, key, version, Source::Own, LIFE);
        let peers = self.owners(key).filter(|peer| *peer != n && self.can_call(*peer));
        let copies = if self.can_call(n) { COPIES } else { 0 };
        let peers: Vec<usize> = peers.take(copies).collect();
        for peer in peers {
            // Messages are lost now and then.
            if self.rng.random_bool(0.9) {
                self.hosts[peer].records.record(self.now, key, version, Source::Peer, LIFE);
            }
        }
    }

    fn begin(&mut self, n: usize) {
        let host = &self.hosts[n];
        let is_serving = |version: &Name| {
            let lingers = self.lingering.get(version).is_some_and(|until| self.now < *until);
            lingers || self.listed.contains(&Some(version.clone()))
        };
        let new = host.history.new_versions(self.now, &self.service);
        let versions: Vec<Name> = host.list.iter().flatten().cloned().collect();
        let settled: Vec<Name> = versions
            .iter()
            .filter(|version| !new.contains(version) && is_serving(version))
            .cloned()
            .collect();
        let usable = if settled.is_empty() { &versions } else { &settled };
        let Some(version) = usable.choose(&mut self.rng).cloned() else { return };
        if !is_serving(&version) || !host.admitted.contains(&self.service, Some(&version)) {
            return;
        }
        self.begun += 1;
        let key = StreamKey::of(&self.service, None, &self.begun.to_string());
        let is_told = !self.is_concluded(n, &version);
        if is_told {
            self.tell(n, key, &version);
        }
        let begun_at = self.now;
        self.streams.push(OpenStream { key, host: n, version, begun_at, is_told });
    }

    /// Returns whether any host can conclude that streams have this version.
    fn is_concluded(&self, n: usize, version: &Name) -> bool {
        let is_in_store = self.hosts[n].admitted.only(&self.service) == Some(version);
        let is_only = self.only_version(n).as_ref() == Some(version);
        is_only || (is_in_store && !self.is_store_away())
    }

    /// Tells of the open streams whose version can no longer be concluded.
    fn tell_untold(&mut self) {
        for i in 0..self.streams.len() {
            let OpenStream { key, host, ref version, is_told, .. } = self.streams[i];
            if !is_told && !self.is_concluded(host, version) && self.is_up(host) {
                let version = version.clone();
                self.tell(host, key, &version);
                self.streams[i].is_told = true;
            }
        }
    }

    /// Returns the version of a stream as a host finds it.
    fn find(&self, n: usize, key: StreamKey) -> Option<Name> {
        let peers = self.owners(key).filter(|peer| *peer != n && self.can_call(*peer));
        let asked = [n].into_iter().chain(peers.filter(|_| self.can_call(n)));
        for host in asked {
            match self.hosts[host].records.lookup(self.now, key) {
                Lookup::Recorded(version, _, _) => return Some(version),
                Lookup::Contradictory => return None,
                Lookup::Unknown => {}
            }
            if let Some(version) = self.only_version(host) {
                return Some(version);
            }
        }
        let can_read = self.can_call(n) && !self.is_store_away();
        can_read.then(|| self.stored.only(&self.service).cloned()).flatten()
    }

    /// Takes up a stream at a host that is up.
    fn take_up(&mut self, stream: &OpenStream) {
        let up: Vec<usize> = (0..HOSTS).filter(|n| self.is_up(*n)).collect();
        let Some(n) = up.choose(&mut self.rng).copied() else { return };
        self.taken_up += 1;
        if let Some(version) = self.find(n, stream.key) {
            assert_eq!(version, stream.version, "a stream goes on at another version");
            self.found += 1;
            self.tell(n, stream.key, &version);
        }
    }

    fn change_versions(&mut self) {
        let version = Name::from(format!("v{}", self.rng.random_range(1..4)));
        let others = self.listed.len() > 1;
        if self.listed.contains(&Some(version.clone())) && others {
            self.listed.remove(&Some(version.clone()));
            let lingers_for = self.rng.random_range(0..PATIENCE / 2);
            self.lingering.insert(version, self.now + lingers_for);
        } else {
            self.listed.insert(Some(version));
        }
    }

    fn strike(&mut self, fault: Fault) {
        let n = self.rng.random_range(0..HOSTS);
        let time = self.rng.random_range(TICK..PATIENCE / 2);
        match fault {
            Fault::None => {}
            Fault::OneHost => self.kill(&[n]),
            Fault::Third => self.kill(&[n, (n + 1) % HOSTS, (n + 3) % HOSTS]),
            Fault::AllHosts => self.kill(&Vec::from_iter(0..HOSTS)),
            Fault::Suspended => self.hosts[n].suspended_until = self.now + time,
            Fault::CutOff => {
                self.hosts[n].cut_until = self.now + time;
                self.kill(&[(n + 1) % HOSTS]);
            }
            Fault::Unheard => {
                self.hosts[n].unheard_until = self.now + time;
                self.kill(&[(n + 1) % HOSTS]);
            }
            Fault::StoreAway => {
                self.store_away_until = self.now + time;
                self.kill(&[n]);
            }
            Fault::Mixed => {
                let fault = *Fault::ALL.choose(&mut self.rng).expect("not empty");
                self.strike(fault);
            }
        }
    }

    /// Kills hosts, which start again at once, and has the callers of their streams go on elsewhere.
    fn kill(&mut self, hosts: &[usize]) {
        for n in hosts {
            let Host { cut_until, unheard_until, .. } = self.hosts[*n];
            self.hosts[*n] = Host { cut_until, unheard_until, ..Host::default() };
        }
        (0..HOSTS).for_each(|n| self.sync(n));
        let streams = std::mem::take(&mut self.streams);
        let (lost, kept): (Vec<_>, Vec<_>) =
            streams.into_iter().partition(|stream| hosts.contains(&stream.host));
        self.streams = kept;
        lost.iter().for_each(|stream| self.take_up(stream));
    }

    /// Plays this time, with changes of versions and faults at these mean intervals.
    fn play(&mut self, time: Millis, change_interval: Millis, fault: Fault, interval: Millis) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK;
            for n in 0..HOSTS {
                self.sync(n);
                self.check(n);
                self.admit(n);
            }
            self.tell_untold();
            let up: Vec<usize> = (0..HOSTS).filter(|n| self.is_up(*n)).collect();
            up.into_iter().for_each(|n| self.begin(n));
            let ended = self.now.saturating_sub(PATIENCE / 4);
            self.streams.retain(|stream| stream.begun_at > ended);
            if self.rng.random_range(0..change_interval / TICK) == 0 {
                self.change_versions();
            }
            if self.rng.random_range(0..interval / TICK) == 0 {
                self.strike(fault);
            }
        }
    }
}

/// Guards against a stream that goes on at another version, whatever happens.
#[test]
fn no_stream_goes_on_at_another_version() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed);
        fleet.play(200_000, 8_000, Fault::Mixed, 3_000);
        assert!(fleet.found > 0, "seed {seed}");
    }
}

/// Guards against streams that can't be taken up although hosts that know their versions are left.
#[parameterized(
    one_host = { Fault::OneHost },
    a_third = { Fault::Third },
    cut_off = { Fault::CutOff },
    unheard = { Fault::Unheard },
    store_away = { Fault::StoreAway },
)]
fn streams_of_lost_hosts_go_on(fault: Fault) {
    let mut fleet = Fleet::new(1);
    fleet.play(20_000, 4_000, Fault::None, 1_000);
    fleet.play(100_000, 8_000, fault, 4_000);
    let fraction = fleet.found as f64 / fleet.taken_up as f64;
    println!("{fault:?}: {} of {} found", fleet.found, fleet.taken_up);
    assert!(fraction >= MIN_FOUND, "{fraction}");
}

/// Guards against streams of the only version that can't be taken up after the loss of all hosts.
#[test]
fn streams_of_the_only_version_go_on_after_the_loss_of_all_hosts() {
    let mut fleet = Fleet::new(1);
    fleet.play(60_000, Millis::MAX, Fault::AllHosts, 4_000);
    assert!(fleet.taken_up > 0);
    assert_eq!(fleet.found, fleet.taken_up);
}
