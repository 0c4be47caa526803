use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use async_std::task;
use futures::future::{BoxFuture, FutureExt, Shared};
use hollyhook_core::EndpointId;

use crate::sync::lock;

/// A check whether an endpoint has crashed; several tasks may wait for its outcome.
pub(crate) type CrashCheck = Shared<BoxFuture<'static, bool>>;

/// The checks that run now, one an endpoint: a crash ends many requests at once, and one check answers for all.
#[derive(Debug, Default)]
pub(crate) struct CrashChecks {
    running: Mutex<HashMap<EndpointId, CrashCheck>>,
}

impl CrashChecks {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "crash_checks";

    /// Joins the running check of an endpoint, or begins `check`, which goes on if nobody waits for it any more.
    pub(crate) fn join(
        self: &Arc<Self>,
        id: &EndpointId,
        check: impl Future<Output = bool> + Send + 'static,
    ) -> CrashCheck {
        let mut running = lock(&self.running);
        if let Some(check) = running.get(id) {
            return CrashCheck::clone(check);
        }
        let (checks, ended) = (Arc::clone(self), EndpointId::clone(id));
        let check = async move {
            let has_crashed = check.await;
            lock(&checks.running).remove(&ended);
            has_crashed
        };
        let check = check.boxed().shared();
        running.insert(EndpointId::clone(id), CrashCheck::clone(&check));
        task::spawn(CrashCheck::clone(&check));
        check
    }

    /// The number of endpoints that are being checked.
    pub(crate) fn count(&self) -> usize {
        lock(&self.running).len()
    }
}
