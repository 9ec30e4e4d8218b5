//! Software versions of each pool's servers over time, as listed by the platform.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::{Millis, Name};

/// Age of the news of servers, in milliseconds, up to which this daemon follows the list without a
/// gap. After an older one versions may have come and gone unseen.
pub const MAX_NEWS_AGE_MS: Millis = 1_500;

/// Time for which streams begin at other versions, if there are any, after a version was first
/// listed, in milliseconds: by then all daemons whose news is no older than [`MAX_NEWS_AGE_MS`] know
/// that there are several versions.
pub const NEW_VERSION_DELAY_MS: Millis = 2_000;

/// Maximum time for which a stream can go on, in milliseconds.
pub const MAX_LIFE_MS: Millis = 120_000;

/// Time for which versions are remembered that are no longer listed, in milliseconds.
const MEMORY_MS: Millis = MAX_LIFE_MS + NEW_VERSION_DELAY_MS;

/// One version of a pool's servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct SeenVersion {
    /// The version; `None` for servers whose version is unknown.
    version: Option<Name>,
    first_at: Millis,
    /// When it was last listed; `None` while it is.
    gone_at: Option<Millis>,
}

impl SeenVersion {
    fn is_seen_since(&self, at: Millis) -> bool {
        self.gone_at.is_none_or(|gone_at| gone_at >= at)
    }
}

/// Versions of one pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct PoolVersions {
    /// Time since which no listed version was missed.
    complete_since: Millis,
    versions: Vec<SeenVersion>,
}

/// Versions of all pools, as known to one daemon.
#[derive(Debug, Clone, Default, Serialize)]
pub struct VersionHistory {
    pools: BTreeMap<Name, PoolVersions>,
    checked_at: Millis,
}

impl VersionHistory {
    /// Applies the versions of all listed servers, by pool.
    pub fn record_listed(&mut self, now: Millis, listed: &BTreeMap<Name, BTreeSet<Option<Name>>>) {
        let none = BTreeSet::new();
        for name in listed.keys() {
            let new = || PoolVersions { complete_since: now, versions: Vec::new() };
            self.pools.entry(name.clone()).or_insert_with(new);
        }
        for (name, pool) in &mut self.pools {
            pool.record_listed(now, listed.get(name).unwrap_or(&none));
        }
    }

    /// Checks that this daemon follows the list without a gap; `news_age` is the greatest possible
    /// age of its news now. Must be called more often than once in [`MAX_NEWS_AGE_MS`]: a longer
    /// interval means that this daemon was suspended.
    pub fn check_news(&mut self, now: Millis, news_age: Option<Millis>) {
        let was_checked = now.saturating_sub(self.checked_at) <= MAX_NEWS_AGE_MS;
        self.checked_at = now;
        if !was_checked || !is_recent(news_age) {
            self.pools.values_mut().for_each(|pool| pool.complete_since = now);
        }
    }

    /// Returns the version that all servers of a pool have had for `life_ms`, with news of this
    /// age; `None` if there were several, if any was unknown, or if this daemon may have missed one.
    pub fn only_version(
        &self,
        now: Millis,
        pool: &Name,
        life_ms: Millis,
        news_age: Option<Millis>,
    ) -> Option<&Name> {
        let is_checked = now.saturating_sub(self.checked_at) <= MAX_NEWS_AGE_MS;
        // A daemon with older news may have begun a stream at a version that is already gone here.
        let since = now.checked_sub(life_ms.min(MAX_LIFE_MS) + NEW_VERSION_DELAY_MS)?;
        let pool = self.pools.get(pool).filter(|_| is_checked && is_recent(news_age))?;
        if pool.complete_since > since {
            return None;
        }
        let mut seen = pool.versions.iter().filter(|seen| seen.is_seen_since(since));
        let only = seen.next()?;
        only.version.as_ref().filter(|_| seen.next().is_none())
    }

    /// Iterates over the listed versions, each with its pool.
    pub fn listed(&self) -> impl Iterator<Item = (&Name, Option<&Name>)> {
        self.pools.iter().flat_map(|(name, pool)| {
            let listed = pool.versions.iter().filter(|seen| seen.gone_at.is_none());
            listed.map(move |seen| (name, seen.version.as_ref()))
        })
    }

    /// Iterates over the listed versions of a pool.
    pub fn listed_in(&self, pool: &Name) -> impl Iterator<Item = Option<&Name>> {
        let versions = self.pools.get(pool).into_iter().flat_map(|pool| &pool.versions);
        versions.filter(|seen| seen.gone_at.is_none()).map(|seen| seen.version.as_ref())
    }

    /// Returns whether this daemon knows that no server of the pool has had this version for longer
    /// than a stream can last.
    pub fn is_unused(&self, now: Millis, pool: &Name, version: Option<&Name>) -> bool {
        let is_checked = now.saturating_sub(self.checked_at) <= MAX_NEWS_AGE_MS;
        let Some(since) = now.checked_sub(MEMORY_MS).filter(|_| is_checked) else { return false };
        self.pools.get(pool).is_some_and(|pool| {
            let seen = pool.versions.iter().find(|seen| seen.version.as_ref() == version);
            let is_gone = seen.is_none_or(|seen| !seen.is_seen_since(since));
            pool.complete_since <= since && is_gone
        })
    }

    /// Returns the versions of a pool at which no streams should begin yet.
    pub fn new_versions(&self, now: Millis, pool: &Name) -> Vec<Name> {
        let Some(pool) = self.pools.get(pool) else { return Vec::new() };
        // All versions of the first list are as old as this daemon can tell.
        let is_new = |seen: &&SeenVersion| {
            seen.first_at > pool.complete_since && now < seen.first_at + NEW_VERSION_DELAY_MS
        };
        pool.versions.iter().filter(is_new).filter_map(|seen| seen.version.clone()).collect()
    }
}

impl PoolVersions {
    fn record_listed(&mut self, now: Millis, listed: &BTreeSet<Option<Name>>) {
        for seen in &mut self.versions {
            if listed.contains(&seen.version) {
                seen.gone_at = None;
            } else {
                seen.gone_at.get_or_insert(now);
            }
        }
        self.versions.retain(|seen| seen.is_seen_since(now.saturating_sub(MEMORY_MS)));
        for version in listed {
            if !self.versions.iter().any(|seen| seen.version == *version) {
                let version = version.clone();
                self.versions.push(SeenVersion { version, first_at: now, gone_at: None });
            }
        }
    }
}

fn is_recent(news_age: Option<Millis>) -> bool {
    news_age.is_some_and(|age| age <= MAX_NEWS_AGE_MS)
}
