//! Software versions of the servers, for streams that go on after an interruption.

use std::collections::{BTreeMap, BTreeSet};

use crate::router::Router;
use crate::stream_versions::VersionHistory;
use crate::{Millis, Name};

impl Router {
    /// Records the versions of the servers after an adoption.
    pub fn record_versions(&mut self, now: Millis) {
        let mut listed: BTreeMap<Name, BTreeSet<Option<Name>>> = BTreeMap::new();
        for (view, pools) in self.servers.iter().zip(&self.memberships) {
            for (pool, _) in pools {
                let name = &self.pools[*pool as usize].name;
                let is_known = listed.get(name).is_some_and(|known| known.contains(&view.version));
                if !is_known {
                    listed.entry(name.clone()).or_default().insert(view.version.clone());
                }
            }
        }
        self.versions.record_listed(now, &listed);
    }

    /// Returns the versions over time.
    pub fn version_history(&self) -> &VersionHistory {
        &self.versions
    }

    /// Checks that this daemon follows the list of servers, as [`VersionHistory::check_news`].
    pub fn check_version_news(&mut self, now: Millis, news_age: Option<Millis>) {
        self.versions.check_news(now, news_age);
    }

    /// Returns whether the pool has a server of this version that is not leaving.
    pub fn has_version(&self, now: Millis, pool: &str, version: &Name) -> bool {
        let members = self.pool(pool).into_iter().flat_map(|pool| &pool.halls);
        let mut views =
            members.flat_map(|hall| &hall.members).map(|index| &self.servers[*index as usize]);
        views.any(|view| view.version.as_ref() == Some(version) && !view.is_leaving(now))
    }
}
