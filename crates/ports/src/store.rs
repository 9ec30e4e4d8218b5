//! The store port: the daemon's access to the platform's store, independent of the platform's
//! protocol.
//!
//! The daemon uses a [`Store`], which passes its calls to a [`StoreApi`]. [`crate::Client`]
//! implements it for bankcove's own object API; adapters implement it for other platforms.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::hall_list::HallChanges;
use bankcove_core::members::{Host, Hosts};
use bankcove_core::rollout::{RolloutChanges, RolloutOrder, RolloutState};
use bankcove_core::server_list::ServerChanges;
use futures::future::BoxFuture;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::calls::{CallCounters, Purpose};
use crate::error::{Error, Result};
use crate::objects::{Kind, Version, Versioned, WriteOutcome};

/// Result of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchResult<T> {
    /// Version from which the next watch continues.
    pub version: Version,
    /// The current object, if it has changed.
    pub changed: Option<Versioned<T>>,
}

/// Calls of a platform's store. Values are JSON; [`Store`] converts the daemon's types to and
/// from it.
pub trait StoreApi: Send + Sync {
    /// Reads an object; `None` if it does not exist.
    fn read<'a>(
        &'a self,
        kind: Kind,
        name: &'a str,
    ) -> BoxFuture<'a, Result<Option<Versioned<Value>>>>;

    /// Waits until the object has changed since `after`, for at most `wait`. If `after` is 0, the
    /// object is read at once.
    ///
    /// [`Error::HistoryGone`] and [`Error::TooManyChanges`] mean that the watch must restart at 0.
    fn watch<'a>(
        &'a self,
        kind: Kind,
        name: &'a str,
        after: Version,
        wait: Duration,
    ) -> BoxFuture<'a, Result<WatchResult<Value>>>;

    /// Writes an object if it is at version `expect`; 0 creates the object.
    fn write<'a>(
        &'a self,
        kind: Kind,
        name: &'a str,
        expect: Version,
        value: Value,
    ) -> BoxFuture<'a, WriteOutcome>;

    /// Returns the greatest object name of this kind; `None` if there are no objects.
    fn greatest_name(&self, kind: Kind) -> BoxFuture<'_, Result<Option<String>>>;

    /// Returns the hosts that run daemons, and the backend servers that are listed as hosts.
    fn hosts(&self) -> BoxFuture<'_, Result<Hosts>>;

    /// Adds this daemon's host to the host list. Does nothing if the platform maintains the list
    /// itself.
    fn announce<'a>(&'a self, host: &'a Host) -> BoxFuture<'a, Result<()>>;

    /// Removes this daemon's host from the host list. Does nothing if the platform maintains the
    /// list itself.
    fn withdraw<'a>(&'a self, host: &'a Host) -> BoxFuture<'a, Result<()>>;

    /// Waits until the list of backend servers has changed since `after`, for at most `wait`. If
    /// `after` is 0, the whole list is read. Returns `None` if the platform has no such list and
    /// the servers are listed in the table only.
    fn watch_servers(
        &self,
        after: Version,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Option<ServerChanges>>>;

    /// Waits until the list of halls that take no new work has changed, as
    /// [`StoreApi::watch_servers`] does. Returns `None` if the platform has no such list and the
    /// table alone determines which halls take work.
    fn watch_halls(
        &self,
        after: Version,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Option<HallChanges>>>;

    /// Waits until the list of ordered rollouts has changed, as [`StoreApi::watch_servers`] does.
    /// Returns `None` if the platform orders no rollouts.
    fn watch_rollouts(
        &self,
        after: Version,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Option<RolloutChanges>>>;

    /// Writes the state of a rollout if its object is at the version of `order`.
    fn write_rollout_state<'a>(
        &'a self,
        order: &'a RolloutOrder,
        state: RolloutState,
    ) -> BoxFuture<'a, WriteOutcome>;
}

/// The platform's store as the daemon uses it; clones share the connections.
#[derive(Clone)]
pub struct Store {
    api: Arc<dyn StoreApi>,
    calls: Arc<CallCounters>,
}

impl Store {
    /// Creates a store that passes its calls to `api`.
    pub fn new(api: impl StoreApi + 'static) -> Self {
        Store { api: Arc::new(api), calls: Arc::default() }
    }

    /// Returns the counters of the calls made so far.
    pub fn calls(&self) -> &CallCounters {
        &self.calls
    }

    /// Returns the greatest object name of this kind; `None` if there are no objects.
    ///
    /// # Errors
    /// [`Error::Unavailable`].
    pub async fn greatest_name(&self, kind: Kind) -> Result<Option<String>> {
        self.calls.count(Purpose::of_read(kind));
        self.api.greatest_name(kind).await
    }

    /// Returns the host list, as [`StoreApi::hosts`] does.
    ///
    /// # Errors
    /// [`Error::Unavailable`] or [`Error::InvalidValue`].
    pub async fn hosts(&self) -> Result<Hosts> {
        self.calls.count(Purpose::Hosts);
        self.api.hosts().await
    }

    /// Adds this daemon's host to the host list, as [`StoreApi::announce`] does.
    ///
    /// # Errors
    /// [`Error::Unavailable`].
    pub async fn announce(&self, host: &Host) -> Result<()> {
        self.calls.count(Purpose::Announce);
        self.api.announce(host).await
    }

    /// Removes this daemon's host from the host list, as [`StoreApi::withdraw`] does.
    ///
    /// # Errors
    /// [`Error::Unavailable`].
    pub async fn withdraw(&self, host: &Host) -> Result<()> {
        self.calls.count(Purpose::Announce);
        self.api.withdraw(host).await
    }

    /// Waits for a change of the list of backend servers, as
    /// [`StoreApi::watch_servers`] does.
    ///
    /// # Errors
    /// [`Error::Unavailable`], [`Error::HistoryGone`] or [`Error::TooManyChanges`].
    pub async fn watch_servers(
        &self,
        after: Version,
        wait: Duration,
    ) -> Result<Option<ServerChanges>> {
        self.calls.count(Purpose::Servers);
        self.api.watch_servers(after, wait).await
    }

    /// Waits for a change of the list of halls that take no new work, as
    /// [`StoreApi::watch_halls`] does.
    ///
    /// # Errors
    /// [`Error::Unavailable`], [`Error::HistoryGone`] or [`Error::TooManyChanges`].
    pub async fn watch_halls(&self, after: Version, wait: Duration) -> Result<Option<HallChanges>> {
        self.calls.count(Purpose::Halls);
        self.api.watch_halls(after, wait).await
    }

    /// Waits for a change of the list of ordered rollouts, as [`StoreApi::watch_rollouts`] does.
    ///
    /// # Errors
    /// [`Error::Unavailable`], [`Error::HistoryGone`] or [`Error::TooManyChanges`].
    pub async fn watch_rollouts(
        &self,
        after: Version,
        wait: Duration,
    ) -> Result<Option<RolloutChanges>> {
        self.calls.count(Purpose::Rollouts);
        self.api.watch_rollouts(after, wait).await
    }

    /// Writes the state of a rollout, as [`StoreApi::write_rollout_state`] does.
    pub async fn write_rollout_state(
        &self,
        order: &RolloutOrder,
        state: RolloutState,
    ) -> WriteOutcome {
        self.calls.count(Purpose::Rollouts);
        self.api.write_rollout_state(order, state).await
    }

    /// Reads an object; `None` if it does not exist.
    ///
    /// # Errors
    /// [`Error::Unavailable`] or [`Error::InvalidValue`].
    pub async fn read<T: DeserializeOwned>(
        &self,
        kind: Kind,
        name: &str,
    ) -> Result<Option<Versioned<T>>> {
        self.calls.count(Purpose::of_read(kind));
        let read = self.api.read(kind, name).await?;
        read.map(|read| deserialize(kind, name, read)).transpose()
    }

    /// Waits for a change of an object, as [`StoreApi::watch`] does.
    ///
    /// # Errors
    /// [`Error::Unavailable`], [`Error::InvalidValue`], [`Error::HistoryGone`] or
    /// [`Error::TooManyChanges`].
    pub async fn watch<T: DeserializeOwned>(
        &self,
        kind: Kind,
        name: &str,
        after: Version,
        wait: Duration,
    ) -> Result<WatchResult<T>> {
        self.calls.count(Purpose::of_read(kind));
        let watched = self.api.watch(kind, name, after, wait).await?;
        let changed = watched.changed.map(|read| deserialize(kind, name, read)).transpose()?;
        Ok(WatchResult { version: watched.version, changed })
    }

    /// Writes an object if it is at version `expect`; 0 creates the object.
    pub async fn write<T: Serialize>(
        &self,
        kind: Kind,
        name: &str,
        expect: Version,
        value: &T,
    ) -> WriteOutcome {
        match serde_json::to_value(value) {
            Ok(value) => {
                self.calls.count(Purpose::of_write(kind));
                self.api.write(kind, name, expect, value).await
            }
            Err(e) => {
                // Serialization fails only for maps whose keys are not strings; no kind has any.
                debug_assert!(false, "{} can't be serialized: {e}", kind.path());
                WriteOutcome::NotSent
            }
        }
    }
}

/// Deserializes the value of an object.
fn deserialize<T: DeserializeOwned>(
    kind: Kind,
    name: &str,
    read: Versioned<Value>,
) -> Result<Versioned<T>> {
    let value = serde_path_to_error::deserialize(read.value).map_err(|e| Error::InvalidValue {
        kind: kind.path(),
        name: name.to_owned(),
        problem: e.to_string(),
    })?;
    Ok(Versioned { version: read.version, value })
}
