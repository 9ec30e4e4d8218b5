//! Listening sockets for callers, peers and operators.

use bankcoved::base::tcp::listen;

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
