//! HTTP client of bankcove's object API.

use std::time::Duration;

use bankcove_core::hall_list::HallChanges;
use bankcove_core::members::{Host, Hosts};
use bankcove_core::rollout::{RolloutChanges, RolloutOrder, RolloutState};
use bankcove_core::server_list::ServerChanges;
use futures::FutureExt;
use futures::future::BoxFuture;
use reqwest::{Response, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

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
    http: reqwest::Client,
    address: String,
}

impl Client {
    /// Creates a client of the API at this address, given as IP address and port.
    ///
    /// # Panics
    /// If the HTTP client can't be built, which only a broken build of the library causes.
    pub fn new(address: &str) -> Self {
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .no_proxy()
            .build()
            .expect("an HTTP client without TLS needs no system resources");
        Client { http, address: address.to_owned() }
    }

    async fn read_object(&self, kind: Kind, name: &str) -> Result<Option<Versioned<Value>>> {
        let req = self.http.get(self.object_url(kind, name)).timeout(CALL_TIMEOUT);
        let res = req.send().await.map_err(|e| self.unavailable(&e))?;
        self.parse_object(res).await
    }

    async fn watch_object(
        &self,
        kind: Kind,
        name: &str,
        after: Version,
        wait: Duration,
    ) -> Result<WatchResult<Value>> {
        let url = format!("http://{}/v1/watch/{}/{name}", self.address, kind.path());
        let millis = wait.as_millis() as u64;
        let req = self.http.get(url).query(&[("after", after), ("timeout_ms", millis)]);
        let res = req.timeout(wait + WATCH_GRACE).send().await.map_err(|e| self.unavailable(&e))?;
        if res.status() == StatusCode::NO_CONTENT {
            return Ok(WatchResult { version: after, changed: None });
        }
        let changed = self.parse_object(res).await?;
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
        let req = self.http.put(self.object_url(kind, name)).query(&[("if_version", expect)]);
        let res = match req.timeout(CALL_TIMEOUT).json(&value).send().await {
            Ok(res) => res,
            Err(e) if e.is_connect() => return WriteOutcome::NotSent,
            Err(_) => return WriteOutcome::Ambiguous,
        };
        match res.status() {
            StatusCode::CONFLICT => WriteOutcome::Conflict(None),
            status if status.is_success() => match res.json::<WriteAnswer>().await {
                Ok(answer) => WriteOutcome::Written(answer.version),
                Err(_) => WriteOutcome::Ambiguous,
            },
            _ => WriteOutcome::Ambiguous,
        }
    }

    async fn read_greatest_name(&self, kind: Kind) -> Result<Option<String>> {
        let url = format!("http://{}/v1/objects/{}", self.address, kind.path());
        let req = self.http.get(url).query(&[("order", "descending"), ("limit", "1")]);
        let page: ListPage = self.fetch_json(req).await?;
        Ok(page.names.into_iter().next())
    }

    async fn list_hosts(&self) -> Result<Hosts> {
        let req = self.http.get(format!("http://{}/v1/hosts", self.address));
        let answer: HostsAnswer = self.fetch_json(req).await?;
        Ok(Hosts { hosts: answer.hosts, unreadable: Vec::new() })
    }

    async fn fetch_json<T: DeserializeOwned>(&self, req: reqwest::RequestBuilder) -> Result<T> {
        let res = req.timeout(CALL_TIMEOUT).send().await.map_err(|e| self.unavailable(&e))?;
        let res = res.error_for_status().map_err(|e| self.unavailable(&e))?;
        res.json().await.map_err(|e| self.unavailable(&e))
    }

    async fn parse_object(&self, res: Response) -> Result<Option<Versioned<Value>>> {
        if res.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let res = res.error_for_status().map_err(|e| self.unavailable(&e))?;
        let answer: ReadAnswer = res.json().await.map_err(|e| self.unavailable(&e))?;
        Ok(Some(Versioned { version: answer.version, value: answer.value }))
    }

    fn object_url(&self, kind: Kind, name: &str) -> String {
        format!("http://{}/v1/objects/{}/{name}", self.address, kind.path())
    }

    /// Returns the error for a failed call.
    fn unavailable(&self, e: &reqwest::Error) -> Error {
        Error::Unavailable { address: self.address.clone(), problem: e.to_string() }
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
