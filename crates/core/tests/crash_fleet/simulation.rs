//! Simulated fleet: daemons with a crash tracker each, servers, callers and faults.

use std::collections::BTreeMap;

use bankcove_core::crashes::{
    CRASHES_TO_BLOCK, CRASHES_TO_BLOCK_PART, CrashFacts, CrashTracker, ServerInstance, Verdict,
};
use bankcove_core::{Fingerprint, Millis, Name};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// Time within which daemons learn of the third crash, in milliseconds.
pub const PROPAGATION_MS: Millis = 3_000;
/// Maximum number of times that the request is still sent after that.
pub const MAX_LATE_SENDS: usize = 3;
/// Time from the start of a run to the crash, in milliseconds.
pub const TIME_TO_CRASH_MS: Millis = 80;
/// Time until a crashed server is available again, in milliseconds.
pub const RESTART_MS: Millis = 2_000;
pub const HEARTBEAT_MS: Millis = 500;
pub const FANOUT: usize = 6;
pub const TICK_MS: Millis = 10;
pub const FATAL: Fingerprint = Fingerprint(1);
/// A harmless request that is always sent together with the one that crashes its servers.
pub const CONCURRENT: Fingerprint = Fingerprint(2);

/// Returns the identity of a prompt part.
pub fn part(id: u64) -> Fingerprint {
    Fingerprint::of_part(&Name::from("model"), id)
}

/// Returns the part that crashes its servers.
pub fn fatal_part() -> Fingerprint {
    part(0xbad)
}

#[derive(Debug, Clone, Copy)]
pub struct Fault {
    pub daemon: usize,
    pub from: Millis,
    pub until: Millis,
    pub kind: FaultKind,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    Partition,
    Suspension,
    Restart,
}

#[derive(Debug, Clone)]
pub struct Run {
    pub request: Fingerprint,
    /// Shared parts of its prompt.
    pub parts: Vec<Fingerprint>,
    pub daemon: usize,
    pub ends_at: Millis,
    pub tries_left: u32,
}

#[derive(Debug, Default, Clone)]
pub struct Server {
    pub restarts: u64,
    pub available_at: Millis,
    pub runs: Vec<Run>,
}

pub struct Simulation {
    pub rng: StdRng,
    pub now: Millis,
    pub trackers: Vec<CrashTracker>,
    pub faults: Vec<Fault>,
    pub servers: Vec<Server>,
    pub messages: BTreeMap<(Millis, u64), (usize, CrashFacts)>,
    pub messages_sent: u64,
    pub stored: CrashFacts,
    pub crashes: usize,
    pub third_crash_at: Option<Millis>,
    pub late_sends: usize,
    /// Crashes under [`fatal_part`].
    pub part_crashes: usize,
    pub fifth_part_crash_at: Option<Millis>,
    pub late_part_sends: usize,
    /// Servers with numbers below this crash under everything that they run.
    pub broken_servers: usize,
    pub refused: Vec<Fingerprint>,
}

impl Simulation {
    pub fn new(seed: u64, daemons: usize, servers: usize, faults: Vec<Fault>) -> Self {
        Simulation {
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            trackers: vec![CrashTracker::default(); daemons],
            faults,
            servers: vec![Server::default(); servers],
            messages: BTreeMap::new(),
            messages_sent: 0,
            stored: CrashFacts::default(),
            crashes: 0,
            third_crash_at: None,
            late_sends: 0,
            part_crashes: 0,
            fifth_part_crash_at: None,
            late_part_sends: 0,
            broken_servers: 0,
            refused: Vec::new(),
        }
    }

    /// Returns whether a fault of one of these kinds began by now and has lasted beyond `since`.
    pub fn has_fault(&self, daemon: usize, kinds: &[FaultKind], since: Millis) -> bool {
        let applies = |fault: &Fault| {
            fault.daemon == daemon
                && kinds.contains(&fault.kind)
                && fault.from <= self.now
                && fault.until > since
        };
        self.faults.iter().any(applies)
    }

    /// Returns whether the daemon is suspended or restarting.
    pub fn is_down(&self, daemon: usize) -> bool {
        self.has_fault(daemon, &[FaultKind::Suspension, FaultKind::Restart], self.now)
    }

    /// Returns whether the daemon has had no fault for the propagation time.
    pub fn is_connected(&self, daemon: usize) -> bool {
        let since = self.now.saturating_sub(PROPAGATION_MS);
        !self.has_fault(
            daemon,
            &[FaultKind::Partition, FaultKind::Suspension, FaultKind::Restart],
            since,
        )
    }

    /// Returns whether both daemons are running and not partitioned.
    pub fn reaches(&self, a: usize, b: usize) -> bool {
        ![a, b].iter().any(|one| {
            self.is_down(*one) || self.has_fault(*one, &[FaultKind::Partition], self.now)
        })
    }

    /// Stores new blocks and sends the facts to some random peers, with a random delay.
    pub fn send_facts(&mut self, from: usize, updates: &CrashFacts) {
        if updates.is_empty() {
            return;
        }
        if !self.has_fault(from, &[FaultKind::Partition], self.now) {
            self.stored.blocks.extend(updates.blocks.iter().cloned());
        }
        let others: Vec<usize> = (0..self.trackers.len()).filter(|other| *other != from).collect();
        let receivers: Vec<usize> =
            others.choose_multiple(&mut self.rng, FANOUT).copied().collect();
        for to in receivers {
            if self.reaches(from, to) {
                self.messages_sent += 1;
                let at = self.now + self.rng.random_range(1..60);
                self.messages.insert((at, self.messages_sent), (to, updates.clone()));
            }
        }
    }

    /// Delivers the messages that are due.
    pub fn deliver(&mut self) {
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (to, facts) = entry.remove();
            if !self.is_down(to) {
                let updates = self.trackers[to].merge(self.now, facts);
                self.send_facts(to, &updates);
            }
        }
    }

    /// Lets each running daemon decide on its pending requests.
    pub fn decide(&mut self) {
        for daemon in 0..self.trackers.len() {
            if !self.is_down(daemon) {
                let updates = self.trackers[daemon].decide(self.now);
                self.send_facts(daemon, &updates);
            }
        }
    }

    /// Exchanges facts between random pairs of daemons whose digests differ.
    pub fn heartbeats(&mut self) {
        for daemon in 0..self.trackers.len() {
            let peer = self.rng.random_range(0..self.trackers.len());
            if peer == daemon || !self.reaches(daemon, peer) {
                continue;
            }
            for (one, other) in [(daemon, peer), (peer, daemon)] {
                if self.trackers[one].digest(self.now) != self.trackers[other].digest(self.now) {
                    let facts = self.trackers[one].facts(self.now);
                    let updates = self.trackers[other].merge(self.now, facts);
                    self.send_facts(other, &updates);
                }
            }
        }
    }

    /// Clears the tracker of a restarting daemon and loads the stored blocks at its end.
    pub fn apply_restarts(&mut self) {
        for index in 0..self.faults.len() {
            let Fault { daemon, from, until, kind } = self.faults[index];
            if kind == FaultKind::Restart && from == self.now {
                self.trackers[daemon] = CrashTracker::default();
            }
            if kind == FaultKind::Restart && until == self.now {
                let stored = self.stored.clone();
                self.trackers[daemon].merge(self.now, stored);
            }
        }
    }

    /// Returns whether this daemon is the owner of the request among the daemons that it reaches,
    /// and is not running a copy of it.
    pub fn may_run_isolated(&self, daemon: usize, request: Fingerprint) -> bool {
        let score = |one: usize| (request.0 as usize + one * 31) % 97;
        let others = (0..self.trackers.len()).filter(|other| self.reaches(daemon, *other));
        let is_owner = others.max_by_key(|one| score(*one)).is_none_or(|owner| owner == daemon);
        let mut runs = self.servers.iter().flat_map(|server| &server.runs);
        is_owner && !runs.any(|run| run.request == request && run.daemon == daemon)
    }

    /// Handles a request that arrives at this daemon: refuses it, holds it back or sends it to a
    /// server.
    pub fn send(&mut self, daemon: usize, request: Fingerprint, run_ms: Millis, tries_left: u32) {
        self.send_prompt(daemon, request, Vec::new(), run_ms, tries_left);
    }

    /// Handles a request whose prompt has these shared parts.
    pub fn send_prompt(
        &mut self,
        daemon: usize,
        request: Fingerprint,
        parts: Vec<Fingerprint>,
        run_ms: Millis,
        tries_left: u32,
    ) {
        if self.is_down(daemon) {
            return;
        }
        let tracker = &self.trackers[daemon];
        let verdict = tracker.verdict(request);
        let part_verdicts = || parts.iter().map(|part| tracker.part_verdict(*part));
        if part_verdicts().any(|verdict| verdict == Verdict::Blocked) {
            return self.refused.push(request);
        }
        if part_verdicts().any(|verdict| verdict == Verdict::Undecided) {
            return;
        }
        match verdict {
            Verdict::Blocked => return self.refused.push(request),
            Verdict::Undecided => return,
            Verdict::Isolated if !self.may_run_isolated(daemon, request) => return,
            Verdict::Allowed | Verdict::Suspect | Verdict::Isolated => {}
        }
        let now = self.now;
        let available = self.servers.iter_mut().filter(|server| server.available_at <= now);
        let available: Vec<&mut Server> = available.collect();
        if available.is_empty() {
            return;
        }
        let at = if verdict == Verdict::Allowed {
            self.rng.random_range(0..available.len())
        } else {
            let placement = self.trackers[daemon].placement(request);
            (placement.key as usize).wrapping_add(placement.rank) % available.len()
        };
        let server = available.into_iter().nth(at).expect("the index is in range");
        let is_fatal_part = parts.contains(&fatal_part());
        server.runs.push(Run { request, parts, daemon, ends_at: now + run_ms, tries_left });
        let is_late = |at: Option<Millis>| at.is_some_and(|at| now > at + PROPAGATION_MS);
        if is_fatal_part && is_late(self.fifth_part_crash_at) && self.is_connected(daemon) {
            self.late_part_sends += 1;
        }
        let is_late = self.third_crash_at.is_some_and(|crash_at| now > crash_at + PROPAGATION_MS);
        if request == FATAL && is_late && self.is_connected(daemon) {
            self.late_sends += 1;
        }
    }

    /// Handles a request that arrives at this daemon together with the crashing one, and sends it
    /// to the same server if it is allowed to run anywhere.
    pub fn send_concurrent(&mut self, daemon: usize, request: Fingerprint, run_ms: Millis) {
        let has_fatal = |server: &Server| server.runs.iter().any(|run| run.request == FATAL);
        let server = self.servers.iter().position(has_fatal);
        let is_allowed = self.trackers[daemon].verdict(request) == Verdict::Allowed;
        match server {
            Some(server) if is_allowed => {
                let ends_at = self.now + run_ms;
                let run = Run { request, parts: Vec::new(), daemon, ends_at, tries_left: 0 };
                self.servers[server].runs.push(run);
            }
            _ => self.send(daemon, request, run_ms, 0),
        }
    }

    /// Crashes a server and reports it to the daemons of its runs, whose callers may retry.
    pub fn crash(&mut self, number: usize) {
        let server = &mut self.servers[number];
        server.available_at = self.now + RESTART_MS;
        let name = Name::from(format!("i-{number}"));
        let instance = ServerInstance { name, started_ms: server.restarts };
        server.restarts += 1;
        let runs = std::mem::take(&mut server.runs);
        if runs.iter().any(|run| run.request == FATAL) {
            self.crashes += 1;
            if self.crashes == CRASHES_TO_BLOCK {
                self.third_crash_at = Some(self.now);
            }
        }
        if runs.iter().any(|run| run.parts.contains(&fatal_part())) {
            self.part_crashes += 1;
            if self.part_crashes == CRASHES_TO_BLOCK_PART {
                self.fifth_part_crash_at = Some(self.now);
            }
        }
        let version = self.version(number);
        for run in &runs {
            if self.is_down(run.daemon) {
                continue;
            }
            let tracker = &mut self.trackers[run.daemon];
            for one in run.parts.iter().chain([&run.request]) {
                tracker.record_disconnect(self.now, &instance, *one);
            }
            if let Some(part) = run.parts.first() {
                tracker.record_outcome(self.now, *part, version, true);
            }
        }
        for daemon in 0..self.trackers.len() {
            if runs.iter().any(|run| run.daemon == daemon) && !self.is_down(daemon) {
                let updates = self.trackers[daemon].record_crash(self.now, &instance);
                self.send_facts(daemon, &updates);
            }
        }
        for run in runs.into_iter().filter(|run| run.tries_left > 0 && run.request != FATAL) {
            let daemon = self.rng.random_range(0..self.trackers.len());
            let run_ms = self.rng.random_range(50..1_500);
            self.send_prompt(daemon, run.request, run.parts, run_ms, run.tries_left - 1);
        }
    }

    /// Returns the software version of a server: broken ones have another one.
    fn version(&self, number: usize) -> u64 {
        u64::from(number < self.broken_servers)
    }

    /// Ends the runs that are due: with a crash or with a success.
    pub fn finish_runs(&mut self) {
        for number in 0..self.servers.len() {
            let is_due = |run: &Run| run.ends_at <= self.now;
            let is_fatal = |run: &Run| {
                run.request == FATAL
                    || run.parts.contains(&fatal_part())
                    || number < self.broken_servers
            };
            if self.servers[number].runs.iter().any(|run| is_fatal(run) && is_due(run)) {
                self.crash(number);
                continue;
            }
            let (ended, running): (Vec<Run>, Vec<Run>) =
                self.servers[number].runs.drain(..).partition(is_due);
            self.servers[number].runs = running;
            let version = self.version(number);
            for run in ended {
                if self.is_down(run.daemon) {
                    continue;
                }
                let tracker = &mut self.trackers[run.daemon];
                let mut updates = tracker.record_success(self.now, run.request);
                for part in &run.parts {
                    updates.merge(&tracker.record_success(self.now, *part));
                }
                if let Some(part) = run.parts.first().filter(|_| !tracker.is_empty()) {
                    tracker.record_outcome(self.now, *part, version, false);
                }
                self.send_facts(run.daemon, &updates);
            }
        }
    }

    /// Advances the simulation by one tick.
    pub fn tick(&mut self) {
        self.now += TICK_MS;
        self.apply_restarts();
        self.deliver();
        self.decide();
        if self.now % HEARTBEAT_MS == 0 {
            self.heartbeats();
        }
        self.finish_runs();
    }
}
