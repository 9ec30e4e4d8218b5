//! Encoding of lists for transfer between daemons.

use bankcove_core::Name;
use bankcove_core::members::{Host, HostRole, HostState};
use bankcove_core::server_list::ListedServer;
use bankcoved::peer::packed_list::PackedList;
use yare::parameterized;

fn hosts(count: usize) -> Vec<Host> {
    let host = |n: usize| Host {
        name: Name::from(format!("front-vaasa-keskus-{n}").as_str()),
        hall: Name::from(["vaasa-keskus", "kokkola"][n % 2]),
        address: format!("10.{}.{}.{}:8229", n % 5, n / 250, n % 250),
        role: HostRole::Daemon,
        state: HostState::Live,
    };
    (0..count).map(host).collect()
}

fn servers(count: usize) -> Vec<ListedServer> {
    let server = |n: usize| ListedServer {
        name: Name::from(format!("i-{:08x}", n.wrapping_mul(0x9e37_79b9) & 0xffff_ffff).as_str()),
        started_ms: 1_780_000_000_000 + n as u64,
        service: Name::from("kielimalli"),
        version: Some(Name::from("v1")),
        address: format!("10.{}.{}.{}:8080", 128 + n % 5, n / 250, n % 250),
        hall: Name::from(["vaasa-keskus", "kokkola"][n % 2]),
        slots: 32,
        draining: false,
        cold_for_ms: 0,
    };
    (0..count).map(server).collect()
}

#[test]
fn unpacking_restores_the_packed_list() {
    let packed = PackedList::pack(&hosts(20)).expect("the list can be packed");
    assert_eq!(packed.unpack().expect("it can be unpacked"), hosts(20));
}

#[test]
fn unpacking_invalid_bytes_fails() {
    let broken: PackedList<Vec<Host>> =
        serde_json::from_str(r#"{"bytes":[9,0,0,0,1,2]}"#).expect("the JSON is valid");
    assert!(broken.unpack().is_err());
}

#[parameterized(
    hundreds = { 300 },
    thousand = { 1_000 },
    two_thousand = { 2_000 },
)]
fn a_host_takes_less_than_half_of_its_text(count: usize) {
    let list = hosts(count);
    let packed = PackedList::pack(&list).expect("the list can be packed");
    let sent = bincode::serialized_size(&packed).expect("it can be encoded");
    let text = serde_json::to_vec(&list).expect("it can be serialized").len() as u64;
    assert!(sent < text / 2, "{sent} of {text} bytes for {count} hosts");
}

#[parameterized(
    three_thousand = { 3_000 },
    ten_thousand = { 10_000 },
    twenty_thousand = { 20_000 },
)]
fn a_server_takes_less_than_sixty_bytes(count: usize) {
    let packed = PackedList::pack(&servers(count)).expect("the list can be packed");
    let sent = bincode::serialized_size(&packed).expect("it can be encoded");
    assert!(sent < 60 * count as u64, "{sent} bytes for {count} servers");
}
