//! Adoption of changed tables and lists: only what differs changes, and the result is the same as if
//! the router had adopted the last table and list alone.

use bankcove_core::rollout::Versions;
use bankcove_core::router::{Adopted, Homes, ListedRow, Router, RoutingRequest};
use bankcove_core::server_list::ListedServer;
use bankcove_core::table::Table;
use bankcove_core::{Millis, Name};
use proptest::prelude::*;
use yare::parameterized;

fn server(n: usize, started_ms: Millis) -> ListedServer {
    ListedServer {
        name: Name::from(format!("i-{n}").as_str()),
        started_ms,
        service: Name::from(["engines", "plain"][usize::from(n % 7 == 0)]),
        version: None,
        address: format!("10.0.{}.{}:80", n / 250, n % 250),
        hall: Name::from(format!("hall-{}", n % 3).as_str()),
        slots: 8,
        draining: false,
        cold_for_ms: 0,
    }
}

fn adopt(router: &mut Router, servers: &[ListedServer]) -> Adopted {
    let rows = servers.iter().map(|server| ListedRow { server, cold_until: 0 });
    router.adopt_with_list(&Table::default(), &[], rows)
}

/// Returns the servers that a router chooses for some hundred prefixes.
fn choices(router: &Router) -> Vec<Option<Name>> {
    let choice = |n: u64| {
        let request = RoutingRequest {
            pool: ["engines", "plain"][usize::from(n % 4 == 0)],
            prefix: n.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            prompt_tokens: 0,
            shared_tokens: 0,
            hour: 0,
            seed: n,
            tried: &[],
            homes: Homes::default(),
            versions: Versions::Any,
        };
        router.choose(0, &request).ok().map(|choice| choice.server)
    };
    (0..200).map(choice).collect()
}

#[parameterized(
    hundred = { 100 },
    thousand = { 1_000 },
    ten_thousand = { 10_000 },
)]
fn one_changed_server_changes_one_whatever_the_number(count: usize) {
    let mut router = Router::default();
    let mut servers: Vec<ListedServer> = (0..count).map(|n| server(n, 1)).collect();
    assert_eq!(adopt(&mut router, &servers), Adopted { added: count, removed: 0 });
    assert_eq!(adopt(&mut router, &servers), Adopted::default(), "nothing has changed");
    servers[count / 2].draining = true;
    assert_eq!(adopt(&mut router, &servers), Adopted::default(), "its place stays");
    servers.remove(count / 2);
    servers.push(server(count, 1));
    assert_eq!(adopt(&mut router, &servers), Adopted { added: 1, removed: 1 });
    assert_eq!(router.servers().len(), count);
}

#[test]
fn the_load_of_servers_that_stay_is_kept_when_others_go() {
    let mut router = Router::default();
    let servers: Vec<ListedServer> = (0..20).map(|n| server(n, 1)).collect();
    adopt(&mut router, &servers);
    let name = |n: usize| server(n, 1).name;
    router.record_sent(&name(19), 1, 0);
    router.record_sent(&name(3), 1, 0);
    adopt(&mut router, &servers[2..]);
    let load = |router: &Router, n| {
        let view = router.servers().iter().find(|view| view.name == name(n));
        view.expect("it is listed").load()
    };
    assert!((load(&router, 19) - 1.0).abs() < 1e-9 && (load(&router, 3) - 1.0).abs() < 1e-9);
    router.record_ended(0, &name(19), 1, true);
    assert!(load(&router, 19).abs() < 1e-9);
    let restarted: Vec<ListedServer> = (2..20).map(|n| server(n, 2)).collect();
    adopt(&mut router, &restarted);
    assert!(load(&router, 3).abs() < 1e-9, "a later instance has no load");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]

    #[test]
    fn a_router_that_adopted_many_lists_chooses_like_one_that_adopted_the_last(
        lists in prop::collection::vec(prop::collection::btree_map(0_usize..60, 1_u64..3, 0..60), 1..8),
    ) {
        let mut router = Router::default();
        let mut last = Vec::new();
        for list in &lists {
            last = list.iter().map(|(n, started_ms)| server(*n, *started_ms)).collect();
            adopt(&mut router, &last);
        }
        let mut fresh = Router::default();
        adopt(&mut fresh, &last);
        prop_assert_eq!(choices(&router), choices(&fresh));
        prop_assert_eq!(router.servers().len(), last.len());
    }
}

/// Guards against servers whose slots are unknown until the list changes again.
#[test]
fn slots_of_a_new_server_are_known_at_once() {
    let mut router = Router::default();
    let server = server(1, 1);
    adopt(&mut router, std::slice::from_ref(&server));
    assert_eq!(router.room(0, "engines").usable_slots, server.slots);
}
