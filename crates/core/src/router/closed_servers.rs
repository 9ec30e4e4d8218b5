//! Servers that have announced that they are leaving or asked for rest.
//!
//! Such a server is closed: this daemon sends it no requests.

use std::collections::HashMap;

use crate::crashes::ServerInstance;
use crate::hints::{Closed, LeavingFact};
use crate::router::view::ServerView;
use crate::router::{Choice, Router};
use crate::{Millis, Name};

impl Router {
    /// Checks that this instance of a server has neither announced that it is leaving nor asked
    /// for rest.
    ///
    /// # Errors
    /// [`Closed`] with the reason.
    pub fn check_open(&self, now: Millis, server: &ServerInstance) -> Result<(), Closed> {
        let instance = self.resolve_instance(server);
        if self.leaving.contains(&instance) {
            return Err(Closed::Leaving);
        }
        let left_ms = self.rests.end(&instance).saturating_sub(now);
        if left_ms > 0 { Err(Closed::Resting { left_ms }) } else { Ok(()) }
    }

    /// Checks that the server chosen earlier may still be sent to: it is listed, not leaving and
    /// not resting. A request may wait for a permit or a processor between its choice and its send.
    ///
    /// # Errors
    /// [`Closed`] with the reason.
    pub fn check_choice(&self, now: Millis, choice: &Choice) -> Result<(), Closed> {
        self.check_open(now, &choice.instance())?;
        let is_serving = self.is_current_and_not_leaving(now, &choice.server, choice.started_ms);
        if is_serving { Ok(()) } else { Err(Closed::Unlisted) }
    }

    /// Returns whether no server instance is leaving or has asked for rest.
    pub fn all_open(&self) -> bool {
        self.leaving.is_empty() && self.rests.is_empty()
    }

    /// Records that this instance of a server has announced that it is leaving. Returns the
    /// fact to send to peers if it is new.
    pub fn record_leaving(&mut self, now: Millis, server: &ServerInstance) -> Option<LeavingFact> {
        let server = self.resolve_instance(server);
        let is_new = self.leaving.add(now, &server, 0);
        self.refresh_view(&server.name);
        is_new.then_some(LeavingFact { server, age_ms: 0 })
    }

    /// Merges facts from peers about server instances that are leaving. Returns the new ones.
    pub fn merge_leaving(&mut self, now: Millis, facts: &[LeavingFact]) -> Vec<LeavingFact> {
        let listed = ListedInstances { servers: &self.servers, by_name: &self.by_name };
        let new = self.leaving.merge(now, facts, |server| listed.contains(server));
        new.iter().for_each(|fact| self.refresh_view(&fact.server.name));
        new
    }

    /// Returns up to `max` facts about server instances that are leaving, from index `offset` on.
    pub fn leaving_facts(&self, now: Millis, max: usize, offset: usize) -> Vec<LeavingFact> {
        self.leaving.facts(now, max, offset)
    }

    /// Returns a hash of the server instances that are leaving; 0 when there are none.
    pub fn leaving_digest(&self) -> u64 {
        self.leaving.digest()
    }

    /// Records that this instance of a server asks now for a rest of `rest_ms`. Returns whether
    /// the rest ends later than the one known before.
    pub fn record_rest(&mut self, now: Millis, server: &ServerInstance, rest_ms: Millis) -> bool {
        let server = self.resolve_instance(server);
        let is_longer = self.rests.record(now, &server, rest_ms).is_some();
        self.refresh_view(&server.name);
        is_longer
    }

    /// Removes the leaving server instances and the rests that have expired, as
    /// [`crate::hints::LeavingServers::remove_expired`] and
    /// [`crate::hints::RestPeriods::remove_expired`] define it.
    pub fn remove_expired_hints(&mut self, now: Millis) {
        let listed = ListedInstances { servers: &self.servers, by_name: &self.by_name };
        self.leaving.remove_expired(now, |server| listed.contains(server));
        self.rests.remove_expired(now, |server| listed.contains(server));
    }

    /// Records the start time from a load report, for a server whose row has none. Without an
    /// earlier report, announcements received before apply to this instance; when an earlier
    /// report named another start time, the server has restarted and they do not.
    pub(super) fn record_reported_start(&mut self, now: Millis, name: &Name, started_ms: Millis) {
        let Some(index) = self.by_name.get(name).map(|index| *index as usize) else { return };
        let view = &mut self.servers[index];
        if started_ms == 0 || view.started_ms != 0 || view.reported_start_ms == started_ms {
            return;
        }
        let before = view.known_instance();
        view.reported_start_ms = started_ms;
        let instance = view.known_instance();
        if before.started_ms == 0 {
            if self.leaving.contains(&before) {
                self.leaving.add(now, &instance, 0);
            }
            self.rests.record(now, &instance, self.rests.end(&before).saturating_sub(now));
        }
        self.refresh_view(name);
    }

    /// Completes the start time from load reports: a choice has none for a server of the
    /// operators' table.
    fn resolve_instance(&self, server: &ServerInstance) -> ServerInstance {
        let view = self.by_name.get(&server.name).map(|index| &self.servers[*index as usize]);
        let known = view.filter(|view| server.started_ms == 0 && view.started_ms == 0);
        known.map_or_else(|| server.clone(), ServerView::known_instance)
    }

    /// Copies a server's leaving and rest state into its view.
    pub(super) fn refresh_view(&mut self, name: &Name) {
        let Some(index) = self.by_name.get(name).map(|index| *index as usize) else { return };
        let view = &mut self.servers[index];
        let instance = view.known_instance();
        view.said_leaving = self.leaving.contains(&instance);
        view.rests_until = self.rests.end(&instance);
    }
}

/// Instances of the servers in the table.
struct ListedInstances<'a> {
    servers: &'a [ServerView],
    by_name: &'a HashMap<Name, u32>,
}

impl ListedInstances<'_> {
    fn contains(&self, server: &ServerInstance) -> bool {
        let index = self.by_name.get(&server.name).map(|index| *index as usize);
        index.is_some_and(|index| self.servers[index].known_instance() == *server)
    }
}
