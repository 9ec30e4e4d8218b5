//! Network paths from this host to the backend servers (core `paths`).
//!
//! Owns the state of the direct path to each group of servers, which `entry` updates with the
//! outcome of its attempts (`contact`) and `probe` with probes. Depends on `fleet` and the router's
//! state; called by all layers above.

pub mod contact;
pub mod probe;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bankcove_core::paths::{Evidence, PathChange, PathTracker, ProbeRound, ServerGroup};
use bankcove_core::router::Router;
use bankcove_core::{Millis, Name};
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::sync::Notify;

use crate::fleet::Fleet;
use crate::paths::contact::GroupContact;

/// Paths to the groups of servers as known to this daemon.
pub struct Paths {
    fleet: Fleet,
    router: Arc<Mutex<Router>>,
    tracker: Mutex<PathTracker>,
    /// Whether any path has failed of late; if not, requests skip the lock of `tracker`.
    has_trouble: AtomicBool,
    /// Latest data received directly from each group.
    contacts: Mutex<HashMap<ServerGroup, Arc<GroupContact>>>,
    /// Notified when groups are to be probed.
    probe_due: Notify,
    /// Notified (all waiting tasks) when a path was lost.
    path_lost: Notify,
}

impl Paths {
    /// Creates the state in which all servers are reachable.
    pub fn new(fleet: Fleet, router: Arc<Mutex<Router>>) -> Self {
        Paths {
            fleet,
            router,
            tracker: Mutex::default(),
            has_trouble: AtomicBool::new(false),
            contacts: Mutex::default(),
            probe_due: Notify::new(),
            path_lost: Notify::new(),
        }
    }

    /// Applies `change` to the tracker, then updates the values derived from it.
    fn change<T>(&self, change: impl FnOnce(Millis, &mut PathTracker) -> T) -> T {
        let now = self.fleet.base.clock.now();
        let mut tracker = self.tracker.lock();
        let changed = change(now, &mut tracker);
        self.has_trouble.store(!tracker.is_empty(), Ordering::Relaxed);
        self.fleet.base.metrics.set("path.lost_groups", tracker.lost().count() as u64);
        changed
    }

    /// Returns the result of `read` on the tracker; `None` while no path has failed of late.
    fn read<T>(&self, read: impl FnOnce(Millis, &PathTracker) -> T) -> Option<T> {
        let has_trouble = self.has_trouble.load(Ordering::Relaxed);
        has_trouble.then(|| read(self.fleet.base.clock.now(), &self.tracker.lock()))
    }

    /// Returns whether the direct path to a group is lost.
    pub fn is_lost(&self, group: &ServerGroup) -> bool {
        self.read(|_, tracker| tracker.is_lost(group)).unwrap_or(false)
    }

    /// Records evidence that the path to a group may be lost.
    pub fn record_evidence(&self, group: &ServerGroup, evidence: Evidence) {
        let is_new = self.change(|now, tracker| tracker.record_evidence(now, group, evidence));
        if is_new {
            self.fleet.base.metrics.count("path.suspected");
            slog::info!(self.fleet.base.log, "path suspected";
                "pool" => %group.pool, "hall" => %group.hall, "evidence" => ?evidence,
                "heard_ms_ago" => self.contact_age(group));
            self.probe_due.notify_one();
        }
    }

    /// Records the result of a round of probes of a group; `unreached` are the servers that did not
    /// accept a connection.
    fn record_round(&self, group: &ServerGroup, round: ProbeRound, unreached: &[Name]) {
        let change = self.change(|now, tracker| tracker.record_round(now, group, round));
        match change {
            Some(PathChange::Lost) => self.apply_loss(group, round, unreached),
            Some(PathChange::Regained { lost_ms }) => {
                self.fleet.base.metrics.count("path.regained");
                slog::warn!(self.fleet.base.log, "path regained";
                    "pool" => %group.pool, "hall" => %group.hall, "lost_ms" => lost_ms);
            }
            None => {}
        }
        self.probe_due.notify_one();
    }

    /// Logs and counts that a path was lost, and suspects those to all other groups.
    fn apply_loss(&self, group: &ServerGroup, round: ProbeRound, unreached: &[Name]) {
        let unreached: Vec<&str> = unreached.iter().map(Name::as_str).collect();
        self.fleet.base.metrics.count("path.lost");
        slog::warn!(self.fleet.base.log, "path lost";
            "pool" => %group.pool, "hall" => %group.hall, "servers_tried" => unreached.join(", "),
            "has_data" => round.has_data, "heard_ms_ago" => self.contact_age(group));
        let groups = self.router.lock().groups();
        self.change(|now, tracker| tracker.suspect_all(now, groups));
        self.path_lost.notify_waiters();
    }

    /// Returns the time since data was last received directly from a group, in milliseconds.
    fn contact_age(&self, group: &ServerGroup) -> Option<Millis> {
        let contacts = self.contacts.lock();
        let age = contacts.get(group)?.age(self.fleet.base.clock.now());
        Some(age)
    }

    /// Returns the paths that have failed of late as JSON, for operators.
    pub fn dump(&self) -> Value {
        let rows = self.read(|_, tracker| {
            let row = |(group, state)| json!({"group": group, "path": state});
            tracker.states().map(row).collect::<Vec<Value>>()
        });
        json!(rows.unwrap_or_default())
    }
}
