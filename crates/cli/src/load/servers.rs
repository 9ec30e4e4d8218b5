//! Requests that the stand-ins of backend servers received during a load, according to their
//! histories.

use serde_json::{Value, json};

use crate::error::{Error, Result};

/// Length of the window for the greatest number of requests, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// Returns the number of requests that each of these stand-ins has received so far.
///
/// # Errors
/// [`Error::Usage`] when the history of a stand-in can't be read.
pub async fn counts(http: &reqwest::Client, servers: &[String]) -> Result<Vec<usize>> {
    let mut counts = Vec::new();
    for server in servers {
        counts.push(request_times(http, server).await?.len());
    }
    Ok(counts)
}

/// Returns a row for each of these stand-ins: the number of requests after the first `before`,
/// and the greatest number of them in a window.
///
/// # Errors
/// [`Error::Usage`] when the history of a stand-in can't be read.
pub async fn rows(
    http: &reqwest::Client,
    servers: &[String],
    before: &[usize],
) -> Result<Vec<Value>> {
    let mut rows = Vec::new();
    for (server, before) in servers.iter().zip(before) {
        let all = request_times(http, server).await?;
        let mut new = all.get(*before..).unwrap_or_default().to_vec();
        new.sort_unstable();
        rows.push(
            json!({"name": server, "requests": new.len(), "most in 4 s": max_in_window(&new)}),
        );
    }
    Ok(rows)
}

fn max_in_window(times: &[u64]) -> usize {
    let ends = times.iter().map(|from| times.partition_point(|at| *at < from + WINDOW_MS));
    ends.enumerate().map(|(first, end)| end - first).max().unwrap_or_default()
}

async fn request_times(http: &reqwest::Client, server: &str) -> Result<Vec<u64>> {
    let problem = |e: reqwest::Error| {
        Error::Usage(format!("--stand-in {server} does not return a stand-in's history: {e}"))
    };
    let res = http.get(format!("http://{server}/history")).send().await.map_err(problem)?;
    let history: Vec<Value> = res.json().await.map_err(problem)?;
    Ok(history.iter().filter_map(|entry| entry["at_ms"].as_u64()).collect())
}
