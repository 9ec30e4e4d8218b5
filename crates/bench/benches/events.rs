//! Time to split streams into events: `cargo bench -p bankcove-bench --bench events`.

use std::time::Instant;

use bankcove_core::events::EventSplitter;

/// Size of one read from a server, in bytes.
const READ_BYTES: usize = 64 << 10;

/// Bytes that are split for each event size.
const TOTAL_BYTES: usize = 1 << 30;

fn main() {
    for event_bytes in [100, 4 << 10, 64 << 10, 1 << 20] {
        let mut event = vec![b'x'; event_bytes - 2];
        event[..6].copy_from_slice(b"id: 1\n");
        event.extend(b"\n\n");
        let stream = event.repeat((4 << 20) / event_bytes);
        let (mut splitter, mut events, mut received) = (EventSplitter::default(), 0, 0);
        let started = Instant::now();
        for read in stream.chunks(READ_BYTES).cycle().take(TOTAL_BYTES / READ_BYTES) {
            splitter.push(read);
            received += read.len();
            while let Ok(Some(_)) = splitter.next_event() {
                events += 1;
            }
        }
        let per_s = received as f64 / started.elapsed().as_secs_f64() / 1e6;
        println!("events of {event_bytes} bytes: {events}, {per_s:.0} MB/s");
    }
}
