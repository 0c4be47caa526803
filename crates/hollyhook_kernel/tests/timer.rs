//! Waiting on the machine's clock.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures::executor::block_on;
use futures::future::{Either, select};
use hollyhook_kernel::{SystemClock, TimerService};

const START: u64 = 100_000;
/// How long the machine was suspended, in milliseconds; far longer than anything waits here.
const SUSPENDED: u64 = 3_600_000;

static BOOT_MILLIS: AtomicU64 = AtomicU64::new(START);

/// A clock that stands still, until the machine is suspended.
fn boot_time() -> Duration {
    Duration::from_millis(BOOT_MILLIS.load(Ordering::SeqCst))
}

/// A host that was suspended while it waited finds on waking that its time is up: what it waits for is long past, and what
/// it knew before is old.
#[test]
fn wait_ends_after_suspension() {
    let timer = TimerService::from(SystemClock::reading(boot_time));
    let wait = std::pin::pin!(timer.wait(Duration::from_mins(10)));
    let suspension = std::pin::pin!(async {
        async_io::Timer::after(Duration::from_millis(50)).await;
        BOOT_MILLIS.store(START + SUSPENDED, Ordering::SeqCst);
        // Without a look at the clock the wait would go on for ten minutes.
        async_io::Timer::after(Duration::from_secs(30)).await;
    });
    let outcome = block_on(select(wait, suspension));
    assert!(matches!(outcome, Either::Left(_)), "the wait goes on as if no time had passed");
}
