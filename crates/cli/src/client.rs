//! HTTP client for a daemon's operator port.

use bankcove_core::Fingerprint;
use bankcove_core::crashes::Block;
use bankcove_core::edit::Edit;
use bankcove_core::error::RowFault;
use bankcove_core::table::Table;
use reqwest::{Method, RequestBuilder};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::config::Config;
use crate::error::{Error, Result};

/// Timeout of a request.
const TIMEOUT: std::time::Duration = std::time::Duration::from_secs(30);

/// Client of one daemon.
pub struct Client {
    http: reqwest::Client,
    address: String,
    token: String,
}

#[derive(Deserialize)]
struct Refusal {
    error: RefusalBody,
}

#[derive(Deserialize)]
struct RefusalBody {
    code: String,
    message: String,
    #[serde(default)]
    faults: Vec<RowFault>,
}

/// Response to an accepted edit.
#[derive(Debug, Deserialize)]
pub struct Accepted {
    /// Revision of the table that the edit produced.
    pub revision: u64,
}

impl Client {
    /// Creates a client of the configured daemon.
    ///
    /// # Errors
    /// [`Error::NoConnection`] when no address or token is configured.
    pub fn new(cfg: &Config) -> Result<Self> {
        let http = reqwest::Client::builder().no_proxy().timeout(TIMEOUT).build();
        let http = http.map_err(|e| Error::Setup(std::io::Error::other(e)))?;
        Ok(Client { http, address: cfg.server()?.to_owned(), token: cfg.token()?.to_owned() })
    }

    /// Returns the table in force.
    ///
    /// # Errors
    /// [`Error::Unreachable`] or [`Error::Refused`].
    pub async fn table(&self) -> Result<Table> {
        self.call(self.request(Method::GET, "table")).await
    }

    /// Sends an edit.
    ///
    /// # Errors
    /// [`Error::Faults`] when the edited table would have faults, otherwise
    /// [`Error::Unreachable`] or [`Error::Refused`].
    pub async fn edit(&self, edit: &Edit) -> Result<Accepted> {
        self.call(self.request(Method::POST, "table/edits").json(edit)).await
    }

    /// Returns a budget's tokens and the daemons that hold them.
    ///
    /// # Errors
    /// [`Error::Unreachable`] or [`Error::Refused`].
    pub async fn budget(&self, name: &str) -> Result<Value> {
        self.call(self.request(Method::GET, &format!("budgets/{name}"))).await
    }

    /// Adds tokens to a budget; `id` identifies the top-up, so that repeats count once.
    ///
    /// # Errors
    /// [`Error::Unreachable`] or [`Error::Refused`].
    pub async fn top_up(&self, name: &str, id: &str, tokens: u64) -> Result<()> {
        let body = json!({"id": id, "tokens": tokens});
        let req = self.request(Method::POST, &format!("budgets/{name}/top-ups")).json(&body);
        let _recorded: Value = self.call(req).await?;
        Ok(())
    }

    /// Returns the blocked requests.
    ///
    /// # Errors
    /// [`Error::Unreachable`] or [`Error::Refused`].
    pub async fn blocked(&self) -> Result<Vec<Block>> {
        self.call(self.request(Method::GET, "blocked")).await
    }

    /// Returns the limits announced by backend servers, one row per server.
    ///
    /// # Errors
    /// [`Error::Unreachable`] or [`Error::Refused`].
    pub async fn limits(&self) -> Result<Vec<Value>> {
        self.call(self.request(Method::GET, "limits")).await
    }

    /// Returns which servers the daemon and its peers do not reach directly, one row per daemon.
    ///
    /// # Errors
    /// [`Error::Unreachable`] or [`Error::Refused`].
    pub async fn paths(&self) -> Result<Vec<Value>> {
        self.call(self.request(Method::GET, "paths")).await
    }

    /// Returns the state of each backend server on the daemon, one row per server.
    ///
    /// # Errors
    /// [`Error::Unreachable`] or [`Error::Refused`].
    pub async fn servers(&self) -> Result<Vec<Value>> {
        self.call(self.request(Method::GET, "servers")).await
    }

    /// Unblocks a request.
    ///
    /// # Errors
    /// [`Error::Unreachable`] or [`Error::Refused`].
    pub async fn lift(&self, request: Fingerprint) -> Result<()> {
        let req = self.request(Method::DELETE, &format!("blocked/{request}"));
        let _lifted: Value = self.call(req).await?;
        Ok(())
    }

    /// Returns a summary of the daemon's state.
    ///
    /// # Errors
    /// [`Error::Unreachable`] or [`Error::Refused`].
    pub async fn status(&self) -> Result<Value> {
        self.call(self.request(Method::GET, "status")).await
    }

    /// Returns the daemon's full state.
    ///
    /// # Errors
    /// [`Error::Unreachable`] or [`Error::Refused`].
    pub async fn dump(&self) -> Result<Value> {
        self.call(self.request(Method::GET, "dump")).await
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        let url = format!("http://{}/v1/{path}", self.address);
        self.http.request(method, url).bearer_auth(&self.token)
    }

    async fn call<T: DeserializeOwned>(&self, req: RequestBuilder) -> Result<T> {
        let unreachable = |source| Error::Unreachable { address: self.address.clone(), source };
        let res = req.send().await.map_err(unreachable)?;
        if res.status().is_success() {
            return res.json().await.map_err(unreachable);
        }
        let refusal: Refusal = res.json().await.map_err(unreachable)?;
        if !refusal.error.faults.is_empty() {
            let faults = refusal.error.faults.into_iter().map(Into::into).collect();
            return Err(Error::Faults(faults));
        }
        Err(Error::Refused { code: refusal.error.code, message: refusal.error.message })
    }
}
