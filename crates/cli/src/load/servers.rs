//! What the stand-ins of backend servers got during a load, as they say themselves.

use serde_json::{Value, json};

use crate::error::{Error, Result};

/// Length of the spans of which the busiest is told, in milliseconds.
const SPAN_MS: u64 = 4_000;

/// How many requests each of these stand-ins had got before.
///
/// # Errors
/// [`Error::Usage`] when one does not tell its history.
pub async fn counts(http: &reqwest::Client, servers: &[String]) -> Result<Vec<usize>> {
    let mut counts = Vec::new();
    for server in servers {
        counts.push(times(http, server).await?.len());
    }
    Ok(counts)
}

/// A row for each of these stand-ins: requests since, and most of them in a span.
///
/// # Errors
/// [`Error::Usage`] when one does not tell its history.
pub async fn rows(
    http: &reqwest::Client,
    servers: &[String],
    before: &[usize],
) -> Result<Vec<Value>> {
    let mut rows = Vec::new();
    for (server, before) in servers.iter().zip(before) {
        let all = times(http, server).await?;
        let mut new = all.get(*before..).unwrap_or_default().to_vec();
        new.sort_unstable();
        rows.push(json!({"name": server, "requests": new.len(), "most in 4 s": busiest(&new)}));
    }
    Ok(rows)
}

fn busiest(times: &[u64]) -> usize {
    let ends = times.iter().map(|from| times.partition_point(|at| *at < from + SPAN_MS));
    ends.enumerate().map(|(first, end)| end - first).max().unwrap_or_default()
}

async fn times(http: &reqwest::Client, server: &str) -> Result<Vec<u64>> {
    let problem = |e: reqwest::Error| {
        Error::Usage(format!("--stand-in {server} is no stand-in that tells its history: {e}"))
    };
    let sent = http.get(format!("http://{server}/history")).send().await.map_err(problem)?;
    let history: Vec<Value> = sent.json().await.map_err(problem)?;
    Ok(history.iter().filter_map(|one| one["at_ms"].as_u64()).collect())
}
