//! Waits of a `TimerService` with the machine's clock.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures::executor::block_on;
use futures::future::{Either, select};
use hollyhook_kernel::{SystemClock, TimerService};

const START_MILLIS: u64 = 100_000;
/// How long the machine was suspended; much longer than any wait in this test.
const SUSPENDED_MILLIS: u64 = 3_600_000;

static BOOT_MILLIS: AtomicU64 = AtomicU64::new(START_MILLIS);

/// The simulated time since boot, which changes only when the test simulates a suspension.
fn boot_time() -> Duration {
    Duration::from_millis(BOOT_MILLIS.load(Ordering::SeqCst))
}

/// A host that is suspended during a wait must end the wait soon after it resumes if the deadline has passed meanwhile.
/// A sleep alone does not count the suspended time, so the host would act on outdated information.
#[test]
fn wait_ends_after_suspension() {
    let timer = TimerService::from(SystemClock::with_source(boot_time));
    let wait = std::pin::pin!(timer.wait(Duration::from_mins(10)));
    let suspension = std::pin::pin!(async {
        async_io::Timer::after(Duration::from_millis(50)).await;
        BOOT_MILLIS.store(START_MILLIS + SUSPENDED_MILLIS, Ordering::SeqCst);
        // A wait that does not read the clock again would take ten minutes and lose to this timer.
        async_io::Timer::after(Duration::from_secs(30)).await;
    });
    let outcome = block_on(select(wait, suspension));
    assert!(
        matches!(outcome, Either::Left(_)),
        "the wait should end within 30 s of the resume, since its deadline has passed"
    );
}
