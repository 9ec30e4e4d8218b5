//! HTTP client of bankcove's object API.

use std::time::Duration;

use bankcove_core::hall_list::HallChanges;
use bankcove_core::members::{Host, Hosts};
use bankcove_core::rollout::{RolloutChanges, RolloutOrder, RolloutState};
use bankcove_core::server_list::ServerChanges;
use futures::FutureExt;
use futures::future::BoxFuture;
use reqwest::{RequestBuilder, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::connections::{Answer, CallError, Connections, Try};
use crate::error::{Error, Result};
use crate::objects::{Kind, Version, Versioned, WriteOutcome};
use crate::store::{StoreApi, WatchResult};

/// Timeout of a read or a write.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Timeout of establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time that a watch may take beyond its requested wait.
const WATCH_GRACE: Duration = Duration::from_secs(2);

/// Names of the objects of one kind, in the requested order.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListPage {
    /// The object names.
    pub names: Vec<String>,
}

#[derive(Deserialize)]
struct ReadAnswer {
    version: Version,
    value: Value,
}

#[derive(Deserialize)]
struct WriteAnswer {
    version: Version,
}

#[derive(Deserialize)]
struct HostsAnswer {
    hosts: Vec<Host>,
}

/// A client of the object API; clones share their connections.
#[derive(Debug, Clone)]
pub struct Client {
    connections: Connections,
    address: String,
}

impl Client {
    /// Creates a client of the API at this address, given as IP address and port.
    pub fn new(address: &str) -> Self {
        Client { connections: Connections::new(CONNECT_TIMEOUT), address: address.to_owned() }
    }

    async fn read_object(&self, kind: Kind, name: &str) -> Result<Option<Versioned<Value>>> {
        let url = self.object_url(kind, name);
        let answer = self.read(|http| http.get(&url)).await?;
        self.parse_object(&answer)
    }

    /// Waits at most `wait` for a version after `after`. If kept connections turn out to be silent, the
    /// object is read at once.
    async fn watch_object(
        &self,
        kind: Kind,
        name: &str,
        after: Version,
        wait: Duration,
    ) -> Result<WatchResult<Value>> {
        let url = format!("http://{}/v1/watch/{}/{name}", self.address, kind.path());
        let build = |http: &reqwest::Client, which: Try| {
            let wait = if which == Try::First { wait } else { Duration::ZERO };
            let query = [("after", after), ("timeout_ms", wait.as_millis() as u64)];
            http.get(&url).query(&query).timeout(wait + WATCH_GRACE)
        };
        let answer = self.connections.read(build).await.map_err(|e| self.unavailable(e))?;
        if answer.status == StatusCode::NO_CONTENT {
            return Ok(WatchResult { version: after, changed: None });
        }
        let changed = self.parse_object(&answer)?;
        let version = changed.as_ref().map_or(after, |read| read.version);
        Ok(WatchResult { version, changed })
    }

    async fn write_object(
        &self,
        kind: Kind,
        name: &str,
        expect: Version,
        value: Value,
    ) -> WriteOutcome {
        let url = self.object_url(kind, name);
        let build = |http: &reqwest::Client| {
            http.put(url).query(&[("if_version", expect)]).timeout(CALL_TIMEOUT).json(&value)
        };
        let answer = match self.connections.write(build).await {
            Ok(answer) => answer,
            Err(CallError::NotSent(_)) => return WriteOutcome::NotSent,
            Err(_) => return WriteOutcome::Ambiguous,
        };
        match answer.status {
            StatusCode::CONFLICT => WriteOutcome::Conflict(None),
            status if status.is_success() => {
                match serde_json::from_slice::<WriteAnswer>(&answer.body) {
                    Ok(written) => WriteOutcome::Written(written.version),
                    Err(_) => WriteOutcome::Ambiguous,
                }
            }
            _ => WriteOutcome::Ambiguous,
        }
    }

    async fn read_greatest_name(&self, kind: Kind) -> Result<Option<String>> {
        let url = format!("http://{}/v1/objects/{}", self.address, kind.path());
        let query = [("order", "descending"), ("limit", "1")];
        let answer = self.read(|http| http.get(&url).query(&query)).await?;
        let page: ListPage = self.parse(&answer)?;
        Ok(page.names.into_iter().next())
    }

    async fn list_hosts(&self) -> Result<Hosts> {
        let url = format!("http://{}/v1/hosts", self.address);
        let hosts: HostsAnswer = self.parse(&self.read(|http| http.get(&url)).await?)?;
        Ok(Hosts { hosts: hosts.hosts, unreadable: Vec::new() })
    }

    /// Makes a call that changes nothing.
    async fn read(&self, build: impl Fn(&reqwest::Client) -> RequestBuilder) -> Result<Answer> {
        let answer = self.connections.read(|http, _| build(http).timeout(CALL_TIMEOUT)).await;
        answer.map_err(|e| self.unavailable(e))
    }

    fn parse_object(&self, answer: &Answer) -> Result<Option<Versioned<Value>>> {
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let read: ReadAnswer = self.parse(answer)?;
        Ok(Some(Versioned { version: read.version, value: read.value }))
    }

    /// Parses the body of a successful answer.
    fn parse<T: DeserializeOwned>(&self, answer: &Answer) -> Result<T> {
        if !answer.status.is_success() {
            return Err(self.unavailable(format!("status {}", answer.status)));
        }
        serde_json::from_slice(&answer.body).map_err(|e| self.unavailable(e))
    }

    fn object_url(&self, kind: Kind, name: &str) -> String {
        format!("http://{}/v1/objects/{}/{name}", self.address, kind.path())
    }

    /// Returns the error for a failed call.
    fn unavailable(&self, problem: impl ToString) -> Error {
        Error::Unavailable { address: self.address.clone(), problem: problem.to_string() }
    }
}

impl StoreApi for Client {
    fn read<'a>(
        &'a self,
        kind: Kind,
        name: &'a str,
    ) -> BoxFuture<'a, Result<Option<Versioned<Value>>>> {
        self.read_object(kind, name).boxed()
    }

    fn watch<'a>(
        &'a self,
        kind: Kind,
        name: &'a str,
        after: Version,
        wait: Duration,
    ) -> BoxFuture<'a, Result<WatchResult<Value>>> {
        self.watch_object(kind, name, after, wait).boxed()
    }

    fn write<'a>(
        &'a self,
        kind: Kind,
        name: &'a str,
        expect: Version,
        value: Value,
    ) -> BoxFuture<'a, WriteOutcome> {
        self.write_object(kind, name, expect, value).boxed()
    }

    fn greatest_name(&self, kind: Kind) -> BoxFuture<'_, Result<Option<String>>> {
        self.read_greatest_name(kind).boxed()
    }

    fn hosts(&self) -> BoxFuture<'_, Result<Hosts>> {
        self.list_hosts().boxed()
    }

    fn announce<'a>(&'a self, _: &'a Host) -> BoxFuture<'a, Result<()>> {
        // This platform maintains its host list itself.
        async { Ok(()) }.boxed()
    }

    fn withdraw<'a>(&'a self, _: &'a Host) -> BoxFuture<'a, Result<()>> {
        async { Ok(()) }.boxed()
    }

    fn watch_servers(
        &self,
        _: Version,
        _: Duration,
    ) -> BoxFuture<'_, Result<Option<ServerChanges>>> {
        // The backend servers are listed in the table only.
        async { Ok(None) }.boxed()
    }

    fn watch_halls(&self, _: Version, _: Duration) -> BoxFuture<'_, Result<Option<HallChanges>>> {
        // Whether a hall takes work is set in the table only.
        async { Ok(None) }.boxed()
    }

    fn watch_rollouts(
        &self,
        _: Version,
        _: Duration,
    ) -> BoxFuture<'_, Result<Option<RolloutChanges>>> {
        // This platform orders no rollouts.
        async { Ok(None) }.boxed()
    }

    fn write_rollout_state<'a>(
        &'a self,
        _: &'a RolloutOrder,
        _: RolloutState,
    ) -> BoxFuture<'a, WriteOutcome> {
        async { WriteOutcome::NotSent }.boxed()
    }
}
