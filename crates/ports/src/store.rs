//! The store port: what the daemon asks of the platform, whatever protocol the
//! platform speaks.
//!
//! [`Store`] is what the daemon holds; a [`StoreApi`] carries its calls out.
//! bankcove's own object API is one ([`crate::Client`]); an adapter for another
//! platform is a second one.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::hall_list::HallChanges;
use bankcove_core::members::{Host, Hosts};
use bankcove_core::server_list::ServerChanges;
use futures::future::BoxFuture;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::calls::{CallCounters, Purpose};
use crate::error::{Error, Result};
use crate::objects::{Kind, Version, Versioned, WriteOutcome};

/// What a watch brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchResult<T> {
    /// Where the next watch goes on from.
    pub version: Version,
    /// The object as it is now, if it has changed.
    pub changed: Option<Versioned<T>>,
}

/// Calls of a platform's store. Values are JSON: the daemon's types are turned
/// into them in one place, [`Store`].
pub trait StoreApi: Send + Sync {
    /// Reads an object; none when there is no such object.
    fn read<'a>(
        &'a self,
        kind: Kind,
        name: &'a str,
    ) -> BoxFuture<'a, Result<Option<Versioned<Value>>>>;

    /// Waits until the object has changed since `after`, at most `wait`; with
    /// `after` 0 it is read at once.
    ///
    /// [`Error::HistoryGone`] says that `after` is too old: begin again at 0.
    fn watch<'a>(
        &'a self,
        kind: Kind,
        name: &'a str,
        after: Version,
        wait: Duration,
    ) -> BoxFuture<'a, Result<WatchResult<Value>>>;

    /// Writes an object if it is at the version `expect`; 0 creates it.
    fn write<'a>(
        &'a self,
        kind: Kind,
        name: &'a str,
        expect: Version,
        value: Value,
    ) -> BoxFuture<'a, WriteOutcome>;

    /// The greatest name of a kind, if there is any.
    fn greatest_name(&self, kind: Kind) -> BoxFuture<'_, Result<Option<String>>>;

    /// The hosts that run daemons, and those backend servers that are listed
    /// as hosts.
    fn hosts(&self) -> BoxFuture<'_, Result<Hosts>>;

    /// Puts this daemon's host on the list. Nothing to do where the platform
    /// keeps the list by itself.
    fn announce<'a>(&'a self, host: &'a Host) -> BoxFuture<'a, Result<()>>;

    /// Takes this daemon's host off the list, like [`StoreApi::announce`].
    fn withdraw<'a>(&'a self, host: &'a Host) -> BoxFuture<'a, Result<()>>;

    /// Waits until the list of backend servers has changed since `after`, at
    /// most `wait`; with `after` 0 the whole list is read. None when the
    /// platform keeps no such list and the table's rows say all.
    fn watch_servers(
        &self,
        after: Version,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Option<ServerChanges>>>;

    /// Waits until the list of halls that take no new work has changed, like
    /// [`StoreApi::watch_servers`]. None when the table's rows say all.
    fn watch_halls(
        &self,
        after: Version,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Option<HallChanges>>>;
}

/// The platform's store as the daemon uses it; copies share the connections.
#[derive(Clone)]
pub struct Store {
    api: Arc<dyn StoreApi>,
    calls: Arc<CallCounters>,
}

impl Store {
    /// A store whose calls go by way of `api`.
    pub fn new(api: impl StoreApi + 'static) -> Self {
        Store { api: Arc::new(api), calls: Arc::default() }
    }

    /// Calls made so far.
    pub fn calls(&self) -> &CallCounters {
        &self.calls
    }

    /// The greatest name of a kind, if there is any.
    ///
    /// # Errors
    /// [`Error::Unavailable`].
    pub async fn greatest_name(&self, kind: Kind) -> Result<Option<String>> {
        self.calls.count(Purpose::of_read(kind));
        self.api.greatest_name(kind).await
    }

    /// The hosts that run daemons, as [`StoreApi::hosts`] tells them.
    ///
    /// # Errors
    /// [`Error::Unavailable`] or [`Error::InvalidValue`].
    pub async fn hosts(&self) -> Result<Hosts> {
        self.calls.count(Purpose::Hosts);
        self.api.hosts().await
    }

    /// Puts this daemon's host on the list, as [`StoreApi::announce`] does.
    ///
    /// # Errors
    /// [`Error::Unavailable`].
    pub async fn announce(&self, host: &Host) -> Result<()> {
        self.calls.count(Purpose::Announce);
        self.api.announce(host).await
    }

    /// Takes this daemon's host off the list, as [`StoreApi::withdraw`] does.
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
    /// [`Error::Unavailable`] or [`Error::HistoryGone`].
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
    /// [`Error::Unavailable`] or [`Error::HistoryGone`].
    pub async fn watch_halls(&self, after: Version, wait: Duration) -> Result<Option<HallChanges>> {
        self.calls.count(Purpose::Halls);
        self.api.watch_halls(after, wait).await
    }

    /// Reads an object; none when there is no such object.
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
        read.map(|read| typed(kind, name, read)).transpose()
    }

    /// Waits for a change of an object, as [`StoreApi::watch`] does.
    ///
    /// # Errors
    /// [`Error::Unavailable`], [`Error::InvalidValue`] or [`Error::HistoryGone`].
    pub async fn watch<T: DeserializeOwned>(
        &self,
        kind: Kind,
        name: &str,
        after: Version,
        wait: Duration,
    ) -> Result<WatchResult<T>> {
        self.calls.count(Purpose::of_read(kind));
        let watched = self.api.watch(kind, name, after, wait).await?;
        let changed = watched.changed.map(|read| typed(kind, name, read)).transpose()?;
        Ok(WatchResult { version: watched.version, changed })
    }

    /// Writes an object if it is at the version `expect`; 0 creates it.
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
                // Only a map with keys that are no text fails, which no kind has.
                debug_assert!(false, "{} can't be written: {e}", kind.path());
                WriteOutcome::NotSent
            }
        }
    }
}

fn typed<T: DeserializeOwned>(
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
