use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_std::task;
use hollyhook_core::{Name, Result};
use hollyhook_wire::{HttpServer, ServerLimits};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tide::{Request, Response, StatusCode};

use crate::fault::{FaultCommand, FaultState, cut_connection, serve};

/// How a service stand-in behaves. A builder.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceOptions {
    is_own_process: bool,
}

impl ServiceOptions {
    /// The stand-in is a process of its own, which ends when it is told to die.
    #[must_use]
    pub fn own_process(mut self) -> Self {
        self.is_own_process = true;
        self
    }
}

/// What a service stand-in has done: `GET /admin/counts`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCounts {
    /// Executions by idempotency key.
    pub by_key: BTreeMap<Name, u64>,
    /// All executions.
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
    /// Starts a service at `address`; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// `InvalidSetting` if the address can't be listened at.
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it has done.
    pub fn counts(&self) -> ServiceCounts {
        self.shared.counts().clone()
    }

    /// Lets it suffer a fault.
    pub fn inject_fault(&self, order: FaultCommand) {
        self.shared.faults.apply(order);
    }
}

async fn execute(mut request: Request<Arc<ServiceShared>>) -> tide::Result {
    let body = request.body_string().await.unwrap_or_default();
    let shared = Arc::clone(request.state());
    if shared.faults.is_out() {
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
    if shared.faults.loses_reply() {
        return Ok(cut_connection());
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
    let order: FaultCommand = request.body_json().await?;
    request.state().faults.apply(order);
    Ok(Response::new(StatusCode::Ok))
}
