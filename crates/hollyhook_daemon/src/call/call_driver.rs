use std::sync::{Arc, PoisonError};
use std::time::Duration;

use hollyhook_core::{
    AccountName, CallAction, CallEvent, CallGuard, CallOutcome, EndpointId, Error, ErrorKind, Name, Result, RouteQuery,
    TimePoint,
};
use hollyhook_settings::{PlainSettings, RequestClass};
use hollyhook_wire::HttpClient;
use http_types::{Method, Request, Response, Url};

use super::claim_service::ClaimGrant;
use crate::fleet::HostContext;
use hollyhook_telemetry::MetricMeasure;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// When a refused caller may come back, before a spread of as much again.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Fields that are about one connection, or that the client writes itself.
const HOP_FIELDS: [&str; 11] = [
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

/// A call to a plain service, as it came.
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

/// Runs one call to its final answer.
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
        let start = self.context.timer.now();
        let is_repeatable = self.call.settings.is_repeatable(self.call.head.method().as_ref());
        let outcome = match self.call.key.clone() {
            Some(key) if !is_repeatable => self.run_claimed(&key).await,
            _ => self.run_guarded().await.1,
        };
        let span = self.context.timer.now() - start;
        let class = self.call.class.label();
        self.context.recorder.record(MetricMeasure::PlainCall, &self.call.account, class, &[span]);
        outcome
    }

    async fn run_claimed(&mut self, key: &str) -> Result<Response> {
        let context = Arc::clone(&self.context);
        let request = self.fingerprint();
        let record = context.claims.record(&self.call.account, &self.call.service, key, &request);
        match context.claims.claim(record.clone()).await? {
            ClaimGrant::Granted => {}
            ClaimGrant::Answered(answer) => {
                context.recorder.count("call_replayed");
                let mut response = Response::new(answer.status);
                response.insert_header("idempotent-replayed", "true");
                response.set_body(&*answer.body);
                response.insert_header("content-type", &*answer.content_type);
                return Ok(response);
            }
            ClaimGrant::Held(held) => return Err(self.held_error(held.made_at)),
        }
        let (outcome, mut response) = self.run_guarded().await;
        match (outcome, &mut response) {
            (CallOutcome::NotRun, _) => context.claims.release(record),
            (CallOutcome::Answered, Ok(response)) => {
                let body = response.body_bytes().await.unwrap_or_default();
                let status = response.status().into();
                let content_type = response.header("content-type").map_or("", |values| values.as_str()).to_owned();
                context.claims.answer(record, status, &content_type, &body);
                response.set_body(body);
                if !content_type.is_empty() {
                    response.insert_header("content-type", content_type);
                }
            }
            _ => {}
        }
        response
    }

    /// A claim without an answer is in progress until the call's time is over, and unknown after that.
    fn held_error(&self, made_at: u64) -> Error {
        let age = self.context.timer.unix_secs().saturating_sub(made_at);
        let limit = self.call.settings.timeout.as_secs() + 1;
        if age <= limit {
            let message = "a call with this idempotency key is being worked on; ask again for its answer";
            return Error::new(ErrorKind::KeyInProgress, message)
                .param("Idempotency-Key")
                .retry_after(Duration::from_secs(1));
        }
        unknown("a call with this idempotency key was taken and no answer is known")
    }

    async fn run_guarded(&mut self) -> (CallOutcome, Result<Response>) {
        self.lock_retries().earn();
        let mut event = CallEvent::Started;
        loop {
            let now = self.context.timer.now();
            event = match self.guard.on(now, event) {
                Some(CallAction::Assign { avoid, is_retry }) => self.assign(&avoid, is_retry),
                Some(CallAction::Send { endpoint }) => self.send(endpoint).await,
                Some(CallAction::Finish(outcome)) => return (outcome, self.conclude(outcome)),
                None => CallEvent::DeadlinePassed,
            };
        }
    }

    fn assign(&self, avoid: &[EndpointId], is_retry: bool) -> CallEvent {
        if is_retry && !self.lock_retries().try_spend() {
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
                let limit = self.deadline - context.timer.now();
                match client.exchange(stream, request, limit).await {
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
        let wrong = |error: &dyn std::fmt::Display| Error::new(ErrorKind::InvalidRequest, error.to_string());
        let mut url = Url::parse(origin).map_err(|error| wrong(&error))?;
        url.set_path(head.url().path());
        url.set_query(head.url().query());
        let mut request = Request::new(head.method(), url);
        for (name, values) in head {
            if !HOP_FIELDS.contains(&name.as_str()) {
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

    fn conclude(&mut self, outcome: CallOutcome) -> Result<Response> {
        let recorder = &self.context.recorder;
        match (outcome, self.response.take()) {
            (CallOutcome::Answered, Some(answer)) => {
                recorder.count("call_answered");
                Ok(clean(answer))
            }
            (CallOutcome::NotRun, _) => {
                recorder.count("call_not_run");
                let message = format!("the call was not run: no endpoint of `{}` takes calls now", self.call.service);
                let span = RETRY_AFTER + RETRY_AFTER.mul_f64(rand::random());
                Err(Error::new(ErrorKind::NotRun, message).retry_after(span))
            }
            _ => {
                recorder.count("call_unknown");
                Err(unknown("the call was sent and no answer came"))
            }
        }
    }

    fn lock_retries(&self) -> std::sync::MutexGuard<'_, hollyhook_core::RetryBudget> {
        self.context.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn unknown(what: &str) -> Error {
    Error::new(ErrorKind::OutcomeUnknown, format!("{what}: it may or may not have run, and is not sent again"))
}

/// The answer without the fields of the endpoint's connection.
fn clean(mut response: Response) -> Response {
    for name in HOP_FIELDS {
        response.remove_header(name);
    }
    response
}
