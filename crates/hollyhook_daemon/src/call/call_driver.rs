use std::sync::{Arc, PoisonError};
use std::time::Duration;

use hollyhook_core::{
    AccountName, CallAction, CallEvent, CallGuard, CallOutcome, EndpointId, Error, ErrorKind, Name, Result, RouteQuery,
    TimePoint,
};
use hollyhook_settings::{PlainSettings, RequestClass};
use hollyhook_wire::HttpClient;
use http_types::{Method, Request, Response, Url};

use super::claim_service::ClaimOutcome;
use crate::fleet::HostContext;
use hollyhook_telemetry::MetricMeasure;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Minimum `Retry-After` delay of a call that was not run; a random delay of up to the same length is added.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Header fields that are not forwarded: hop-by-hop fields, fields that the HTTP client sets itself, and credentials.
const UNFORWARDED_HEADERS: [&str; 11] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "authorization",
];

/// A call to a plain service, as received from its caller.
#[derive(Debug)]
pub(crate) struct PlainCall {
    pub(crate) account: AccountName,
    pub(crate) service: Name,
    pub(crate) class: RequestClass,
    pub(crate) settings: PlainSettings,
    pub(crate) key: Option<String>,
    pub(crate) head: Request,
    pub(crate) body: Vec<u8>,
}

/// Runs one call to its final response: claims its idempotency key if needed, sends the call and retries it.
pub(crate) struct CallDriver {
    context: Arc<HostContext>,
    call: PlainCall,
    guard: CallGuard,
    deadline: TimePoint,
    response: Option<Response>,
    endpoint: Option<EndpointId>,
}

impl CallDriver {
    pub(crate) fn new(context: Arc<HostContext>, call: PlainCall) -> Self {
        let deadline = context.timer.now() + call.settings.timeout;
        let is_repeatable = call.settings.is_repeatable(call.head.method().as_ref());
        let guard = CallGuard::new(is_repeatable, deadline);
        Self { context, call, guard, deadline, response: None, endpoint: None }
    }

    pub(crate) async fn run(mut self) -> Result<Response> {
        let started_at = self.context.timer.now();
        let is_repeatable = self.call.settings.is_repeatable(self.call.head.method().as_ref());
        let outcome = match self.call.key.clone() {
            Some(key) if !is_repeatable => self.run_claimed(&key).await,
            _ => self.run_guarded().await.1,
        };
        let duration = self.context.timer.now() - started_at;
        let class = self.call.class.label();
        self.context.recorder.record(MetricMeasure::PlainCall, &self.call.account, class, &[duration]);
        outcome
    }

    async fn run_claimed(&mut self, key: &str) -> Result<Response> {
        let context = Arc::clone(&self.context);
        let request = self.fingerprint();
        let record = context.claims.new_record(&self.call.account, &self.call.service, key, &request);
        match context.claims.claim(record.clone()).await? {
            ClaimOutcome::Granted => {}
            ClaimOutcome::Answered(answer) => {
                context.recorder.count("call_replayed");
                let mut response = Response::new(answer.status);
                response.insert_header("idempotent-replayed", "true");
                response.set_body(&*answer.body);
                response.insert_header("content-type", &*answer.content_type);
                return Ok(response);
            }
            ClaimOutcome::Held(earlier) => return Err(self.pending_claim_error(earlier.made_at)),
        }
        let (outcome, mut response) = self.run_guarded().await;
        match (outcome, &mut response) {
            (CallOutcome::NotRun, _) => context.claims.release(record),
            (CallOutcome::Answered, Ok(response)) => {
                let body = response.body_bytes().await.unwrap_or_default();
                let status = response.status().into();
                let content_type = response.header("content-type").map_or("", |values| values.as_str()).to_owned();
                context.claims.store_answer(record, status, &content_type, &body);
                response.set_body(body);
                if !content_type.is_empty() {
                    response.insert_header("content-type", content_type);
                }
            }
            _ => {}
        }
        response
    }

    /// The error for a key that is claimed by an earlier call without a stored answer.
    ///
    /// The earlier call is taken to be in progress until its timeout has passed; after that its outcome is unknown.
    fn pending_claim_error(&self, made_at: u64) -> Error {
        let age = self.context.timer.unix_secs().saturating_sub(made_at);
        let max_age = self.call.settings.timeout.as_secs() + 1;
        if age <= max_age {
            let message = "a call with this idempotency key is being worked on; ask again for its answer";
            return Error::new(ErrorKind::KeyInProgress, message)
                .param("Idempotency-Key")
                .retry_after(Duration::from_secs(1));
        }
        unknown_outcome("a call with this idempotency key was taken and no answer is known")
    }

    async fn run_guarded(&mut self) -> (CallOutcome, Result<Response>) {
        self.lock_retry_budget().earn();
        let mut event = CallEvent::Started;
        loop {
            let now = self.context.timer.now();
            event = match self.guard.on(now, event) {
                Some(CallAction::Assign { avoid, is_retry }) => self.assign(&avoid, is_retry),
                Some(CallAction::Send { endpoint }) => self.send(endpoint).await,
                Some(CallAction::Finish(outcome)) => return (outcome, self.final_response(outcome)),
                None => CallEvent::DeadlinePassed,
            };
        }
    }

    fn assign(&self, avoid: &[EndpointId], is_retry: bool) -> CallEvent {
        if is_retry && !self.lock_retry_budget().try_spend() {
            self.context.recorder.count("retry_refused");
            return CallEvent::RetryRefused;
        }
        let query = RouteQuery::new(&self.call.service).avoid(avoid);
        let now = self.context.timer.now();
        let chosen = self.context.fleet.lock().choose(now, &query, &mut rand::rng());
        chosen.map_or(CallEvent::Unassigned, |endpoint| CallEvent::Assigned { endpoint })
    }

    async fn send(&mut self, endpoint: EndpointId) -> CallEvent {
        let context = Arc::clone(&self.context);
        let Some(address) = context.fleet.address(&endpoint) else {
            return CallEvent::ConnectFailed;
        };
        let Ok(request) = self.request(&format!("http://{address}")) else {
            return CallEvent::ConnectFailed;
        };
        self.endpoint = Some(EndpointId::clone(&endpoint));
        let client = HttpClient::new(CONNECT_TIMEOUT);
        context.fleet.lock().record_open(context.timer.now(), &endpoint);
        let event = match client.connect(address).await {
            Err(_) => CallEvent::ConnectFailed,
            Ok(_) if context.timer.now() >= self.deadline => CallEvent::DeadlinePassed,
            Ok(stream) => {
                self.guard.on(context.timer.now(), CallEvent::Sending);
                let timeout_left = self.deadline - context.timer.now();
                match client.exchange(stream, request, timeout_left).await {
                    Ok(response) => {
                        self.response = Some(response);
                        CallEvent::Answered
                    }
                    Err(_) if context.timer.now() >= self.deadline => CallEvent::DeadlinePassed,
                    Err(_) => CallEvent::ConnectionLost,
                }
            }
        };
        let mut table = context.fleet.lock();
        table.record_close(&endpoint);
        match event {
            CallEvent::Answered => table.record_success(&endpoint),
            _ => table.record_failure(context.timer.now(), &endpoint),
        }
        event
    }

    fn request(&self, origin: &str) -> Result<Request> {
        let head = &self.call.head;
        let invalid_request = |error: &dyn std::fmt::Display| Error::new(ErrorKind::InvalidRequest, error.to_string());
        let mut url = Url::parse(origin).map_err(|error| invalid_request(&error))?;
        url.set_path(head.url().path());
        url.set_query(head.url().query());
        let mut request = Request::new(head.method(), url);
        for (name, values) in head {
            if !UNFORWARDED_HEADERS.contains(&name.as_str()) {
                request.insert_header(name, values);
            }
        }
        request.insert_header("x-client-account", &*self.call.account);
        if !self.call.body.is_empty() || !matches!(head.method(), Method::Get | Method::Head) {
            request.set_body(self.call.body.clone());
            if let Some(content_type) = head.header("content-type") {
                request.insert_header("content-type", content_type);
            }
        }
        Ok(request)
    }

    fn fingerprint(&self) -> Vec<u8> {
        let head = &self.call.head;
        let mut bytes = format!("{} {}?{}\n", head.method(), head.url().path(), head.url().query().unwrap_or_default());
        bytes.push('\n');
        let mut bytes = bytes.into_bytes();
        bytes.extend_from_slice(&self.call.body);
        bytes
    }

    fn final_response(&mut self, outcome: CallOutcome) -> Result<Response> {
        let recorder = &self.context.recorder;
        match (outcome, self.response.take()) {
            (CallOutcome::Answered, Some(answer)) => {
                recorder.count("call_answered");
                Ok(strip_unforwarded_headers(answer))
            }
            (CallOutcome::NotRun, _) => {
                recorder.count("call_not_run");
                let message = format!("the call was not run: no endpoint of `{}` takes calls now", self.call.service);
                let retry_after = RETRY_AFTER + RETRY_AFTER.mul_f64(rand::random());
                Err(Error::new(ErrorKind::NotRun, message).retry_after(retry_after))
            }
            _ => {
                recorder.count("call_unknown");
                Err(unknown_outcome("the call was sent and no answer came"))
            }
        }
    }

    fn lock_retry_budget(&self) -> std::sync::MutexGuard<'_, hollyhook_core::RetryBudget> {
        self.context.retry_budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn unknown_outcome(reason: &str) -> Error {
    Error::new(ErrorKind::OutcomeUnknown, format!("{reason}: it may or may not have run, and is not sent again"))
}

/// Removes the header fields that are not forwarded to the caller.
fn strip_unforwarded_headers(mut response: Response) -> Response {
    for name in UNFORWARDED_HEADERS {
        response.remove_header(name);
    }
    response
}
