use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::task;
use futures::future::{AbortHandle, abortable};
use hollyhook_core::{EndpointId, Name, TimePoint};
use hollyhook_platform::BackupSource;
use http::{Request, header};
use http_body_util::Full;

use super::attempt::{EndpointTarget, ask_endpoint};
use super::engine_choice::{BackupPlace, EngineChooser};
use crate::front::CallerRequest;
use crate::gateway::GatewayContext;
use crate::sync::lock;

/// How often a run's backup is looked at. Engines that crash together take a zone; the next zone follows seconds later.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// When engines are asked again for room for a copy, after none had any. Memory comes free as streams end, after six
/// seconds or more, and each question takes time of an engine that has none to spare.
const NO_ROOM_PAUSE: Duration = Duration::from_millis(1_500);
/// How often a copy made on order is brought up to date. Engines keep one that is not asked for during four seconds.
const REFRESH_INTERVAL: Duration = Duration::from_millis(2_500);
/// How long a copy may take: the memory of a long generation crosses zones within a tenth of a second.
const COPY_TIMEOUT: Duration = Duration::from_secs(1);

/// Keeps a copy of a run's memory at another engine for as long as the run goes on.
///
/// The copy that a run was begun with grows with it. When its engine is gone, a new copy is made on order, at an engine
/// that has just answered, and brought up to date until the run ends; where engines take no such orders, the run goes on
/// without one.
#[derive(Debug)]
pub(super) struct BackupKeeper {
    context: Arc<GatewayContext>,
    running: EndpointTarget,
    state: Arc<Mutex<KeeperState>>,
    task: AbortHandle,
}

#[derive(Debug)]
struct KeeperState {
    /// Where the copy lies now.
    place: Option<BackupPlace>,
    /// Whether a copy is being made; its name comes only with the answer.
    is_copying: bool,
    /// Whether the run has ended.
    is_over: bool,
}

impl BackupKeeper {
    pub(super) fn start(
        context: &Arc<GatewayContext>,
        caller: &Arc<CallerRequest>,
        running: EndpointTarget,
        first: Option<BackupPlace>,
    ) -> Self {
        let state = KeeperState { place: first, is_copying: false, is_over: false };
        let state = Arc::new(Mutex::new(state));
        let round = KeeperRound {
            context: Arc::clone(context),
            caller: Arc::clone(caller),
            running: running.clone(),
            state: Arc::clone(&state),
            copied_at: None,
        };
        let (work, handle) = abortable(round.run());
        if caller.engine.is_some_and(|engine| engine.has_moves) {
            task::spawn(work);
        }
        Self { context: Arc::clone(context), running, state, task: handle }
    }

    /// Where the copy lies now, to go on from it; it is no longer kept.
    pub(super) fn take(&self) -> Option<BackupPlace> {
        lock(&self.state).place.take()
    }
}

impl Drop for BackupKeeper {
    fn drop(&mut self) {
        let mut state = lock(&self.state);
        state.is_over = true;
        // A copy that is being made is freed by whoever gets its name.
        if !state.is_copying {
            self.task.abort();
        }
        let place = state.place.take();
        drop(state);
        if let Some(place) = place.filter(|place| place.is_ordered) {
            task::spawn(free_copy(Arc::clone(&self.context), self.running.clone(), place.source.name));
        }
    }
}

/// Frees a copy that nobody will go on from. If it fails, the engines free it after a few seconds by themselves.
async fn free_copy(context: Arc<GatewayContext>, running: EndpointTarget, copy: Name) {
    let path = hollyhook_platform::free_path(&copy);
    let request = Request::delete(path).header(header::HOST, running.address.to_string()).body(Full::default());
    let Ok(request) = request else {
        return;
    };
    let is_freed = ask_endpoint(&context, &running, request, COPY_TIMEOUT).await.is_some();
    tracing::debug!(endpoint = %running.id, is_freed, "backup.freed");
}

struct KeeperRound {
    context: Arc<GatewayContext>,
    caller: Arc<CallerRequest>,
    running: EndpointTarget,
    state: Arc<Mutex<KeeperState>>,
    /// When the copy was last brought up to date, if it was made on order.
    copied_at: Option<TimePoint>,
}

impl KeeperRound {
    async fn run(mut self) {
        while !lock(&self.state).is_over {
            self.context.timer.wait(CHECK_INTERVAL).await;
            self.check().await;
        }
    }

    async fn check(&mut self) {
        let place = lock(&self.state).place.clone();
        let rule = self.context.rollouts.rule(&self.caller.service, false).unwrap_or_default();
        let chooser = EngineChooser { context: &self.context, caller: &self.caller, tried: &[], versions: &rule };
        let target =
            place.as_ref().and_then(|place| chooser.usable(place)).map(|(record, _)| EndpointTarget::from(&record));
        let target = match (target, self.copied_at) {
            // It grows with the run.
            (Some(_), None) => return,
            (Some(_), Some(at)) if self.context.timer.now().since(at) < REFRESH_INTERVAL => return,
            (Some(target), Some(_)) => Some(target),
            (None, _) => chooser.choose_backup(&self.running).await,
        };
        let Some(target) = target else {
            self.context.timer.wait(NO_ROOM_PAUSE).await;
            return;
        };
        if !self.begin_copy() {
            return;
        }
        let copy = self.copy_to(&target).await;
        tracing::info!(request = %self.caller.head.attempt_id, endpoint = %self.running.id, backup = %target.id,
            is_copied = copy.is_some(), "backup.copied");
        self.end_copy(&target, copy).await;
    }

    /// Whether the run goes on, so that a copy is of use.
    fn begin_copy(&self) -> bool {
        let mut state = lock(&self.state);
        state.is_copying = !state.is_over;
        state.is_copying
    }

    async fn end_copy(&mut self, target: &EndpointTarget, copy: Option<Name>) {
        self.copied_at = copy.as_ref().map(|_| self.context.timer.now());
        let unused = {
            let mut state = lock(&self.state);
            state.is_copying = false;
            let place = copy.clone().map(|name| BackupPlace {
                id: EndpointId::clone(&target.id),
                source: BackupSource { address: self.running.address, name },
                is_ordered: true,
            });
            if state.is_over {
                copy
            } else {
                state.place = place;
                None
            }
        };
        match unused {
            Some(name) => free_copy(Arc::clone(&self.context), self.running.clone(), name).await,
            None if self.copied_at.is_some() => self.context.board.count("backups_copied"),
            None => {}
        }
    }

    async fn copy_to(&self, target: &EndpointTarget) -> Option<Name> {
        let order = hollyhook_platform::encode_copy_order(&self.caller.head.attempt_id, target.address).ok()?;
        let request = Request::post(hollyhook_platform::copy_path())
            .header(header::HOST, self.running.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::from(order))
            .ok()?;
        let answer = ask_endpoint(&self.context, &self.running, request, COPY_TIMEOUT).await?;
        let is_done = answer.parts.status.is_success();
        if is_done { hollyhook_platform::decode_copy(&answer.body).ok() } else { None }
    }
}
