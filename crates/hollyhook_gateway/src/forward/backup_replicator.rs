use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::task;
use futures::future::{AbortHandle, abortable};
use hollyhook_core::{EndpointId, Name, TimePoint};
use hollyhook_platform::BackupSource;
use http::{Request, header};
use http_body_util::Full;

use super::endpoint_call::{order_copy, order_endpoint};
use super::engine_choice::{BackupLocation, EngineChooser};
use crate::front::CallerRequest;
use crate::gateway::GatewayContext;
use crate::path::EndpointTarget;
use crate::sync::lock;

/// Interval at which the backup of a generation is checked. Engines that crash together usually share a zone, and
/// another zone fails only seconds later.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Delay before engines are probed again for a backup after none had room. KV cache is freed as streams end, which takes
/// six seconds or more, and each probe takes time from an engine that is already loaded.
const NO_ROOM_PAUSE: Duration = Duration::from_millis(1_500);
/// Interval at which an on-demand backup is refreshed. Engines evict a backup that is not used for four seconds.
const REFRESH_INTERVAL: Duration = Duration::from_millis(2_500);
/// Time limit for making or freeing a backup. The KV cache of a long generation crosses zones within 0.1 s.
const BACKUP_TIMEOUT: Duration = Duration::from_secs(1);

/// Maintains a backup of a generation's KV cache at another engine while the generation runs.
///
/// The running engine extends the backup that the generation was started with. When the engine that holds this backup is
/// lost, the replicator has a new backup made on demand at an engine that has just answered a probe, and refreshes that
/// backup until the generation ends. Where engines support no on-demand backups, the generation continues without one.
#[derive(Debug)]
pub(super) struct BackupReplicator {
    context: Arc<GatewayContext>,
    run_target: EndpointTarget,
    state: Arc<Mutex<ReplicatorState>>,
    task: AbortHandle,
}

#[derive(Debug)]
struct ReplicatorState {
    /// Location of the current backup; `None` if there is none.
    location: Option<BackupLocation>,
    /// Whether a backup is being made; its name is known only from the response.
    is_copying: bool,
    /// Whether the generation has ended.
    has_ended: bool,
}

impl BackupReplicator {
    pub(super) fn start(
        context: &Arc<GatewayContext>,
        caller: &Arc<CallerRequest>,
        run_target: EndpointTarget,
        first: Option<BackupLocation>,
    ) -> Self {
        let state = ReplicatorState { location: first, is_copying: false, has_ended: false };
        let state = Arc::new(Mutex::new(state));
        let replication = ReplicatorTask {
            context: Arc::clone(context),
            caller: Arc::clone(caller),
            run_target: run_target.clone(),
            state: Arc::clone(&state),
            copied_at: None,
        };
        let (work, handle) = abortable(replication.run());
        if caller.engine.is_some_and(|engine| engine.has_moves) {
            task::spawn(work);
        }
        Self { context: Arc::clone(context), run_target, state, task: handle }
    }

    /// The location of the backup, if there is one.
    pub(super) fn location(&self) -> Option<BackupLocation> {
        lock(&self.state).location.clone()
    }

    /// Takes the location of the backup, to resume the generation from it; the replicator no longer frees this backup.
    pub(super) fn take_location(&self) -> Option<BackupLocation> {
        lock(&self.state).location.take()
    }
}

impl Drop for BackupReplicator {
    fn drop(&mut self) {
        let mut state = lock(&self.state);
        state.has_ended = true;
        // The name of a backup in progress is not known yet: the task stays alive and frees the backup when it is made.
        if !state.is_copying {
            self.task.abort();
        }
        let location = state.location.take();
        drop(state);
        if let Some(location) = location.filter(|location| location.is_on_demand) {
            task::spawn(free_backup(Arc::clone(&self.context), self.run_target.clone(), location.source.name));
        }
    }
}

/// Frees a backup that will not be used. If the request fails, the engines evict the backup by themselves after a few
/// seconds.
async fn free_backup(context: Arc<GatewayContext>, run_target: EndpointTarget, handle: Name) {
    let path = hollyhook_platform::backup_free_path(&handle);
    let request = Request::delete(path).header(header::HOST, run_target.address.to_string()).body(Full::default());
    let Ok(request) = request else {
        return;
    };
    let is_freed = order_endpoint(&context, &run_target, request, BACKUP_TIMEOUT).await.is_ok();
    tracing::debug!(endpoint = %run_target.id, is_freed, "backup.freed");
}

struct ReplicatorTask {
    context: Arc<GatewayContext>,
    caller: Arc<CallerRequest>,
    run_target: EndpointTarget,
    state: Arc<Mutex<ReplicatorState>>,
    /// When the backup was last refreshed; `None` if it was not made on demand.
    copied_at: Option<TimePoint>,
}

impl ReplicatorTask {
    async fn run(mut self) {
        while !lock(&self.state).has_ended {
            self.context.timer.wait(CHECK_INTERVAL).await;
            self.check().await;
        }
    }

    async fn check(&mut self) {
        let location = lock(&self.state).location.clone();
        let filter = self.context.rollouts.version_filter(&self.caller.service, false).unwrap_or_default();
        let chooser = EngineChooser { context: &self.context, caller: &self.caller, tried: &[], versions: &filter };
        let target = location
            .as_ref()
            .and_then(|location| chooser.usable_backup(location))
            .map(|(record, _)| EndpointTarget::from(&record));
        let target = match (target, self.copied_at) {
            // The running engine extends this backup itself.
            (Some(_), None) => return,
            (Some(_), Some(at)) if self.context.timer.now().since(at) < REFRESH_INTERVAL => return,
            (Some(target), Some(_)) => Some(target),
            (None, _) => chooser.choose_backup(&self.run_target).await,
        };
        let Some(target) = target else {
            self.context.timer.wait(NO_ROOM_PAUSE).await;
            return;
        };
        if !self.begin_copy() {
            return;
        }
        let handle = self.copy_to(&target).await;
        tracing::info!(request = %self.caller.head.attempt_id, endpoint = %self.run_target.id, backup = %target.id,
            is_copied = handle.is_some(), "backup.copied");
        self.end_copy(&target, handle).await;
    }

    /// Marks a backup as being made; returns false if the generation has ended, so that no backup is needed.
    fn begin_copy(&self) -> bool {
        let mut state = lock(&self.state);
        state.is_copying = !state.has_ended;
        state.is_copying
    }

    async fn end_copy(&mut self, target: &EndpointTarget, handle: Option<Name>) {
        self.copied_at = handle.as_ref().map(|_| self.context.timer.now());
        let unused = {
            let mut state = lock(&self.state);
            state.is_copying = false;
            let location = handle.clone().map(|name| BackupLocation {
                id: EndpointId::clone(&target.id),
                source: BackupSource { address: self.run_target.address, name },
                is_on_demand: true,
            });
            if state.has_ended {
                handle
            } else {
                state.location = location;
                None
            }
        };
        match unused {
            Some(name) => free_backup(Arc::clone(&self.context), self.run_target.clone(), name).await,
            None if self.copied_at.is_some() => self.context.recorder.count("backups_copied"),
            None => {}
        }
    }

    async fn copy_to(&self, target: &EndpointTarget) -> Option<Name> {
        let order = hollyhook_platform::encode_backup_request(&self.caller.head.attempt_id, target.address).ok()?;
        let response = order_copy(&self.context, &self.run_target, order, BACKUP_TIMEOUT).await?;
        let is_done = response.parts.status.is_success();
        if is_done { hollyhook_platform::decode_backup_handle(&response.body).ok() } else { None }
    }
}
