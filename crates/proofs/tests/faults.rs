//! All guarantees under each fault alone, with a fixed seed. For pairs of faults and more seeds, run
//! `cargo run -p bankcove-proofs --example faults -- --pairs`.

use bankcove_proofs::scenario::{Fault, Scenario, run};
use yare::parameterized;

#[parameterized(
    none = { &[] },
    kill_daemon = { &[Fault::KillDaemon] },
    freeze_daemon = { &[Fault::FreezeDaemon] },
    cut_peers = { &[Fault::CutPeers] },
    cut_store = { &[Fault::CutStore] },
    cut_store_answers = { &[Fault::CutStoreAnswers] },
    store_down = { &[Fault::StoreDown] },
    store_slow = { &[Fault::StoreSlow] },
    lost_answers = { &[Fault::LostAnswers] },
    top_up_during_partition = { &[Fault::TopUpDuringPartition] },
    host_list_empty = { &[Fault::HostListEmpty] },
    engine_dead = { &[Fault::EngineDead] },
    engine_slow = { &[Fault::EngineSlow] },
    engine_misdirects = { &[Fault::EngineMisdirects] },
    engine_repeats_and_cuts = { &[Fault::EngineRepeatsAndCuts] },
    planned_stop = { &[Fault::PlannedStop] },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn guarantees_hold(faults: &[Fault]) {
    let scenario = Scenario::new(1, faults);
    match run(&scenario).await {
        Ok(report) => println!("{faults:?} seed {}: {report:?}", scenario.seed),
        Err(violation) => panic!("{faults:?} seed {}: {violation}", scenario.seed),
    }
}
