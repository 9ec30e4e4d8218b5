//! Listening sockets for callers, peers and operators.

use std::time::Duration;

use bankcoved::base::tcp::{break_when_silent, listen};
use socket2::{SockFilter, SockRef};
use tokio::io::AsyncReadExt;

#[tokio::test]
async fn accepted_connections_have_nodelay_set() {
    let listener = listen("127.0.0.1:0").expect("loopback has a free port");
    let address = listener.local_addr().expect("a listener has an address");
    let connecting = tokio::net::TcpStream::connect(address);
    let (accepted, connected) = tokio::join!(listener.accept(), connecting);
    connected.expect("the connection is established");
    let (stream, _) = accepted.expect("the connection is accepted");
    assert!(stream.nodelay().expect("the option can be read"));
}

#[tokio::test]
async fn the_error_for_a_port_in_use_contains_its_address() {
    let listener = listen("127.0.0.1:0").expect("loopback has a free port");
    let address = listener.local_addr().expect("a listener has an address").to_string();
    let error = listen(&address).expect_err("the port is in use");
    assert!(error.to_string().contains(&address), "{error}");
}

/// Guards against a request that waits until its deadline for a daemon that has lost power: nothing
/// is left to be acknowledged then, so that a user timeout alone does not end the connection.
#[tokio::test]
async fn a_connection_to_a_silent_host_breaks_while_it_is_read() {
    let listener = listen("127.0.0.1:0").expect("loopback has a free port");
    let address = listener.local_addr().expect("a listener has an address");
    let connecting = tokio::net::TcpStream::connect(address);
    let (accepted, connected) = tokio::join!(listener.accept(), connecting);
    let (other_side, _) = accepted.expect("the connection is accepted");
    let mut stream = connected.expect("the connection is established");
    break_when_silent(&stream);
    // Classic BPF: drops all packets that arrive.
    let drop_all = [SockFilter::new(0x06, 0, 0, 0)];
    SockRef::from(&other_side).attach_filter(&drop_all).expect("a filter can be attached");
    let read = tokio::time::timeout(Duration::from_secs(20), stream.read_u8()).await;
    assert!(read.expect("the connection breaks").is_err());
}
