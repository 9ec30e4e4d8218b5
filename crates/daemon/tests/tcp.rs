//! Sockets that callers, peers and operators connect to.

use bankcoved::base::tcp::listen;

#[tokio::test]
async fn accepted_connections_send_small_pieces_at_once() {
    let listener = listen("127.0.0.1:0").expect("loopback has a free port");
    let address = listener.local_addr().expect("a listener has an address");
    let connecting = tokio::net::TcpStream::connect(address);
    let (accepted, connected) = tokio::join!(listener.accept(), connecting);
    connected.expect("it connects");
    let (stream, _) = accepted.expect("it is accepted");
    assert!(stream.nodelay().expect("the option can be read"));
}

#[tokio::test]
async fn a_port_in_use_is_told_with_its_address() {
    let listener = listen("127.0.0.1:0").expect("loopback has a free port");
    let address = listener.local_addr().expect("a listener has an address").to_string();
    let error = listen(&address).expect_err("the port is in use");
    assert!(error.to_string().contains(&address), "{error}");
}
