//! Cases of the second independent review that can't be put as a day for the users' bench, or that also
//! are one. Run as `bankcove-review-2 CASE RECORD`, in the root of the repository; `TROUBLE=0` leaves the
//! disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cases;
mod fleet;
mod http;
mod runner;
mod store;

use std::sync::Arc;
use std::time::Instant;

use parking_lot::Mutex;

/// What was sent, answered and run, in order.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    fn new() -> Self {
        Record { began: Instant::now(), lines: Arc::default() }
    }

    /// Adds a line for now.
    pub fn add(&self, line: String) {
        self.add_at(Instant::now(), line);
    }

    /// Adds a line for another time.
    pub fn add_at(&self, at: Instant, line: String) {
        self.lines.lock().push((at.duration_since(self.began).as_secs_f64(), line));
    }

    fn write(&self, file: &str) {
        let mut lines = self.lines.lock().clone();
        lines.sort_by(|one, other| one.0.total_cmp(&other.0));
        let text: String = lines.iter().map(|(at, line)| format!("{at:8.3} s  {line}\n")).collect();
        std::fs::write(file, text).expect("the record can be written");
    }
}

#[tokio::main(worker_threads = 3)]
async fn main() {
    let mut args = std::env::args().skip(1);
    let (case, file) = (args.next().unwrap_or_default(), args.next().unwrap_or_default());
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    let running = tokio::spawn(run_case(case, record.clone(), has_trouble));
    // A panic ends the processes of the case, too.
    let outcome = running.await.unwrap_or_else(|e| Err(e.to_string()));
    let (code, text) = match outcome {
        Ok(None) => (0, "the rule held".to_owned()),
        Ok(Some(breach)) => (1, format!("BROKEN: {breach}")),
        Err(problem) => (2, format!("could not run: {problem}")),
    };
    record.add(text.clone());
    record.write(&file);
    println!("{text}");
    std::process::exit(code);
}

async fn run_case(case: String, record: Record, has_trouble: bool) -> Result<Option<String>, String> {
    match case.as_str() {
        "bodies" => cases::bodies::run(&record, has_trouble).await,
        "drain" => cases::drain::run(&record, has_trouble).await,
        "early" => cases::streams::run_early(&record, has_trouble).await,
        "events" => cases::streams::run_events(&record, has_trouble).await,
        "config" => cases::config::run(&record, has_trouble).await,
        _ => Err(format!("there is no case '{case}'")),
    }
}
