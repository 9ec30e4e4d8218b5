//! Incremental replication of the server list between daemons. It guards against sending the full
//! list for each change, on which 300 hosts with 3,000 servers spent most of their traffic.

use std::collections::BTreeMap;

use bankcove_core::server_list::{
    GRACE_PERIOD_MS, ListUpdate, ListedServer, RemovedServer, ServerChanges, ServerList,
};
use bankcove_core::{Millis, Name};
use proptest::prelude::*;

const NAMES: usize = 8;
const WATCHERS: usize = 2;
const DAEMONS: usize = 6;

fn name(n: usize) -> Name {
    Name::from(format!("s{n}").as_str())
}

fn server(n: usize, started_ms: Millis, draining: bool) -> ListedServer {
    ListedServer {
        version: None,
        name: name(n),
        started_ms,
        service: Name::from("engines"),
        address: format!("10.0.0.{n}:1"),
        hall: Name::from("hall-1"),
        slots: 8,
        draining,
        cold_for_ms: 0,
    }
}

#[derive(Debug, Clone)]
enum Step {
    Put(usize, bool),
    Restart(usize),
    Remove(usize),
    Watch(usize),
    /// The platform returns from an outage, and the watcher reads the full list.
    Return(usize),
    /// The first daemon requests an update from the second.
    RequestUpdate(usize, usize),
    PassTime(Millis),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..NAMES, any::<bool>()).prop_map(|(n, draining)| Step::Put(n, draining)),
        1 => (0..NAMES).prop_map(Step::Restart),
        2 => (0..NAMES).prop_map(Step::Remove),
        4 => (0..WATCHERS).prop_map(Step::Watch),
        1 => (0..WATCHERS).prop_map(Step::Return),
        8 => (0..DAEMONS, 0..DAEMONS).prop_map(|(to, from)| Step::RequestUpdate(to, from)),
        1 => (1..3_000_u64).prop_map(Step::PassTime),
    ]
}

/// Simulation of the platform, the daemons that watch it, and the daemons that receive updates
/// from peers.
struct Simulation {
    now: Millis,
    revision: u64,
    entries: BTreeMap<usize, (Millis, bool)>,
    /// Start time of the newest instance of each server.
    started_ms: [Millis; NAMES],
    /// For each change the server's number, and the start time of the instance if it was removed.
    events: Vec<(usize, Option<Millis>)>,
    lists: Vec<ServerList>,
    /// Revision up to which each watcher has read the list; 0 before the first read.
    read_to: [u64; WATCHERS],
    full_lists_sent: usize,
    changes_sent: usize,
}

impl Simulation {
    fn new() -> Self {
        Simulation {
            now: 10_000,
            revision: 0,
            entries: BTreeMap::new(),
            started_ms: [1; NAMES],
            events: Vec::new(),
            lists: vec![ServerList::default(); DAEMONS],
            read_to: [0; WATCHERS],
            full_lists_sent: 0,
            changes_sent: 0,
        }
    }

    fn change(&mut self, n: usize, entry: Option<(Millis, bool)>) {
        let before = self.entries.get(&n).copied();
        if before == entry {
            return;
        }
        match entry {
            Some(entry) => drop(self.entries.insert(n, entry)),
            None => drop(self.entries.remove(&n)),
        }
        self.revision += 1;
        self.events.push((n, before.filter(|_| entry.is_none()).map(|(started_ms, _)| started_ms)));
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Put(n, draining) => self.change(n, Some((self.started_ms[n], draining))),
            Step::Restart(n) => {
                self.started_ms[n] += 1;
                self.change(n, Some((self.started_ms[n], false)));
            }
            Step::Remove(n) => self.change(n, None),
            Step::Watch(n) => self.watch(n),
            Step::Return(n) => {
                self.lists[n].start_grace_period(self.now);
                self.read(n, true);
            }
            Step::RequestUpdate(to, from) => self.request_update(to, from),
            Step::PassTime(ms) => {
                self.now += ms;
                let now = self.now;
                self.lists.iter_mut().for_each(|list| _ = list.drop_expired(now));
            }
        }
    }

    fn watch(&mut self, n: usize) {
        if self.read_to[n] == 0 {
            return self.read(n, true);
        }
        if self.read_to[n] < self.revision {
            self.read(n, false);
        }
    }

    fn read(&mut self, n: usize, whole: bool) {
        let at = self.revision;
        let mut changes = ServerChanges { at, whole, ..ServerChanges::default() };
        let listed = |(n, (at, draining)): (&usize, &(Millis, bool))| server(*n, *at, *draining);
        if whole {
            changes.put = self.entries.iter().map(listed).collect();
        } else {
            let last: BTreeMap<usize, Option<Millis>> =
                self.events[self.read_to[n] as usize..].iter().copied().collect();
            for (n, gone) in last {
                match (self.entries.get(&n), gone) {
                    (Some(entry), _) => changes.put.push(listed((&n, entry))),
                    (None, Some(started_ms)) => {
                        changes.gone.push(RemovedServer { name: name(n), started_ms })
                    }
                    (None, None) => {}
                }
            }
        }
        self.lists[n].apply(self.now, changes);
        self.read_to[n] = at;
    }

    fn request_update(&mut self, to: usize, from: usize) {
        // A daemon whose list differs after the changes requests the full list at once.
        for _ in 0..2 {
            self.request_update_once(to, from);
            if !self.lists[to].needs_full_list() {
                return;
            }
        }
    }

    fn request_update_once(&mut self, to: usize, from: usize) {
        if self.lists[from].version() <= self.lists[to].version()
            && !self.lists[to].needs_full_list()
        {
            return;
        }
        let known = self.lists[to].version_for_update();
        let Some((version, update)) = self.lists[from].update_since(self.now, known) else {
            return;
        };
        match update {
            ListUpdate::Whole(_) => self.full_lists_sent += 1,
            ListUpdate::Changes { .. } => self.changes_sent += 1,
        }
        self.lists[to].apply_update(self.now, version, update);
    }

    /// Ends all grace periods, changes one entry and lets every daemon request all updates.
    fn converge(&mut self) {
        self.run(Step::PassTime(2 * GRACE_PERIOD_MS));
        self.change(0, Some((99, false)));
        (0..WATCHERS).for_each(|n| self.watch(n));
        for _ in 0..DAEMONS {
            for to in 0..DAEMONS {
                (0..DAEMONS).for_each(|from| self.request_update(to, from));
            }
        }
    }

    fn listed(&self, n: usize) -> BTreeMap<Name, (Millis, bool)> {
        let servers = self.lists[n].servers();
        servers.map(|s| (s.name.clone(), (s.started_ms, s.draining))).collect()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// All daemons converge to the platform's list after any sequence of changes, outages, drops
    /// and requests.
    #[test]
    fn all_daemons_converge_to_the_platforms_list(steps in prop::collection::vec(step(), 1..120)) {
        let mut simulation = Simulation::new();
        steps.into_iter().for_each(|step| simulation.run(step));
        simulation.converge();
        let expected: BTreeMap<Name, (Millis, bool)> =
            simulation.entries.iter().map(|(n, entry)| (name(*n), *entry)).collect();
        for n in 0..DAEMONS {
            prop_assert_eq!(simulation.listed(n), expected.clone(), "daemon {}", n);
        }
    }
}

#[test]
fn a_daemon_that_is_up_to_date_receives_one_change_instead_of_the_full_list() {
    let mut simulation = Simulation::new();
    (0..NAMES).for_each(|n| simulation.run(Step::Put(n, false)));
    simulation.run(Step::Watch(0));
    simulation.request_update(3, 0);
    assert_eq!((simulation.full_lists_sent, simulation.changes_sent), (1, 0));
    simulation.run(Step::Put(2, true));
    simulation.run(Step::Watch(0));
    let known = simulation.lists[3].version();
    let update = simulation.lists[0].update_since(simulation.now, known).expect("an update").1;
    let ListUpdate::Changes { put, gone, .. } = update else { panic!("the full list is sent") };
    assert_eq!((put.len(), gone.len()), (1, 0));
    // A daemon that received an update forwards it incrementally too.
    simulation.request_update(3, 0);
    simulation.run(Step::Remove(5));
    simulation.run(Step::Watch(0));
    simulation.request_update(3, 0);
    simulation.request_update(4, 3);
    assert_eq!(simulation.listed(4), simulation.listed(0));
    assert_eq!((simulation.full_lists_sent, simulation.changes_sent), (2, 2));
}
