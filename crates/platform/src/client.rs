//! Calls of the object API over HTTP.

use std::time::Duration;

use bankcove_core::members::Host;
use reqwest::{Response, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};
use crate::objects::{Kind, Version, Versioned, WriteOutcome};

/// Longest wait for the answer to a read or a write.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// What a watch may last beyond the time asked for.
const WATCH_GRACE: Duration = Duration::from_secs(2);

/// Names of a kind, in the order asked for.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListPage {
    /// The names.
    pub names: Vec<String>,
}

#[derive(Deserialize)]
struct ReadAnswer {
    version: Version,
    value: serde_json::Value,
}

#[derive(Deserialize)]
struct WriteAnswer {
    version: Version,
}

#[derive(Deserialize)]
struct HostsAnswer {
    hosts: Vec<Host>,
}

/// A client; copies share their connections.
#[derive(Debug, Clone)]
pub struct Client {
    http: reqwest::Client,
    address: String,
}

impl Client {
    /// A client of the API at this address, IP number and port.
    ///
    /// # Panics
    /// When the HTTP library can't be set up, which only a broken build does.
    pub fn new(address: &str) -> Self {
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .no_proxy()
            .build()
            .expect("an HTTP client without TLS needs nothing from the machine");
        Client { http, address: address.to_owned() }
    }

    /// Reads an object; none when there is no such object.
    ///
    /// # Errors
    /// [`Error::Away`] or [`Error::Value`].
    pub async fn read<T: DeserializeOwned>(
        &self,
        kind: Kind,
        name: &str,
    ) -> Result<Option<Versioned<T>>> {
        let req = self.http.get(self.object_url(kind, name)).timeout(CALL_TIMEOUT);
        let res = req.send().await.map_err(|e| self.away(&e))?;
        self.object(kind, name, res).await
    }

    /// Waits until the object has a version above `after`; none when the time
    /// runs out first.
    ///
    /// # Errors
    /// [`Error::Away`] or [`Error::Value`].
    pub async fn watch<T: DeserializeOwned>(
        &self,
        kind: Kind,
        name: &str,
        after: Version,
        wait: Duration,
    ) -> Result<Option<Versioned<T>>> {
        let url = format!("http://{}/v1/watch/{}/{name}", self.address, kind.path());
        let millis = wait.as_millis() as u64;
        let req = self.http.get(url).query(&[("after", after), ("timeout_ms", millis)]);
        let res = req.timeout(wait + WATCH_GRACE).send().await.map_err(|e| self.away(&e))?;
        if res.status() == StatusCode::NO_CONTENT {
            return Ok(None);
        }
        self.object(kind, name, res).await
    }

    /// Writes an object if it is at the version `expect`; 0 creates it.
    pub async fn write<T: Serialize>(
        &self,
        kind: Kind,
        name: &str,
        expect: Version,
        value: &T,
    ) -> WriteOutcome {
        let req = self.http.put(self.object_url(kind, name)).query(&[("if_version", expect)]);
        let res = match req.timeout(CALL_TIMEOUT).json(value).send().await {
            Ok(res) => res,
            Err(e) if e.is_connect() => return WriteOutcome::NotSent,
            Err(_) => return WriteOutcome::Ambiguous,
        };
        match res.status() {
            StatusCode::CONFLICT => WriteOutcome::Conflict,
            status if status.is_success() => match res.json::<WriteAnswer>().await {
                Ok(answer) => WriteOutcome::Written(answer.version),
                Err(_) => WriteOutcome::Ambiguous,
            },
            _ => WriteOutcome::Ambiguous,
        }
    }

    /// The greatest name of a kind, if there is any.
    ///
    /// # Errors
    /// [`Error::Away`].
    pub async fn last_name(&self, kind: Kind) -> Result<Option<String>> {
        let url = format!("http://{}/v1/objects/{}", self.address, kind.path());
        let req = self.http.get(url).query(&[("order", "descending"), ("limit", "1")]);
        let page: ListPage = self.json(req).await?;
        Ok(page.names.into_iter().next())
    }

    /// The platform's list of hosts, which lags.
    ///
    /// # Errors
    /// [`Error::Away`].
    pub async fn hosts(&self) -> Result<Vec<Host>> {
        let req = self.http.get(format!("http://{}/v1/hosts", self.address));
        let answer: HostsAnswer = self.json(req).await?;
        Ok(answer.hosts)
    }

    async fn json<T: DeserializeOwned>(&self, req: reqwest::RequestBuilder) -> Result<T> {
        let res = req.timeout(CALL_TIMEOUT).send().await.map_err(|e| self.away(&e))?;
        let res = res.error_for_status().map_err(|e| self.away(&e))?;
        res.json().await.map_err(|e| self.away(&e))
    }

    async fn object<T: DeserializeOwned>(
        &self,
        kind: Kind,
        name: &str,
        res: Response,
    ) -> Result<Option<Versioned<T>>> {
        if res.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let res = res.error_for_status().map_err(|e| self.away(&e))?;
        let answer: ReadAnswer = res.json().await.map_err(|e| self.away(&e))?;
        let value = serde_json::from_value(answer.value).map_err(|e| Error::Value {
            kind: kind.path(),
            name: name.to_owned(),
            problem: e.to_string(),
        })?;
        Ok(Some(Versioned { version: answer.version, value }))
    }

    fn object_url(&self, kind: Kind, name: &str) -> String {
        format!("http://{}/v1/objects/{}/{name}", self.address, kind.path())
    }

    fn away(&self, e: &reqwest::Error) -> Error {
        Error::Away { address: self.address.clone(), problem: e.to_string() }
    }
}
