//! Checkers: they read histories and name what broke a promise.

use std::collections::{HashMap, HashSet};

use bankcove_core::bill::Bill;
use bankcove_core::request_log::{Entry, Segment};
use bankcove_core::shard::Shard;
use bankcove_standins::engine::{RunRecord, token_text};
use bankcove_standins::service::CallRecord;

use crate::caller::{Attempt, AttemptOutcome};

/// A promise that a history breaks.
pub type Violation = String;

/// No grant exceeds what its budget allowed, in any version of any shard.
pub fn grants_within_budgets(shards: &[Shard]) -> Result<usize, Violation> {
    for shard in shards {
        for (name, ledger) in &shard.budgets {
            if ledger.committed() > ledger.total() as i64 {
                let (committed, total) = (ledger.committed(), ledger.total());
                return Err(format!("{committed} tokens of '{name}' are granted of {total}"));
            }
        }
    }
    Ok(shards.len())
}

/// Tokens that ran at the engines and in calls never exceed the budget. The
/// sum only grows, so its end stands for every moment before.
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

/// Every bill in the log, in its order.
pub fn bills(segments: &[Segment]) -> Vec<Bill> {
    let entries = segments.iter().flat_map(|segment| &segment.entries);
    let bills = entries.filter_map(|entry| match entry {
        Entry::Bill(bill) => Some(bill.clone()),
        _ => None,
    });
    bills.collect()
}

/// Every request that was answered whole has one bill, none has more, and no
/// bill stands for a request that nobody sent.
pub fn billed_once(
    attempts: &[Attempt],
    bills: &[Bill],
    request_of: impl Fn(&str) -> bankcove_core::RequestHash,
) -> Result<(), Violation> {
    let mut count: HashMap<bankcove_core::RequestHash, u32> = HashMap::new();
    for bill in bills {
        *count.entry(bill.request).or_default() += 1;
    }
    let asked: HashSet<_> = attempts.iter().map(|attempt| request_of(&attempt.key)).collect();
    if let Some((request, _)) = count.iter().find(|(request, _)| !asked.contains(*request)) {
        return Err(format!("a bill stands for {request}, which nobody asked for"));
    }
    if let Some((request, n)) = count.iter().find(|(_, n)| **n > 1) {
        return Err(format!("{n} bills stand for {request}"));
    }
    for attempt in attempts {
        let done = matches!(attempt.outcome, AttemptOutcome::Done { .. });
        if done && !count.contains_key(&request_of(&attempt.key)) {
            return Err(format!("'{}' was answered and has no bill", attempt.key));
        }
    }
    Ok(())
}

/// Every whole answer is that of its own run, from the first token to the last.
pub fn complete_answers(attempts: &[Attempt]) -> Result<usize, Violation> {
    let mut complete = 0;
    for attempt in attempts {
        let AttemptOutcome::Done { text, output_tokens } = &attempt.outcome else { continue };
        let Some(run) = &attempt.run else {
            return Err(format!("'{}' has an answer without a run", attempt.key));
        };
        let expected: String = (0..*output_tokens).map(|n| token_text(run, n)).collect();
        if *text != expected {
            return Err(format!("'{}' got '{text}' in place of '{expected}'", attempt.key));
        }
        complete += 1;
    }
    Ok(complete)
}

/// No attempt that was told "not run" stands in the history of any server.
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
        if attempt.attempt.as_deref().is_some_and(|id| ran.contains(id)) {
            return Err(format!("'{}' was told not run ({code}) and ran", attempt.key));
        }
    }
    Ok(not_run_count)
}

/// Requests that were claimed, by the text of their hash.
pub fn claimed_requests(segments: &[Segment]) -> HashSet<String> {
    let entries = segments.iter().flat_map(|segment| &segment.entries);
    let claims = entries.filter_map(|entry| match entry {
        Entry::Claim { request, .. } => Some(request.to_string()),
        _ => None,
    });
    claims.collect()
}

/// No request ran more than once; `runs` names the run of each start.
pub fn at_most_once<'a>(runs: impl Iterator<Item = &'a str>) -> Result<usize, Violation> {
    let mut seen = HashSet::new();
    for run in runs {
        if !seen.insert(run) {
            return Err(format!("{run} ran more than once"));
        }
    }
    Ok(seen.len())
}

/// Revisions in the order that a daemon adopted them never fall.
pub fn revisions_increase(log: &str) -> Result<usize, Violation> {
    let lines = log.lines().filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
    let mut last = 0;
    let mut count = 0;
    for line in lines {
        if line["msg"] == "serving" {
            // A new start of the daemon knows nothing of the one before.
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
