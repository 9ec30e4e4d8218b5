//! Calls between daemons, by tarpc: what they say to each other (`protocol`), and connections to
//! call them by (`pool`).
//!
//! May call nothing of the daemon but its types; called by all layers. What answers the calls
//! stands above them, in `peer_server`.

pub mod packed_table;
mod pool;
mod protocol;

use std::time::Duration;

use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

pub use pool::PeerPool;
pub use protocol::{
    AllotAnswer, GiveAnswer, HostListReply, OwnerAnswer, PeerService, PeerServiceClient,
    PermitAnswer, Refusal,
};

/// Largest message; a whole table fits.
const MAX_FRAME_BYTES: usize = 32 << 20;

/// Longest fetch of a table or a list from a peer: 400 KB take 0.3 s on the
/// narrowest link of the users' hosts, 10 Mbit/s, and a peer may serve three.
pub const FETCH_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The connection as messages.
pub(crate) fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream)
}
