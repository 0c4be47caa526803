use async_std::task::block_on;
use hollyhook_standin::FaultKind;
use nix::sys::signal::Signal;

use crate::fleet::{Fleet, FleetPlan, Reading, assert_whole, until};

const PROMPT: &str = "Draft the board narrative";

#[test]
fn sigterm_cuts_off_no_request() {
    let mut fleet = Fleet::start(&FleetPlan::default());
    block_on(async {
        let mut reading = Reading::open(&fleet.client(0), PROMPT, 100, &[]).await;
        reading.read_to(20).await;
        fleet.daemons[0].signal(Signal::SIGTERM);
        reading.read_all().await;
        assert_whole(PROMPT, &reading.tokens, 100);
    });
    assert_eq!(fleet.daemons[0].wait(), Some(0));
    std::net::TcpStream::connect(fleet.daemons[0].address).unwrap_err();
}

#[test]
fn second_signal_cuts() {
    let mut fleet = Fleet::start(&FleetPlan::default());
    let _open = block_on(async {
        let mut reading = Reading::open(&fleet.client(0), PROMPT, 3_000, &[]).await;
        reading.read_to(20).await;
        fleet.daemons[0].signal(Signal::SIGTERM);
        // The first signal has been taken when nothing is accepted any more.
        let address = fleet.daemons[0].address;
        until(|| async { std::net::TcpStream::connect(address).is_err() }, |is_refused| *is_refused).await;
        fleet.daemons[0].signal(Signal::SIGTERM);
        reading
    });
    assert_eq!(fleet.daemons[0].wait(), Some(1));
}

#[test]
fn leaving_engine_gets_nothing_new() {
    let fleet = Fleet::start(&FleetPlan { engines: 2, ..FleetPlan::default() });
    block_on(async {
        let mut reading = Reading::open(&fleet.client(0), PROMPT, 150, &[]).await;
        reading.read_to(20).await;
        let busy = fleet.busy_engine().await;
        fleet.fault(&fleet.engines[busy], FaultKind::Leave, 0).await;
        for _ in 0..10 {
            let mut short = Reading::open(&fleet.client(0), PROMPT, 2, &[]).await;
            short.read_all().await;
            assert!(short.is_done);
        }
        reading.read_all().await;
        assert_whole(PROMPT, &reading.tokens, 150);
        assert_eq!(fleet.engine_counts(busy).await.started, 1);
        assert_eq!(fleet.engine_counts(1 - busy).await.started, 10);
    });
}
