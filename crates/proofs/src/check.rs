//! Checkers: they examine the recorded histories and describe the first violated guarantee.

use std::collections::{HashMap, HashSet};

use bankcove_core::bill::Bill;
use bankcove_core::request_log::{Entry, Segment};
use bankcove_core::shard::Shard;
use bankcove_standins::engine::{RunRecord, token_text};
use bankcove_standins::service::CallRecord;

use crate::caller::{Attempt, AttemptOutcome};

/// Description of a violated guarantee.
pub type Violation = String;

/// Checks that the grants of a budget never exceed it, in any version of any shard. Returns the
/// number of shard versions checked.
pub fn grants_within_budgets(shards: &[Shard]) -> Result<usize, Violation> {
    for shard in shards {
        for (name, ledger) in &shard.budgets {
            if ledger.committed() > ledger.total() as i64 {
                let (committed, total) = (ledger.committed(), ledger.total());
                return Err(format!(
                    "{committed} tokens are granted of budget '{name}', which has {total}"
                ));
            }
        }
    }
    Ok(shards.len())
}

/// Checks that the tokens spent at the engines and by calls do not exceed the budget, and returns
/// their sum. The sum never decreases, so checking it at the end is enough.
pub fn spend_within_budget(
    runs: &[RunRecord],
    call_tokens: u64,
    budget: u64,
) -> Result<u64, Violation> {
    let ran: u64 = runs.iter().map(|run| run.prompt_tokens + run.output_tokens).sum();
    let spent = ran + call_tokens;
    if spent > budget {
        return Err(format!("{spent} tokens were served under a budget of {budget}"));
    }
    Ok(spent)
}

/// Returns all bills in the request log, in log order.
pub fn bills(segments: &[Segment]) -> Vec<Bill> {
    let entries = segments.iter().flat_map(|segment| &segment.entries);
    let bills = entries.filter_map(|entry| match entry {
        Entry::Bill(bill) => Some(bill.clone()),
        _ => None,
    });
    bills.collect()
}

/// Checks that every request with a complete response has one bill, that no request has more than
/// one, and that there is no bill for a request that was not sent.
pub fn billed_once(
    attempts: &[Attempt],
    bills: &[Bill],
    request_of: impl Fn(&str) -> bankcove_core::RequestHash,
) -> Result<(), Violation> {
    let mut count: HashMap<bankcove_core::RequestHash, u32> = HashMap::new();
    for bill in bills {
        *count.entry(bill.request).or_default() += 1;
    }
    let sent: HashSet<_> = attempts.iter().map(|attempt| request_of(&attempt.key)).collect();
    if let Some((request, _)) = count.iter().find(|(request, _)| !sent.contains(*request)) {
        return Err(format!("request {request} has a bill but was not sent"));
    }
    if let Some((request, n)) = count.iter().find(|(_, n)| **n > 1) {
        return Err(format!("request {request} has {n} bills"));
    }
    for attempt in attempts {
        let is_done = matches!(attempt.outcome, AttemptOutcome::Done { .. });
        if is_done && !count.contains_key(&request_of(&attempt.key)) {
            return Err(format!("request '{}' was answered but has no bill", attempt.key));
        }
    }
    Ok(())
}

/// Checks that every complete response contains all tokens of its own run in order, and returns
/// the number of complete responses.
pub fn responses_complete(attempts: &[Attempt]) -> Result<usize, Violation> {
    let mut complete = 0;
    for attempt in attempts {
        let AttemptOutcome::Done { text, output_tokens } = &attempt.outcome else { continue };
        let Some(run_id) = &attempt.run_id else {
            return Err(format!("the response to '{}' has no run id", attempt.key));
        };
        let expected: String = (0..*output_tokens).map(|n| token_text(run_id, n)).collect();
        if *text != expected {
            return Err(format!(
                "the response to '{}' is '{text}', expected '{expected}'",
                attempt.key
            ));
        }
        complete += 1;
    }
    Ok(complete)
}

/// Checks that no attempt answered with "not run" is in the history of any server, and returns the
/// number of these attempts.
pub fn not_run_never_executed(
    attempts: &[Attempt],
    runs: &[RunRecord],
    calls: &[CallRecord],
) -> Result<usize, Violation> {
    let ran: HashSet<&str> = runs
        .iter()
        .flat_map(|run| std::iter::once(&run.attempt).chain(&run.attached))
        .chain(calls.iter().map(|call| &call.attempt))
        .map(String::as_str)
        .collect();
    let mut not_run_count = 0;
    for attempt in attempts {
        let AttemptOutcome::NotRun { code, .. } = &attempt.outcome else { continue };
        not_run_count += 1;
        if attempt.attempt_id.as_deref().is_some_and(|id| ran.contains(id)) {
            return Err(format!("'{}' was answered not run ({code}) but ran", attempt.key));
        }
    }
    Ok(not_run_count)
}

/// Returns the hashes of all claimed requests in the request log, as text.
pub fn claimed_requests(segments: &[Segment]) -> HashSet<String> {
    let entries = segments.iter().flat_map(|segment| &segment.entries);
    let claims = entries.filter_map(|entry| match entry {
        Entry::Claim { request, .. } => Some(request.to_string()),
        _ => None,
    });
    claims.collect()
}

/// Checks that no run id occurs more than once in `runs`, and returns their number.
pub fn at_most_once<'a>(runs: impl Iterator<Item = &'a str>) -> Result<usize, Violation> {
    let mut seen = HashSet::new();
    for run in runs {
        if !seen.insert(run) {
            return Err(format!("run {run} was started more than once"));
        }
    }
    Ok(seen.len())
}

/// Checks that the table revisions adopted by a daemon increase, according to its log, and returns
/// the number of adoptions.
pub fn revisions_increase(log: &str) -> Result<usize, Violation> {
    let lines = log.lines().filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
    let mut last = 0;
    let mut count = 0;
    for line in lines {
        if line["msg"] == "serving" {
            // A restarted daemon does not know the revision of its previous incarnation.
            last = 0;
        }
        if line["msg"] != "table adopted" {
            continue;
        }
        let revision = line["revision"].as_u64().unwrap_or(0);
        if revision <= last {
            return Err(format!("revision {revision} was adopted after {last}"));
        }
        last = revision;
        count += 1;
    }
    Ok(count)
}
