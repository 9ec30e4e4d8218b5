//! Servers that must not be sent to, by their own word.

use std::collections::HashMap;

use crate::crashes::ServerStart;
use crate::hints::{Closed, LeavingFact};
use crate::router::Router;
use crate::router::view::ServerView;
use crate::{Millis, Name};

impl Router {
    /// Whether this start of a server may be sent to as far as its own word goes.
    ///
    /// # Errors
    /// [`Closed`] tells what it has said.
    pub fn check_open(&self, now: Millis, server: &ServerStart) -> Result<(), Closed> {
        let start = self.resolve_start(server);
        if self.leaving.contains(&start) {
            return Err(Closed::Leaving);
        }
        let left_ms = self.rests.end(&start).saturating_sub(now);
        if left_ms > 0 { Err(Closed::Resting { left_ms }) } else { Ok(()) }
    }

    /// Whether no server has said anything of that kind.
    pub fn all_open(&self) -> bool {
        self.leaving.is_empty() && self.rests.is_empty()
    }

    /// Takes in that this start of a server says that it leaves; returns the fact for peers
    /// when that is new.
    pub fn observe_leaving(&mut self, now: Millis, server: &ServerStart) -> Option<LeavingFact> {
        let server = self.resolve_start(server);
        let is_new = self.leaving.add(now, &server, 0);
        self.refresh_view(&server.name);
        is_new.then_some(LeavingFact { server, age_ms: 0 })
    }

    /// Takes in starts of which peers have told that they leave; returns what is new.
    pub fn merge_leaving(&mut self, now: Millis, facts: &[LeavingFact]) -> Vec<LeavingFact> {
        let listed = ListedStarts { servers: &self.servers, by_name: &self.by_name };
        let new = self.leaving.merge(now, facts, |server| listed.contains(server));
        new.iter().for_each(|fact| self.refresh_view(&fact.server.name));
        new
    }

    /// Up to `most` of the starts that leave, from place `turn` on.
    pub fn leaving_facts(&self, now: Millis, most: usize, turn: usize) -> Vec<LeavingFact> {
        self.leaving.facts(now, most, turn)
    }

    /// Hash of the starts that leave; 0 when there are none.
    pub fn leaving_digest(&self) -> u64 {
        self.leaving.digest()
    }

    /// Takes in that this start of a server asks now for a rest of so many milliseconds;
    /// returns whether it ends later than what was known.
    pub fn observe_rest(&mut self, now: Millis, server: &ServerStart, rest_ms: Millis) -> bool {
        let server = self.resolve_start(server);
        let is_longer = self.rests.observe(now, &server, rest_ms).is_some();
        self.refresh_view(&server.name);
        is_longer
    }

    /// Forgets starts that nobody lists any more, and rests that are over.
    pub fn expire_closed(&mut self, now: Millis) {
        let listed = ListedStarts { servers: &self.servers, by_name: &self.by_name };
        self.leaving.forget_old(now, |server| listed.contains(server));
        self.rests.forget_old(now, |server| listed.contains(server));
    }

    /// Takes in a load report's word of when the server was started. What was said by then
    /// concerns that start when none was known, and another start has said nothing.
    pub(super) fn record_reported_start(&mut self, now: Millis, name: &Name, started_ms: Millis) {
        let Some(index) = self.by_name.get(name).map(|index| *index as usize) else { return };
        let view = &mut self.servers[index];
        if started_ms == 0 || view.started_ms != 0 || view.reported_start_ms == started_ms {
            return;
        }
        let before = view.known_start();
        view.reported_start_ms = started_ms;
        let start = view.known_start();
        if before.started_ms == 0 {
            if self.leaving.contains(&before) {
                self.leaving.add(now, &start, 0);
            }
            self.rests.observe(now, &start, self.rests.end(&before).saturating_sub(now));
        }
        self.refresh_view(name);
    }

    /// The start whose word it is: a choice does not tell when a server of the operators' table
    /// was started.
    fn resolve_start(&self, server: &ServerStart) -> ServerStart {
        let view = self.by_name.get(&server.name).map(|index| &self.servers[*index as usize]);
        let known = view.filter(|view| server.started_ms == 0 && view.started_ms == 0);
        known.map_or_else(|| server.clone(), ServerView::known_start)
    }

    /// Puts what is known of a server to its view.
    fn refresh_view(&mut self, name: &Name) {
        let Some(index) = self.by_name.get(name).map(|index| *index as usize) else { return };
        let view = &mut self.servers[index];
        let start = view.known_start();
        view.said_leaving = self.leaving.contains(&start);
        view.rests_until = self.rests.end(&start);
    }
}

/// The starts of servers that are listed.
struct ListedStarts<'a> {
    servers: &'a [ServerView],
    by_name: &'a HashMap<Name, u32>,
}

impl ListedStarts<'_> {
    fn contains(&self, server: &ServerStart) -> bool {
        let index = self.by_name.get(&server.name).map(|index| *index as usize);
        index.is_some_and(|index| self.servers[index].known_start() == *server)
    }
}
