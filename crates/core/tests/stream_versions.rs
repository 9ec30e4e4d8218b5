//! Versions of streams: records, what may be concluded from the list of servers, and the choice of
//! servers for a stream that goes on.

use std::collections::{BTreeMap, BTreeSet};

use bankcove_core::rollout::Versions;
use bankcove_core::router::{Homes, ListedRow, NoServer, Router, RoutingRequest};
use bankcove_core::server_list::ListedServer;
use bankcove_core::stream_versions::{
    Admission, AdmittedVersions, Lookup, MAX_NEWS_AGE_MS, MAX_RECORDS, NEW_VERSION_DELAY_MS,
    Source, StreamKey, StreamRecords, VersionHistory,
};
use bankcove_core::table::Table;
use bankcove_core::{Millis, Name};
use yare::parameterized;

/// Time for which a stream can last.
const LIFE: Millis = 20_000;

/// Interval at which daemons check the age of their news.
const CHECK_INTERVAL: Millis = 500;

fn name(text: &str) -> Name {
    Name::from(text)
}

fn key(attempt: &str) -> StreamKey {
    StreamKey::of(&name("engines"), Some(&name("dispatch")), attempt)
}

/// History of one daemon, and its time.
struct Observer {
    history: VersionHistory,
    now: Millis,
}

impl Observer {
    /// Creates a daemon that has read a list with these versions.
    fn with(versions: &[Option<&str>]) -> Self {
        let mut observer = Observer { history: VersionHistory::default(), now: 1_000 };
        observer.history.check_news(observer.now, Some(0));
        observer.list(versions);
        observer
    }

    fn list(&mut self, versions: &[Option<&str>]) {
        let versions: BTreeSet<Option<Name>> =
            versions.iter().map(|version| version.map(Name::from)).collect();
        let listed = BTreeMap::from([(name("engines"), versions)]);
        self.history.record_listed(self.now, &listed);
    }

    /// Lets time pass with recent news.
    fn follow(&mut self, time: Millis) {
        for _ in 0..time.div_ceil(CHECK_INTERVAL) {
            self.now += CHECK_INTERVAL;
            self.history.check_news(self.now, Some(0));
        }
    }

    fn only_version(&self) -> Option<&str> {
        self.only_version_with(Some(0))
    }

    fn only_version_with(&self, news_age: Option<Millis>) -> Option<&str> {
        let only = self.history.only_version(self.now, &name("engines"), LIFE, news_age);
        only.map(Name::as_str)
    }
}

#[test]
fn the_only_version_is_known_after_the_life_of_a_stream() {
    let mut observer = Observer::with(&[Some("v1")]);
    observer.follow(LIFE);
    assert_eq!(observer.only_version(), None);
    observer.follow(NEW_VERSION_DELAY_MS);
    assert_eq!(observer.only_version(), Some("v1"));
}

/// Guards against a conclusion from a list that may have had other versions.
#[parameterized(
    another_is_listed = { |observer: &mut Observer| observer.list(&[Some("v1"), Some("v2")]) },
    another_was_listed = { |observer: &mut Observer| {
        observer.list(&[Some("v1"), Some("v2")]);
        observer.follow(CHECK_INTERVAL);
        observer.list(&[Some("v1")]);
        observer.follow(LIFE);
    } },
    another_took_its_place = { |observer: &mut Observer| {
        observer.list(&[Some("v2")]);
        observer.follow(LIFE);
    } },
    an_unknown_one_is_listed = { |observer: &mut Observer| observer.list(&[Some("v1"), None]) },
    none_is_listed_any_more = { |observer: &mut Observer| {
        observer.list(&[]);
        observer.follow(LIFE * 2);
    } },
    it_was_cut_off = { |observer: &mut Observer| {
        observer.now += CHECK_INTERVAL;
        observer.history.check_news(observer.now, Some(MAX_NEWS_AGE_MS + 1));
        observer.follow(LIFE);
    } },
    it_was_suspended = { |observer: &mut Observer| {
        observer.now += MAX_NEWS_AGE_MS + 1;
        observer.follow(LIFE);
    } },
    it_is_just_resumed = { |observer: &mut Observer| observer.now += MAX_NEWS_AGE_MS + 1 },
)]
fn the_only_version_is_not_known_when(change: fn(&mut Observer)) {
    let mut observer = Observer::with(&[Some("v1")]);
    observer.follow(LIFE * 2);
    assert_eq!(observer.only_version(), Some("v1"));
    change(&mut observer);
    assert_eq!(observer.only_version(), None);
}

#[parameterized(
    stale = { Some(MAX_NEWS_AGE_MS + 1) },
    never_received = { None },
)]
fn without_recent_news_no_version_is_the_only_one(news_age: Option<Millis>) {
    let mut observer = Observer::with(&[Some("v1")]);
    observer.follow(LIFE * 2);
    assert_eq!(observer.only_version_with(news_age), None);
}

/// Guards against two servers of unknown version that count as one version.
#[test]
fn an_unknown_version_is_never_the_only_one() {
    let mut observer = Observer::with(&[None]);
    observer.follow(LIFE * 2);
    assert_eq!(observer.only_version(), None);
}

#[test]
fn streams_begin_at_a_new_version_when_others_know_of_it() {
    let mut observer = Observer::with(&[Some("v1")]);
    let new = |observer: &Observer| observer.history.new_versions(observer.now, &name("engines"));
    assert!(new(&observer).is_empty());
    observer.follow(CHECK_INTERVAL);
    observer.list(&[Some("v1"), Some("v2")]);
    assert_eq!(new(&observer), [name("v2")]);
    observer.follow(NEW_VERSION_DELAY_MS);
    assert!(new(&observer).is_empty());
}

#[test]
fn a_record_is_found_until_its_stream_can_not_go_on() {
    let mut records = StreamRecords::default();
    records.record(1_000, key("a"), &name("v1"), Source::Peer, LIFE);
    let found = |records: &StreamRecords, now| records.lookup(now, key("a"));
    let expected = |age| Lookup::Recorded(name("v1"), Source::Peer, age);
    assert_eq!(found(&records, 1_500), expected(500));
    assert_eq!(records.lookup(1_500, key("b")), Lookup::Unknown);
    // It is told again when the stream is taken up.
    records.record(10_000, key("a"), &name("v1"), Source::Peer, LIFE);
    assert_eq!(found(&records, 9_999 + LIFE), expected(8_999 + LIFE));
    assert_eq!(found(&records, 10_000 + LIFE), Lookup::Unknown);
    records.remove_expired(10_000 + LIFE);
    assert!(records.is_empty());
}

/// Guards against a stream that goes on at one of two versions that were recorded for one attempt.
#[test]
fn two_recorded_versions_are_none() {
    let mut records = StreamRecords::default();
    for version in ["v1", "v2", "v1"] {
        records.record(1_000, key("a"), &name(version), Source::Own, LIFE);
    }
    assert_eq!(records.lookup(1_000, key("a")), Lookup::Contradictory);
}

#[test]
fn the_number_of_records_is_bounded() {
    let mut records = StreamRecords::default();
    for n in 0..MAX_RECORDS as u64 + 10 {
        records.record(n, key(&n.to_string()), &name("v1"), Source::Own, MAX_RECORDS as u64 * 2);
    }
    assert_eq!((records.len(), records.evicted()), (MAX_RECORDS, 10));
    assert_eq!(records.lookup(100, key("9")), Lookup::Unknown);
    assert_ne!(records.lookup(100, key("10")), Lookup::Unknown);
}

/// Guards against a stream of one workspace or service that is taken for one of another.
#[test]
fn keys_differ_by_service_workspace_and_attempt() {
    let of = |service: &str, workspace: Option<&str>, attempt: &str| {
        StreamKey::of(&name(service), workspace.map(Name::from).as_ref(), attempt)
    };
    let keys = BTreeSet::from([
        of("a", Some("b"), "c"),
        of("a", Some("bc"), ""),
        of("ab", Some(""), "c"),
        of("a", None, "bc"),
        of("a", Some("b"), "d"),
    ]);
    assert_eq!(keys.len(), 5);
}

/// Returns a router of servers with these names and versions.
fn router(servers: &[(&str, Option<&str>)]) -> Router {
    let mut router = Router::default();
    adopt(&mut router, servers);
    router
}

fn adopt(router: &mut Router, servers: &[(&str, Option<&str>)]) {
    let listed: Vec<ListedServer> = servers
        .iter()
        .map(|(server, version)| ListedServer {
            name: name(server),
            started_ms: 0,
            service: name("engines"),
            version: version.map(Name::from),
            address: format!("{server}:1"),
            hall: name("hall-1"),
            slots: 8,
            draining: false,
            cold_for_ms: 0,
        })
        .collect();
    let rows = listed.iter().map(|server| ListedRow { server, cold_until: 0 });
    router.adopt_with_list(&Table::default(), &[], rows);
}

fn choose(router: &Router, versions: Versions, seed: u64) -> Result<Name, NoServer> {
    router.choose(1_000, &request(versions, seed)).map(|choice| choice.server)
}

fn request(versions: Versions<'_>, seed: u64) -> RoutingRequest<'_> {
    RoutingRequest {
        pool: "engines",
        prefix: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        prompt_tokens: 0,
        shared_tokens: 0,
        hour: 0,
        seed,
        tried: &[],
        homes: Homes::default(),
        versions,
    }
}

#[test]
fn a_stream_goes_on_at_servers_of_its_version_alone() {
    let router = router(&[("a", Some("v1")), ("b", Some("v2")), ("c", None)]);
    for seed in 0..100 {
        assert_eq!(choose(&router, Versions::OfStream(&name("v1")), seed), Ok(name("a")));
        assert_ne!(choose(&router, Versions::ExceptAll(&[name("v2")]), seed), Ok(name("b")));
    }
    assert!(choose(&router, Versions::OfStream(&name("v3")), 0).is_err());
    assert!(router.has_version(1_000, "engines", &name("v2")));
    assert!(!router.has_version(1_000, "engines", &name("v3")));
}

/// Guards against streams that can't go on because the only servers of their version are ejected.
#[test]
fn an_ejected_server_is_used_for_a_stream_that_has_no_other() {
    let mut router = router(&[("a", Some("v1")), ("b", Some("v2"))]);
    for _ in 0..3 {
        router.record_ended(900, &name("a"), 0, false);
    }
    assert_eq!(choose(&router, Versions::Any, 0), Ok(name("b")));
    assert_eq!(choose(&router, Versions::OfStream(&name("v1")), 0), Ok(name("a")));
}

/// Guards against a prompt's cache that is copied from a server of another or an unknown version.
#[parameterized(
    another = { Some("v2"), false },
    unknown = { None, false },
    the_same = { Some("v1"), true },
)]
fn caches_are_copied_between_servers_of_one_version(of_first: Option<&str>, is_copied: bool) {
    let servers = [("a", Some("v1")), ("b", Some("v1")), ("c", Some("v1"))];
    let first = choose(&router(&servers), Versions::Any, 7).expect("a server is usable");
    let listed = servers.map(|(server, version)| {
        (server, if server == first.as_str() { of_first } else { version })
    });
    let mut router = router(&listed);
    for _ in 0..8 {
        router.record_sent(&first, 0, 1_000);
    }
    let other = router.choose(1_000, &request(Versions::Any, 7)).expect("a server is usable");
    assert_ne!(other.server, first);
    assert_eq!(other.copy_from.is_some(), is_copied);
}

/// Guards against a stream that goes on at a server whose entry was rewritten to its version.
#[test]
fn a_server_whose_entry_names_two_versions_has_none() {
    let mut router = router(&[("a", Some("v1")), ("b", None)]);
    adopt(&mut router, &[("a", Some("v2")), ("b", Some("v2"))]);
    assert!(!router.has_version(1_000, "engines", &name("v1")));
    adopt(&mut router, &[("a", Some("v2")), ("b", None)]);
    for seed in 0..100 {
        assert_eq!(choose(&router, Versions::OfStream(&name("v2")), seed), Ok(name("b")));
    }
}

/// Guards against streams that begin at a version which was removed from the store and is listed again:
/// after the loss of all daemons the store would name another as the only one.
#[test]
fn a_version_that_is_listed_again_is_not_admitted_before_the_store_has_it() {
    let service = name("engines");
    let versions = |names: &[&str]| {
        let mut versions = AdmittedVersions::default();
        names.iter().for_each(|version| versions.add(&service, Some(&Name::from(*version))));
        versions
    };
    let may_begin =
        |admission: &Admission, version| admission.may_begin(&service, Some(&name(version)));
    let mut admission = Admission::default();
    admission.confirm(&versions(&["v1", "v2"]));
    admission.record_listed(&versions(&["v2"]));
    assert!(may_begin(&admission, "v2"));
    // Streams of it may still go on.
    assert!(admission.known().has_other(&service, &name("v2")));
    admission.record_listed(&versions(&["v1", "v2"]));
    assert!(!may_begin(&admission, "v1"));
    assert_eq!(admission.missing(&versions(&["v1", "v2"])), versions(&["v1"]));
    admission.confirm(&versions(&["v1"]));
    assert!(may_begin(&admission, "v1"));
    // A daemon that learns it from this one knows the same.
    let mut peer = Admission::default();
    peer.merge(&admission);
    assert_eq!(peer, admission);
}
