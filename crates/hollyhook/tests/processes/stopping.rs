use async_std::task::block_on;
use hollyhook_standin::FaultKind;
use nix::sys::signal::Signal;

use crate::fleet::{Fleet, FleetConfig, StreamReader, assert_complete, poll_until};

const PROMPT: &str = "Draft the board narrative";

#[test]
fn sigterm_cuts_off_no_request() {
    let mut fleet = Fleet::start(&FleetConfig::default());
    block_on(async {
        let mut reader = StreamReader::open(&fleet.client(0), PROMPT, 100, &[]).await;
        reader.read_to(20).await;
        fleet.daemons[0].signal(Signal::SIGTERM);
        reader.read_all().await;
        assert_complete(PROMPT, &reader.tokens, 100);
    });
    assert_eq!(fleet.daemons[0].wait(), Some(0));
    std::net::TcpStream::connect(fleet.daemons[0].address).unwrap_err();
}

#[test]
fn second_signal_aborts_requests() {
    let mut fleet = Fleet::start(&FleetConfig::default());
    let _open_stream = block_on(async {
        let mut reader = StreamReader::open(&fleet.client(0), PROMPT, 3_000, &[]).await;
        reader.read_to(20).await;
        fleet.daemons[0].signal(Signal::SIGTERM);
        // Once connections are refused, the daemon has handled the first signal.
        let address = fleet.daemons[0].address;
        poll_until(|| async { std::net::TcpStream::connect(address).is_err() }, |is_refused| *is_refused).await;
        fleet.daemons[0].signal(Signal::SIGTERM);
        reader
    });
    assert_eq!(fleet.daemons[0].wait(), Some(1));
}

#[test]
fn leaving_engine_gets_no_new_request() {
    let fleet = Fleet::start(&FleetConfig { engines: 2, ..FleetConfig::default() });
    block_on(async {
        let mut reader = StreamReader::open(&fleet.client(0), PROMPT, 150, &[]).await;
        reader.read_to(20).await;
        let busy = fleet.busy_engine().await;
        fleet.fault(&fleet.engines[busy], FaultKind::Leave, 0).await;
        for _ in 0..10 {
            let mut short = StreamReader::open(&fleet.client(0), PROMPT, 2, &[]).await;
            short.read_all().await;
            assert!(short.is_done);
        }
        reader.read_all().await;
        assert_complete(PROMPT, &reader.tokens, 150);
        assert_eq!(fleet.engine_counts(busy).await.started, 1);
        assert_eq!(fleet.engine_counts(1 - busy).await.started, 10);
    });
}
