use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_std::task;
use hollyhook_core::{Name, Result};
use hollyhook_wire::{HttpServer, ServerLimits};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tide::{Request, Response, StatusCode};

use crate::fault::{FaultOrder, FaultState, cut_response, serve};

/// Options of a service stand-in, set with chained methods.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceOptions {
    is_own_process: bool,
}

impl ServiceOptions {
    /// Declares that the stand-in has its process to itself: [`FaultKind::Die`](crate::FaultKind::Die) exits the process.
    #[must_use]
    pub fn own_process(mut self) -> Self {
        self.is_own_process = true;
        self
    }
}

/// Executions of a service stand-in; the body of the answer to `GET /admin/counts`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCounts {
    /// Executions by idempotency key; those without a key are left out.
    pub by_key: BTreeMap<Name, u64>,
    /// All executions, with and without a key.
    pub executions: u64,
}

/// A running service stand-in.
#[derive(Debug, Clone)]
pub struct ServiceStandIn {
    address: SocketAddr,
    shared: Arc<ServiceShared>,
}

#[derive(Debug)]
struct ServiceShared {
    counts: Mutex<ServiceCounts>,
    faults: Arc<FaultState>,
}

impl ServiceShared {
    fn counts(&self) -> MutexGuard<'_, ServiceCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ServiceStandIn {
    /// Starts the stand-in and listens on `address`; with port 0 the system picks a free port.
    ///
    /// # Errors
    ///
    /// `InvalidSetting` if the stand-in can't listen on `address`.
    pub fn start(address: SocketAddr, options: ServiceOptions) -> Result<Self> {
        let server = HttpServer::bind(address, ServerLimits::default())?;
        let faults = Arc::new(FaultState::new(server.gate(), options.is_own_process));
        let address = server.address();
        let shared = Arc::new(ServiceShared { counts: Mutex::default(), faults: Arc::clone(&faults) });
        let mut app = tide::with_state(Arc::clone(&shared));
        app.at("/admin/counts").get(counts);
        app.at("/admin/fault").post(fault);
        app.at("/").all(execute);
        app.at("/*").all(execute);
        task::spawn(serve(server, app, faults));
        Ok(Self { address, shared })
    }

    /// The address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The executions so far.
    pub fn counts(&self) -> ServiceCounts {
        self.shared.counts().clone()
    }

    /// Injects a fault, as `POST /admin/fault` does.
    pub fn inject_fault(&self, order: FaultOrder) {
        self.shared.faults.apply(order);
    }
}

async fn execute(mut request: Request<Arc<ServiceShared>>) -> tide::Result {
    let body = request.body_string().await.unwrap_or_default();
    let shared = Arc::clone(request.state());
    if shared.faults.has_outage() {
        return Ok(Response::new(StatusCode::ServiceUnavailable));
    }
    let key = request.header("idempotency-key").map(|values| Name::from(values.as_str()));
    let execution = {
        let mut counts = shared.counts();
        counts.executions += 1;
        if let Some(key) = key {
            *counts.by_key.entry(key).or_default() += 1;
        }
        counts.executions
    };
    if shared.faults.take_lost_reply() {
        return Ok(cut_response());
    }
    let method = request.method().to_string();
    let answer = json!({"execution": execution, "method": method, "path": request.url().path(), "body": body});
    Ok(Response::builder(StatusCode::Ok).body(tide::Body::from_json(&answer)?).build())
}

async fn counts(request: Request<Arc<ServiceShared>>) -> tide::Result {
    let counts = request.state().counts().clone();
    Ok(Response::builder(StatusCode::Ok).body(tide::Body::from_json(&counts)?).build())
}

async fn fault(mut request: Request<Arc<ServiceShared>>) -> tide::Result {
    let order: FaultOrder = request.body_json().await?;
    request.state().faults.apply(order);
    Ok(Response::new(StatusCode::Ok))
}
