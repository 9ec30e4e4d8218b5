//! Responses of a run: a stream of chunks, or one complete body.

use std::sync::Arc;

use bytes::Bytes;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::engine::{Run, RunRecord};
use crate::faults::Faults;

/// Sends a run as a stream of chunks from `offset` on, with the faults that are set.
pub(super) async fn send_stream(
    run: Arc<Run>,
    model: String,
    mut offset: u64,
    faults: Faults,
    tx: mpsc::Sender<std::io::Result<Bytes>>,
) {
    loop {
        let record = run.wait_for_tokens_after(offset).await;
        while offset < record.output_tokens {
            let chunk = chunk(&record.run, &model, offset);
            for _ in 0..(1 + u32::from(faults.repeat)) {
                if send(&tx, &chunk).await.is_err() {
                    return;
                }
            }
            if faults.misdirect {
                let foreign = self::chunk("another-run", &model, offset + 1);
                // A closed connection is detected when the next chunk of this run is sent.
                let _closed = send(&tx, &foreign).await;
            }
            offset += 1;
            if faults.cut_after > 0 && offset % faults.cut_after == 0 {
                // Ends the body early without an error: an error would also discard chunks that
                // are still in transit, and the reader could not resume.
                return;
            }
        }
        if record.ended {
            break;
        }
    }
    let last = final_chunk(&run.record.lock(), &model);
    if send(&tx, &last).await.is_ok() {
        let done = Bytes::from_static(b"data: [DONE]\n\n");
        // If the connection is closed, no end mark is needed.
        let _closed = tx.send(Ok(done)).await;
    }
}

/// Sends a chunk as a server-sent event; fails if the connection is closed.
async fn send(tx: &mpsc::Sender<std::io::Result<Bytes>>, chunk: &Value) -> Result<(), ()> {
    tx.send(Ok(Bytes::from(format!("data: {chunk}\n\n")))).await.map_err(|_| ())
}

/// Returns the text of the token at this offset. It contains the start of the run's id, so that
/// tests detect a chunk of another run.
pub fn token_text(run: &str, offset: u64) -> String {
    let prefix = &run[..run.len().min(8)];
    format!("{prefix}:{offset} ")
}

/// Returns the chunk with the token at this offset.
fn chunk(run: &str, model: &str, offset: u64) -> Value {
    json!({
        "id": run, "object": "chat.completion.chunk", "model": model, "offset": offset,
        "choices": [{"index": 0, "delta": {"content": token_text(run, offset)}, "finish_reason": null}],
    })
}

/// Returns the last chunk, with the usage and the finish reason.
fn final_chunk(record: &RunRecord, model: &str) -> Value {
    json!({
        "id": record.run, "object": "chat.completion.chunk", "model": model,
        "offset": record.output_tokens, "usage": usage(record),
        "choices": [{"index": 0, "delta": {}, "finish_reason": finish_reason(record)}],
    })
}

/// Returns the body of a response that is not streamed.
pub(super) fn complete_response(run: &Run, model: &str) -> Value {
    let record = run.record.lock();
    let text: String = (0..record.output_tokens).map(|i| token_text(&record.run, i)).collect();
    let message = json!({"role": "assistant", "content": text});
    json!({
        "id": record.run, "object": "chat.completion", "model": model, "usage": usage(&record),
        "choices": [{"index": 0, "message": message, "finish_reason": finish_reason(&record)}],
    })
}

fn finish_reason(record: &RunRecord) -> &'static str {
    if record.cancelled { "cancelled" } else { "length" }
}

fn usage(record: &RunRecord) -> Value {
    json!({
        "prompt_tokens": record.prompt_tokens,
        "completion_tokens": record.output_tokens,
        "total_tokens": record.prompt_tokens + record.output_tokens,
    })
}
