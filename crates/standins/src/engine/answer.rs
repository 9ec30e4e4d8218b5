//! What a run looks like to its readers: pieces of a stream, or one whole answer.

use std::sync::Arc;

use bytes::Bytes;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::engine::{Run, RunRecord};
use crate::faults::Faults;

/// Sends a run as a stream of pieces from `offset` on, with the faults that are asked for.
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
                // A reader that left is noticed with the next own piece.
                let _left = send(&tx, &foreign).await;
            }
            offset += 1;
            if faults.cut_after > 0 && offset % faults.cut_after == 0 {
                // The body ends too early: an error would also take back pieces
                // that are still on their way, and no reader could go on.
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
        // A reader that left needs no end mark.
        let _left = tx.send(Ok(done)).await;
    }
}

async fn send(tx: &mpsc::Sender<std::io::Result<Bytes>>, chunk: &Value) -> Result<(), ()> {
    tx.send(Ok(Bytes::from(format!("data: {chunk}\n\n")))).await.map_err(|_| ())
}

/// Text of the token at this offset: it names its run, so that a piece of
/// another answer is recognised.
pub fn token_text(run: &str, offset: u64) -> String {
    let start = &run[..run.len().min(8)];
    format!("{start}:{offset} ")
}

fn chunk(run: &str, model: &str, offset: u64) -> Value {
    json!({
        "id": run, "object": "chat.completion.chunk", "model": model, "offset": offset,
        "choices": [{"index": 0, "delta": {"content": token_text(run, offset)}, "finish_reason": null}],
    })
}

fn final_chunk(record: &RunRecord, model: &str) -> Value {
    json!({
        "id": record.run, "object": "chat.completion.chunk", "model": model,
        "offset": record.output_tokens, "usage": usage(record),
        "choices": [{"index": 0, "delta": {}, "finish_reason": finish_reason(record)}],
    })
}

pub(super) fn complete_answer(run: &Run, model: &str) -> Value {
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
