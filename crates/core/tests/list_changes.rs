//! The list of servers goes between daemons as what changed. Each daemon fetched the whole list
//! for each change: 300 hosts before 3,000 servers spent most of their bytes on it.

use std::collections::BTreeMap;

use bankcove_core::server_list::{
    LAPSE_GRACE_MS, ListUpdate, ListedServer, RemovedServer, ServerChanges, ServerList,
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
    /// The platform was away, and the watcher reads the whole list.
    Return(usize),
    Ask(usize, usize),
    Pass(Millis),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..NAMES, any::<bool>()).prop_map(|(n, draining)| Step::Put(n, draining)),
        1 => (0..NAMES).prop_map(Step::Restart),
        2 => (0..NAMES).prop_map(Step::Remove),
        4 => (0..WATCHERS).prop_map(Step::Watch),
        1 => (0..WATCHERS).prop_map(Step::Return),
        8 => (0..DAEMONS, 0..DAEMONS).prop_map(|(to, from)| Step::Ask(to, from)),
        1 => (1..3_000_u64).prop_map(Step::Pass),
    ]
}

/// The platform, its watchers, and daemons that are told.
struct World {
    now: Millis,
    rev: u64,
    entries: BTreeMap<usize, (Millis, bool)>,
    /// The last start of each server.
    starts: [Millis; NAMES],
    /// For each change its name, and the start that was removed.
    events: Vec<(usize, Option<Millis>)>,
    lists: Vec<ServerList>,
    read_to: [u64; WATCHERS],
    whole: usize,
    changes: usize,
}

impl World {
    fn new() -> Self {
        World {
            now: 10_000,
            rev: 0,
            entries: BTreeMap::new(),
            starts: [1; NAMES],
            events: Vec::new(),
            lists: vec![ServerList::default(); DAEMONS],
            read_to: [0; WATCHERS],
            whole: 0,
            changes: 0,
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
        self.rev += 1;
        self.events.push((n, before.filter(|_| entry.is_none()).map(|(start, _)| start)));
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Put(n, draining) => self.change(n, Some((self.starts[n], draining))),
            Step::Restart(n) => {
                self.starts[n] += 1;
                self.change(n, Some((self.starts[n], false)));
            }
            Step::Remove(n) => self.change(n, None),
            Step::Watch(n) => self.watch(n),
            Step::Return(n) => {
                self.lists[n].start_lapse_grace(self.now);
                self.read(n, true);
            }
            Step::Ask(to, from) => self.ask(to, from),
            Step::Pass(ms) => {
                self.now += ms;
                let now = self.now;
                self.lists.iter_mut().for_each(|list| _ = list.drop_lapsed(now));
            }
        }
    }

    fn watch(&mut self, n: usize) {
        if self.read_to[n] == 0 {
            return self.read(n, true);
        }
        if self.read_to[n] < self.rev {
            self.read(n, false);
        }
    }

    fn read(&mut self, n: usize, whole: bool) {
        let at = self.rev;
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

    fn ask(&mut self, to: usize, from: usize) {
        // A list that is in doubt is asked for as a whole at once.
        for _ in 0..2 {
            self.ask_once(to, from);
            if !self.lists[to].needs_full_list() {
                return;
            }
        }
    }

    fn ask_once(&mut self, to: usize, from: usize) {
        if self.lists[from].version() <= self.lists[to].version()
            && !self.lists[to].needs_full_list()
        {
            return;
        }
        let known = self.lists[to].version_for_update();
        let Some((version, news)) = self.lists[from].update_since(self.now, known) else { return };
        match news {
            ListUpdate::Whole(_) => self.whole += 1,
            ListUpdate::Changes { .. } => self.changes += 1,
        }
        self.lists[to].apply_update(self.now, version, news);
    }

    fn settle(&mut self) {
        self.run(Step::Pass(2 * LAPSE_GRACE_MS));
        self.change(0, Some((99, false)));
        (0..WATCHERS).for_each(|n| self.watch(n));
        for _ in 0..DAEMONS {
            for to in 0..DAEMONS {
                (0..DAEMONS).for_each(|from| self.ask(to, from));
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

    /// However changes, outages, lapses and questions come, all end with the platform's list.
    #[test]
    fn all_daemons_come_to_the_platforms_list(steps in prop::collection::vec(step(), 1..120)) {
        let mut world = World::new();
        steps.into_iter().for_each(|step| world.run(step));
        world.settle();
        let expected: BTreeMap<Name, (Millis, bool)> =
            world.entries.iter().map(|(n, entry)| (name(*n), *entry)).collect();
        for n in 0..DAEMONS {
            prop_assert_eq!(world.listed(n), expected.clone(), "daemon {}", n);
        }
    }
}

#[test]
fn a_daemon_that_is_up_to_date_is_told_one_change_and_not_the_list() {
    let mut world = World::new();
    (0..NAMES).for_each(|n| world.run(Step::Put(n, false)));
    world.run(Step::Watch(0));
    world.ask(3, 0);
    assert_eq!((world.whole, world.changes), (1, 0));
    world.run(Step::Put(2, true));
    world.run(Step::Watch(0));
    let known = world.lists[3].version();
    let told = world.lists[0].update_since(world.now, known).expect("there is news").1;
    let ListUpdate::Changes { put, gone, .. } = told else { panic!("the whole list is told") };
    assert_eq!((put.len(), gone.len()), (1, 0));
    // Whoever was told passes it on in the same way.
    world.ask(3, 0);
    world.run(Step::Remove(5));
    world.run(Step::Watch(0));
    world.ask(3, 0);
    world.ask(4, 3);
    assert_eq!(world.listed(4), world.listed(0));
    assert_eq!((world.whole, world.changes), (2, 2));
}
