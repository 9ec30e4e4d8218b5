//! Property test of the choice among servers that are leaving, resting, cold, at their limits,
//! ejected, in evacuated halls or outside the request's home regions, in any combination.

use bankcove_core::crashes::ServerInstance;
use bankcove_core::rollout::Versions;
use bankcove_core::router::{Homes, NoServer, Router, RoutingRequest};
use bankcove_core::table::{ServerState, Table};
use bankcove_core::{Millis, Name};
use proptest::prelude::*;
use serde_json::json;

const SERVERS: usize = 12;
const HALLS: usize = 3;
const NOW: Millis = 10_000;

/// Condition of one server; most make it unavailable.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Condition {
    Available,
    Leaving,
    Resting(Millis),
    Cold,
    AtLimit,
    Ejected,
}

fn condition() -> impl Strategy<Value = Condition> {
    prop_oneof![
        2 => Just(Condition::Available),
        2 => Just(Condition::Leaving),
        2 => (1..5_000_u64).prop_map(Condition::Resting),
        1 => Just(Condition::Cold),
        1 => Just(Condition::AtLimit),
        1 => Just(Condition::Ejected),
    ]
}

fn table(evacuated: &[bool]) -> Table {
    let halls: Vec<_> = (0..HALLS)
        .map(|n| json!({"name": format!("hall-{n}"), "region": format!("region-{n}")}))
        .collect();
    let servers: Vec<_> = (0..SERVERS)
        .map(|n| {
            json!({"name": format!("s{n}"), "hall": format!("hall-{}", n % HALLS),
                   "address": format!("10.0.0.{n}:1"), "kind": "model", "models": ["m"]})
        })
        .collect();
    let mut table: Table =
        serde_json::from_value(json!({"halls": halls, "servers": servers})).expect("a table");
    for (hall, is_evacuated) in table.halls.iter_mut().zip(evacuated) {
        if *is_evacuated {
            hall.state = ServerState::Draining;
        }
    }
    table
}

fn instance(n: usize) -> ServerInstance {
    ServerInstance { name: Name::from(format!("s{n}").as_str()), started_ms: 0 }
}

fn apply(router: &mut Router, n: usize, condition: Condition) {
    let server = instance(n);
    match condition {
        Condition::Available | Condition::Cold => {}
        Condition::Leaving => drop(router.record_leaving(NOW, &server)),
        Condition::Resting(rest_ms) => drop(router.record_rest(NOW, &server, rest_ms)),
        Condition::AtLimit => router.block_for_rate_limit(&server, 1.0, NOW + 700),
        Condition::Ejected => {
            for _ in 0..3 {
                router.record_sent(&server.name, 0, 0);
                router.record_ended(NOW, &server.name, 0, false);
            }
        }
    }
}

proptest! {
    #[test]
    fn the_choice_is_available_and_an_available_server_is_found(
        evacuated in prop::collection::vec(any::<bool>(), HALLS),
        conditions in prop::collection::vec(condition(), SERVERS),
        homes in prop::collection::vec(0..HALLS, 0..3),
        tried in prop::collection::vec(0..SERVERS, 0..3),
        (prefix, seed) in any::<(u64, u64)>(),
    ) {
        let mut table = table(&evacuated);
        for (row, condition) in table.servers.iter_mut().zip(&conditions) {
            row.listed.cold_until = if *condition == Condition::Cold { NOW + 900 } else { 0 };
        }
        let mut router = Router::default();
        router.adopt(&table);
        for (n, condition) in conditions.iter().enumerate() {
            apply(&mut router, n, *condition);
        }
        // Adopting the same table again keeps all conditions.
        router.adopt(&table);
        let tried: Vec<Name> = tried.iter().map(|n| instance(*n).name).collect();
        let regions: Vec<Name> =
            homes.iter().map(|n| Name::from(format!("region-{n}").as_str())).collect();
        let request = RoutingRequest {
            pool: "m", prefix, prompt_tokens: 0, shared_tokens: 0, hour: 0, seed, tried: &tried,
            homes: Homes { route: &regions, workspace: &[] },
            versions: Versions::Any,
        };
        let may_serve = |n: usize| {
            let hall = n % HALLS;
            let is_home = homes.is_empty() || homes.contains(&hall);
            !evacuated[hall] && is_home && !tried.contains(&instance(n).name)
        };
        match router.choose(NOW, &request) {
            Ok(choice) => {
                let n: usize = choice.server.as_str()[1..].parse().expect("a number");
                prop_assert!(may_serve(n));
                // At most half of a pool is ejected, so a server that failed may still be in use.
                let is_unavailable =
                    !matches!(conditions[n], Condition::Available | Condition::Ejected);
                prop_assert!(!is_unavailable, "{:?}", conditions[n]);
                prop_assert!(router.check_open(NOW, &choice.instance()).is_ok());
            }
            Err(why) => {
                let available = (0..SERVERS)
                    .filter(|n| may_serve(*n) && conditions[*n] == Condition::Available)
                    .count();
                prop_assert_eq!(available, 0);
                let rests =
                    (0..SERVERS).filter(|n| may_serve(*n)).filter_map(|n| match conditions[n] {
                        Condition::Resting(rest_ms) => Some(rest_ms),
                        _ => None,
                    });
                if let NoServer::OnlyResting(resting) = why {
                    prop_assert_eq!(Some(resting.first_ms), rests.clone().min());
                    prop_assert_eq!(resting.servers, rests.count());
                }
            }
        }
    }
}
