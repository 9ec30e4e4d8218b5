//! Remote procedure calls between daemons, by tarpc: the protocol (`protocol`), the encoding of
//! tables (`packed_table`) and lists (`packed_list`) and the client connections (`pool`).
//!
//! Uses no other module of the daemon; called by all layers. The server side, `peer_server`, is
//! above them.

mod frame_stream;
pub mod packed_list;
pub mod packed_table;
mod pool;
mod protocol;
pub mod tunnel;

use std::time::Duration;

use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use frame_stream::{FrameStream, MessageMemory};
pub use pool::PeerPool;
pub use protocol::{
    AllotAnswer, GiveAnswer, HostListReply, OwnerAnswer, PeerService, PeerServiceClient,
    PermitAnswer, Refusal, ReleasedSlot, RolloutAnswer, RolloutReport, SlotRenewal,
};

/// Maximum size of one message, in bytes; a whole packed table fits.
const MAX_FRAME_BYTES: usize = 8 << 20;

/// Timeout for fetching a table or a list from a peer: 400 KB take 0.3 s on the slowest link of
/// the users' hosts, 10 Mbit/s, and a peer may serve three fetches at once.
pub const FETCH_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Wraps a connection in a codec for length-delimited messages.
fn framed(stream: TcpStream, memory: &MessageMemory) -> Framed<FrameStream, LengthDelimitedCodec> {
    let stream = FrameStream::new(stream, memory);
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream)
}
