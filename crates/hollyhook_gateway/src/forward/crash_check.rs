use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use hollyhook_core::{AttemptFailure, Error, ErrorKind, Name, StopReason};
use http::{Request, header};
use http_body_util::Full;

use super::request_log;
use crate::front::CallerRequest;
use crate::gateway::{GatewayContext, SurvivingRun};
use crate::path::{EndpointTarget, RemoteFinding};
use crate::pool::{PooledConnection, SendError};
use crate::store::QuarantineWriter;

/// Time limit for an endpoint to refuse a connection or to break it. The machine of a crashed process refuses within
/// one round trip, and so does a proxy that accepts connections in its place.
const CHECK_TIMEOUT: Duration = Duration::from_millis(60);
/// Delay between the two tests that an endpoint must fail to count as crashed: live endpoints reset some connections.
/// When hosts lose their links, one that is asked still reaches some endpoints for some milliseconds, and takes the others
/// for crashed.
const RECHECK_DELAY: Duration = Duration::from_millis(20);
/// How long a connection to a plain service instance must stay open to show that the process lives.
const HOLD_TIME: Duration = Duration::from_millis(10);

/// How often a request that waits for the verdict on a part of its prompt checks whether there is one.
const VERDICT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How long a stream must have had events for the check of its lost engine not to delay its next attempt.
const BACKGROUND_RUN_TIME: Duration = Duration::from_secs(1);

/// An attempt whose connection was lost.
#[derive(Debug, Clone, Copy)]
pub(super) struct LostRun {
    pub(super) failure: AttemptFailure,
    /// For how long the stream had had events, over all attempts of this client attempt.
    pub(super) run_time: Duration,
}

impl LostRun {
    /// An attempt that was lost before it had sent an event.
    pub(super) fn before_events(failure: AttemptFailure) -> Self {
        Self { failure, run_time: Duration::ZERO }
    }
}

/// Records a crash against a request if the endpoint that ran it has crashed, and waits until it is decided whether the
/// request may be sent again.
///
/// A stream that has had events for [`BACKGROUND_RUN_TIME`] does not wait for the check: its caller would notice the
/// pause, and most such streams are lost beside the cause of a crash.
pub(super) async fn check_crash(
    context: &Arc<GatewayContext>,
    caller: &Arc<CallerRequest>,
    target: &EndpointTarget,
    lost: LostRun,
) {
    if lost.run_time >= BACKGROUND_RUN_TIME {
        let (context, caller, target) = (Arc::clone(context), Arc::clone(caller), target.clone());
        task::spawn(async move { record_if_crashed(&context, &caller, &target, lost).await });
    } else {
        record_if_crashed(context, caller, target, lost).await;
    }
    await_verdict(context, caller).await;
}

/// Records a crash against a request if the endpoint that ran it has crashed.
///
/// A broken connection alone proves little: live endpoints and network links reset some. An endpoint whose process has
/// ended refuses the next connections or breaks each of them. If neither is seen, a lost attempt (`Broken`, `Garbled`,
/// `Silent`) is remembered for a while, and counts as a crash if the endpoint turns out to have restarted or its
/// entry in the store is removed.
async fn record_if_crashed(
    context: &Arc<GatewayContext>,
    caller: &CallerRequest,
    target: &EndpointTarget,
    lost: LostRun,
) {
    let LostRun { failure, run_time } = lost;
    let is_cut_off = matches!(failure, AttemptFailure::Broken | AttemptFailure::Garbled);
    let has_crashed = is_cut_off && has_crashed(context, caller, target).await;
    if !has_crashed && (is_cut_off || failure == AttemptFailure::Silent) {
        context.quarantine.record_unanswered(caller.suspect(), &target.id, run_time);
    }
    if has_crashed {
        context.recorder.count("endpoint_crashes");
        request_log::crashed(context, caller, &target.id, run_time);
        context.quarantine.record_crash(caller.suspect(), &target.id, run_time);
        QuarantineWriter::spawn_if_needed(context);
    }
}

/// Records that an endpoint ran a request to its end.
pub(super) fn record_survival(context: &Arc<GatewayContext>, caller: &CallerRequest) {
    context.quarantine.record_survival(|| caller.suspect());
    QuarantineWriter::spawn_if_needed(context);
}

/// Records that an attempt has sent events for `seconds`, and counts it as running for so long until the guard in `run`
/// is dropped. There is no guard if its prompt has no part that other requests may share.
pub(super) fn record_running(
    context: &Arc<GatewayContext>,
    caller: &CallerRequest,
    run: &mut Option<SurvivingRun>,
    seconds: u64,
) {
    match run {
        Some(run) => run.extend(seconds),
        None if caller.head.shared_parts.is_empty() => {}
        None => *run = Some(context.quarantine.begin_run(&caller.head.shared_parts, seconds)),
    }
    context.quarantine.record_long_run(|| caller.suspect(), seconds);
    QuarantineWriter::spawn_if_needed(context);
}

/// Records that no further attempt is made for a request.
pub(super) fn record_given_up(context: &Arc<GatewayContext>, caller: &CallerRequest) {
    context.quarantine.record_given_up(|| caller.digest());
    QuarantineWriter::spawn_if_needed(context);
}

/// Waits until it is decided whether a part of the request's prompt crashes endpoints.
///
/// Most parts are cleared within milliseconds, by requests that run well with them.
pub(super) async fn await_verdict(context: &GatewayContext, caller: &CallerRequest) {
    while let Some(left) = context.quarantine.verdict_due(&caller.head.shared_parts) {
        let time_left = caller.time_left(context.timer.now());
        if time_left.is_zero() {
            return;
        }
        context.timer.wait(left.min(VERDICT_CHECK_INTERVAL).min(time_left)).await;
    }
}

/// Returns the error for a quarantined request: one that crashed endpoints, at this host or at others.
///
/// Each crash also ends the requests of other callers that run at the endpoint, so that a further attempt would harm
/// them too.
pub(super) fn quarantine_error(context: &GatewayContext, caller: &CallerRequest) -> Option<Error> {
    let left = context.quarantine.refusal(|| caller.suspect())?;
    let error = Error::new(ErrorKind::Quarantined, StopReason::Quarantined.as_str());
    Some(error.retry_after(left))
}

/// Whether an endpoint has crashed, as far as this host can tell now.
///
/// A host that loses its links sees the same as one whose endpoint crashes, and so do others that lose theirs with it. So
/// the endpoint must be gone for this host while a sibling is not, and also for another host that reaches a sibling.
async fn has_crashed(context: &Arc<GatewayContext>, caller: &CallerRequest, target: &EndpointTarget) -> bool {
    let check = CrashCheck::new(context, caller, target);
    let mut asked = Vec::new();
    if context.paths.is_lost(&target.group) {
        return check.is_gone_elsewhere(&mut asked).await == Some(true)
            && check.is_gone_elsewhere(&mut asked).await == Some(true);
    }
    if !check.is_gone().await {
        return false;
    }
    context.timer.wait(RECHECK_DELAY).await;
    // The path is tested between two tests of the endpoint: if it is lost or comes back meanwhile, one of them shows it.
    if !(check.has_path().await && check.is_gone().await) {
        return false;
    }
    check.is_gone_elsewhere(&mut asked).await.unwrap_or_else(|| check.is_only_host())
}

/// How a new connection is tested.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProbeKind {
    /// An engine is asked for its report, which needs no slot there.
    Report,
    /// A plain service instance, which can't be probed without a slot, must keep the connection open for [`HOLD_TIME`].
    Hold,
}

/// The tests that tell a crashed endpoint from a lost path.
struct CrashCheck<'a> {
    context: &'a Arc<GatewayContext>,
    target: &'a EndpointTarget,
    kind: ProbeKind,
    /// Other endpoints, by which a path is tested.
    siblings: Vec<EndpointTarget>,
}

impl<'a> CrashCheck<'a> {
    fn new(context: &'a Arc<GatewayContext>, caller: &CallerRequest, target: &'a EndpointTarget) -> Self {
        let kind = if caller.engine.is_some() { ProbeKind::Report } else { ProbeKind::Hold };
        Self { context, target, kind, siblings: context.connector.siblings(target) }
    }

    /// Whether new connections to the endpoint, through another host too, are refused or broken.
    async fn is_gone(&self) -> bool {
        match self.context.timer.within(CHECK_TIMEOUT, self.context.connector.connect(self.target)).await {
            Some(Ok(connection)) => self.breaks(self.target, connection).await == Some(true),
            Some(Err(error)) => error.is_refused(),
            None => false,
        }
    }

    /// Whether no other host is known that could give a second opinion, now or later.
    fn is_only_host(&self) -> bool {
        !self.context.paths.has_other_hosts()
    }

    /// Whether this host reaches a sibling itself. Also true if there is none, or if this host is the only one.
    async fn has_path(&self) -> bool {
        let connector = &self.context.connector;
        let is_reached = |sibling| async move {
            match self.context.timer.within(CHECK_TIMEOUT, connector.connect_directly(sibling)).await {
                Some(Ok(connection)) => self.breaks(sibling, connection).await == Some(false),
                Some(Err(_)) | None => false,
            }
        };
        self.any_sibling(is_reached).await || self.is_only_host()
    }

    /// Whether the endpoint is gone for another host that is not in `asked` and that reaches a sibling; `None` if no
    /// other host can be asked now. False if the host does not tell.
    async fn is_gone_elsewhere(&self, asked: &mut Vec<Name>) -> Option<bool> {
        let host = &self.context.connector.choose_host(asked)?;
        asked.push(Name::clone(&host.host));
        let is_gone = match self.context.connector.connect_through(host, self.target).await {
            Ok(connection) => self.breaks(self.target, connection).await == Some(true),
            // Only a host that reaches a sibling says so.
            Err(finding) => return Some(finding == RemoteFinding::Unreachable),
        };
        let is_reached = |sibling| async move {
            match self.context.connector.connect_through(host, sibling).await {
                Ok(connection) => self.breaks(sibling, connection).await == Some(false),
                Err(_) => false,
            }
        };
        Some(is_gone && self.any_sibling(is_reached).await)
    }

    /// Whether a test succeeds with any of the siblings; true if there are none.
    ///
    /// One after the other: most often the first one serves, and each test takes a new connection.
    async fn any_sibling<'s, F: Future<Output = bool>>(&'s self, test: impl Fn(&'s EndpointTarget) -> F) -> bool {
        for sibling in &self.siblings {
            if test(sibling).await {
                return true;
            }
        }
        self.siblings.is_empty()
    }

    /// Whether a new connection breaks when it is tested; `None` if the endpoint neither answers nor breaks it.
    async fn breaks(&self, target: &EndpointTarget, mut connection: PooledConnection) -> Option<bool> {
        let timer = &self.context.timer;
        if self.kind == ProbeKind::Hold {
            timer.wait(HOLD_TIME).await;
            return Some(!connection.is_ready());
        }
        let request = Request::get(hollyhook_platform::report_path()).header(header::HOST, target.address.to_string());
        let request = request.body(Full::default()).ok()?;
        let sent = timer.within(CHECK_TIMEOUT, connection.send(request)).await?;
        Some(matches!(sent, Err(SendError::Broken | SendError::Unsent(_))))
    }
}
