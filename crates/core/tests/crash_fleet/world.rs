//! The simulated fleet: daemons with a book of crashes each, servers, callers, and troubles.

use std::collections::BTreeMap;

use bankcove_core::crashes::{CRASHES_TO_BLOCK, CrashFacts, CrashTracker, ServerStart, Verdict};
use bankcove_core::{Fingerprint, Millis, Name};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// Daemons know of the third crash within this, in milliseconds.
pub const CONTACT_MS: Millis = 3_000;
/// Sends that may still come after that.
pub const MOST_LATE_SENDS: usize = 3;
/// Time from the beginning of a run to the crash.
pub const FUSE_MS: Millis = 80;
/// Time until a server that crashed is back.
pub const RETURN_MS: Millis = 2_000;
pub const HEARTBEAT_MS: Millis = 500;
pub const TOLD_AT_ONCE: usize = 6;
pub const TICK_MS: Millis = 10;
pub const FATAL: Fingerprint = Fingerprint(1);
/// A request that is sent each time together with the one that crashes its servers.
pub const BESIDE: Fingerprint = Fingerprint(2);

#[derive(Debug, Clone, Copy)]
pub struct Trouble {
    pub daemon: usize,
    pub from: Millis,
    pub until: Millis,
    pub kind: Kind,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Cut,
    Frozen,
    Restart,
}

#[derive(Debug, Clone)]
pub struct Run {
    pub request: Fingerprint,
    pub daemon: usize,
    pub ends: Millis,
    pub tries_left: u32,
}

#[derive(Debug, Default, Clone)]
pub struct Server {
    pub starts: u64,
    pub back_at: Millis,
    pub runs: Vec<Run>,
}

pub struct World {
    pub rng: StdRng,
    pub now: Millis,
    pub books: Vec<CrashTracker>,
    pub troubles: Vec<Trouble>,
    pub servers: Vec<Server>,
    pub mail: BTreeMap<(Millis, u64), (usize, CrashFacts)>,
    pub mails: u64,
    pub kept: CrashFacts,
    pub crashes: usize,
    pub third_at: Option<Millis>,
    pub late_sends: usize,
    pub refused: Vec<Fingerprint>,
}

impl World {
    pub fn new(seed: u64, daemons: usize, servers: usize, troubles: Vec<Trouble>) -> Self {
        World {
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            books: vec![CrashTracker::default(); daemons],
            troubles,
            servers: vec![Server::default(); servers],
            mail: BTreeMap::new(),
            mails: 0,
            kept: CrashFacts::default(),
            crashes: 0,
            third_at: None,
            late_sends: 0,
            refused: Vec::new(),
        }
    }

    pub fn has(&self, daemon: usize, kinds: &[Kind], since: Millis) -> bool {
        let hits = |trouble: &Trouble| {
            trouble.daemon == daemon
                && kinds.contains(&trouble.kind)
                && trouble.from <= self.now
                && trouble.until > since
        };
        self.troubles.iter().any(hits)
    }

    pub fn is_down(&self, daemon: usize) -> bool {
        self.has(daemon, &[Kind::Frozen, Kind::Restart], self.now)
    }

    pub fn is_in_touch(&self, daemon: usize) -> bool {
        let since = self.now.saturating_sub(CONTACT_MS);
        !self.has(daemon, &[Kind::Cut, Kind::Frozen, Kind::Restart], since)
    }

    pub fn reaches(&self, a: usize, b: usize) -> bool {
        ![a, b].iter().any(|one| self.is_down(*one) || self.has(*one, &[Kind::Cut], self.now))
    }

    pub fn tell(&mut self, from: usize, news: &CrashFacts) {
        if news.is_empty() {
            return;
        }
        if !self.has(from, &[Kind::Cut], self.now) {
            self.kept.blocks.extend(news.blocks.iter().cloned());
        }
        let others: Vec<usize> = (0..self.books.len()).filter(|other| *other != from).collect();
        let told: Vec<usize> =
            others.choose_multiple(&mut self.rng, TOLD_AT_ONCE).copied().collect();
        for to in told {
            if self.reaches(from, to) {
                self.mails += 1;
                let at = self.now + self.rng.random_range(1..60);
                self.mail.insert((at, self.mails), (to, news.clone()));
            }
        }
    }

    pub fn deliver(&mut self) {
        while let Some(entry) = self.mail.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (to, facts) = entry.remove();
            if !self.is_down(to) {
                let news = self.books[to].merge(self.now, facts);
                self.tell(to, &news);
            }
        }
    }

    pub fn decide(&mut self) {
        for daemon in 0..self.books.len() {
            if !self.is_down(daemon) {
                let news = self.books[daemon].decide(self.now);
                self.tell(daemon, &news);
            }
        }
    }

    pub fn heartbeats(&mut self) {
        for daemon in 0..self.books.len() {
            let peer = self.rng.random_range(0..self.books.len());
            if peer == daemon || !self.reaches(daemon, peer) {
                continue;
            }
            for (one, other) in [(daemon, peer), (peer, daemon)] {
                if self.books[one].digest(self.now) != self.books[other].digest(self.now) {
                    let facts = self.books[one].facts(self.now);
                    let news = self.books[other].merge(self.now, facts);
                    self.tell(other, &news);
                }
            }
        }
    }

    pub fn restarts(&mut self) {
        for at in 0..self.troubles.len() {
            let Trouble { daemon, from, until, kind } = self.troubles[at];
            if kind == Kind::Restart && from == self.now {
                self.books[daemon] = CrashTracker::default();
            }
            if kind == Kind::Restart && until == self.now {
                let kept = self.kept.clone();
                self.books[daemon].merge(self.now, kept);
            }
        }
    }

    /// Whether this daemon is the owner of the request among those that it reaches, and no
    /// copy of it runs by way of it.
    pub fn may_run_apart(&self, daemon: usize, request: Fingerprint) -> bool {
        let score = |one: usize| (request.0 as usize + one * 31) % 97;
        let others = (0..self.books.len()).filter(|other| self.reaches(daemon, *other));
        let is_owner = others.max_by_key(|one| score(*one)).is_none_or(|owner| owner == daemon);
        let mut runs = self.servers.iter().flat_map(|server| &server.runs);
        is_owner && !runs.any(|run| run.request == request && run.daemon == daemon)
    }

    /// A request comes to this daemon; whether a server has it.
    pub fn send(&mut self, daemon: usize, request: Fingerprint, run_ms: Millis, tries_left: u32) {
        if self.is_down(daemon) {
            return;
        }
        let verdict = self.books[daemon].verdict(request);
        match verdict {
            Verdict::Blocked => return self.refused.push(request),
            Verdict::Undecided => return,
            Verdict::Isolated if !self.may_run_apart(daemon, request) => return,
            Verdict::Allowed | Verdict::Suspect | Verdict::Isolated => {}
        }
        let now = self.now;
        let up = self.servers.iter_mut().filter(|server| server.back_at <= now);
        let up: Vec<&mut Server> = up.collect();
        if up.is_empty() {
            return;
        }
        let at = if verdict == Verdict::Allowed {
            self.rng.random_range(0..up.len())
        } else {
            let place = self.books[daemon].placement(request);
            (place.key as usize).wrapping_add(place.rank) % up.len()
        };
        let server = up.into_iter().nth(at).expect("it is one of them");
        server.runs.push(Run { request, daemon, ends: now + run_ms, tries_left });
        let is_late = self.third_at.is_some_and(|third| now > third + CONTACT_MS);
        if request == FATAL && is_late && self.is_in_touch(daemon) {
            self.late_sends += 1;
        }
    }

    /// The request comes to this daemon as well, and goes to the server of the one that crashes
    /// its servers where nothing speaks against that.
    pub fn send_beside(&mut self, daemon: usize, request: Fingerprint, run_ms: Millis) {
        let has_fatal = |server: &Server| server.runs.iter().any(|run| run.request == FATAL);
        let server = self.servers.iter().position(has_fatal);
        let is_free = self.books[daemon].verdict(request) == Verdict::Allowed;
        match server {
            Some(server) if is_free => {
                let ends = self.now + run_ms;
                self.servers[server].runs.push(Run { request, daemon, ends, tries_left: 0 });
            }
            _ => self.send(daemon, request, run_ms, 0),
        }
    }

    pub fn crash(&mut self, number: usize) {
        let server = &mut self.servers[number];
        server.back_at = self.now + RETURN_MS;
        let name = Name::from(format!("i-{number}"));
        let start = ServerStart { name, started_ms: server.starts };
        server.starts += 1;
        let runs = std::mem::take(&mut server.runs);
        if runs.iter().any(|run| run.request == FATAL) {
            self.crashes += 1;
            if self.crashes == CRASHES_TO_BLOCK {
                self.third_at = Some(self.now);
            }
        }
        for run in &runs {
            if !self.is_down(run.daemon) {
                self.books[run.daemon].record_disconnect(self.now, &start, run.request);
            }
        }
        for daemon in 0..self.books.len() {
            if runs.iter().any(|run| run.daemon == daemon) && !self.is_down(daemon) {
                let news = self.books[daemon].record_crash(self.now, &start);
                self.tell(daemon, &news);
            }
        }
        for run in runs.into_iter().filter(|run| run.tries_left > 0 && run.request != FATAL) {
            let daemon = self.rng.random_range(0..self.books.len());
            let run_ms = self.rng.random_range(50..1_500);
            self.send(daemon, run.request, run_ms, run.tries_left - 1);
        }
    }

    pub fn ends(&mut self) {
        for number in 0..self.servers.len() {
            let due = |run: &Run| run.ends <= self.now;
            if self.servers[number].runs.iter().any(|run| run.request == FATAL && due(run)) {
                self.crash(number);
                continue;
            }
            let (ended, running): (Vec<Run>, Vec<Run>) =
                self.servers[number].runs.drain(..).partition(due);
            self.servers[number].runs = running;
            for run in ended {
                if !self.is_down(run.daemon) {
                    let news = self.books[run.daemon].record_success(self.now, run.request);
                    self.tell(run.daemon, &news);
                }
            }
        }
    }

    pub fn tick(&mut self) {
        self.now += TICK_MS;
        self.restarts();
        self.deliver();
        self.decide();
        if self.now % HEARTBEAT_MS == 0 {
            self.heartbeats();
        }
        self.ends();
    }
}
