//! Calls of a daemon's operator port.

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

/// Longest wait for an answer.
const TIMEOUT: std::time::Duration = std::time::Duration::from_secs(30);

/// A client of one daemon.
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

/// What an accepted edit made.
#[derive(Debug, Deserialize)]
pub struct Accepted {
    /// Revision of the table.
    pub revision: u64,
}

impl Client {
    /// A client of the daemon that the configuration names.
    ///
    /// # Errors
    /// [`Error::NoConnection`] when it names none.
    pub fn new(cfg: &Config) -> Result<Self> {
        let http = reqwest::Client::builder().no_proxy().timeout(TIMEOUT).build();
        let http = http.map_err(|e| Error::Setup(std::io::Error::other(e)))?;
        Ok(Client { http, address: cfg.server()?.to_owned(), token: cfg.token()?.to_owned() })
    }

    /// The table in force.
    ///
    /// # Errors
    /// [`Error::Unreachable`] or [`Error::Refused`].
    pub async fn table(&self) -> Result<Table> {
        self.call(self.request(Method::GET, "table")).await
    }

    /// Sends an edit.
    ///
    /// # Errors
    /// [`Error::Faults`] when the table would have faults, else as above.
    pub async fn edit(&self, edit: &Edit) -> Result<Accepted> {
        self.call(self.request(Method::POST, "table/edits").json(edit)).await
    }

    /// What a budget has and who holds it.
    ///
    /// # Errors
    /// [`Error::Unreachable`] or [`Error::Refused`].
    pub async fn budget(&self, name: &str) -> Result<Value> {
        self.call(self.request(Method::GET, &format!("budgets/{name}"))).await
    }

    /// Adds to a budget.
    ///
    /// # Errors
    /// [`Error::Unreachable`] or [`Error::Refused`].
    pub async fn top_up(&self, name: &str, id: &str, tokens: u64) -> Result<()> {
        let body = json!({"id": id, "tokens": tokens});
        let req = self.request(Method::POST, &format!("budgets/{name}/top-ups")).json(&body);
        let _recorded: Value = self.call(req).await?;
        Ok(())
    }

    /// Requests that run nowhere any more.
    ///
    /// # Errors
    /// [`Error::Unreachable`] or [`Error::Refused`].
    pub async fn blocked(&self) -> Result<Vec<Block>> {
        self.call(self.request(Method::GET, "blocked")).await
    }

    /// The limits that backend servers name, one row a server.
    ///
    /// # Errors
    /// [`Error::Unreachable`] or [`Error::Refused`].
    pub async fn limits(&self) -> Result<Vec<Value>> {
        self.call(self.request(Method::GET, "limits")).await
    }

    /// What each backend server is to the daemon, one row a server.
    ///
    /// # Errors
    /// [`Error::Unreachable`] or [`Error::Refused`].
    pub async fn servers(&self) -> Result<Vec<Value>> {
        self.call(self.request(Method::GET, "servers")).await
    }

    /// Lets a blocked request run again.
    ///
    /// # Errors
    /// [`Error::Unreachable`] or [`Error::Refused`].
    pub async fn lift(&self, request: Fingerprint) -> Result<()> {
        let req = self.request(Method::DELETE, &format!("blocked/{request}"));
        let _lifted: Value = self.call(req).await?;
        Ok(())
    }

    /// The daemon's state in a few lines.
    ///
    /// # Errors
    /// [`Error::Unreachable`] or [`Error::Refused`].
    pub async fn status(&self) -> Result<Value> {
        self.call(self.request(Method::GET, "status")).await
    }

    /// Everything that the daemon knows.
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
