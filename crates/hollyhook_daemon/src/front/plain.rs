use std::sync::Arc;

use async_std::task;
use hollyhook_core::{Error, ErrorKind, Name, Result};
use hollyhook_settings::ServiceKind;
use hollyhook_wire::read_body;
use tide::{Request, Response};

use super::FrontState;
use super::generate::read_idempotency_key;
use super::routes::API_PATHS;
use crate::call::{CallDriver, PlainCall};

/// Handles a call to a plain service; refuses unknown paths, and wrong methods on paths of the API.
pub(super) async fn handle(mut request: Request<FrontState>) -> Result<Response> {
    let state = request.state().clone();
    let context = Arc::clone(&state.context);
    let path = request.url().path().to_owned();
    if API_PATHS.contains(&path.as_str()) {
        let message = format!("`{path}` does not take {}", request.method());
        return Err(Error::new(ErrorKind::WrongMethod, message));
    }
    let account = state.account(&request)?;
    let Some(service) = context.site.service_of_path(&path) else {
        return Err(Error::new(ErrorKind::UnknownPath, format!("nothing is served under `{path}`")));
    };
    let ServiceKind::Plain(settings) = &service.kind else {
        return Err(Error::new(ErrorKind::Internal, "a path leads to a service of engines"));
    };
    let body = read_body(request.take_body(), context.site.limits.body).await?;
    let key = read_idempotency_key(&request)?;
    let call = PlainCall {
        account: Name::clone(&account.name),
        service: Name::clone(&service.name),
        class: service.class,
        settings: settings.clone(),
        key,
        head: request.into(),
        body,
    };
    // The call runs in a task of its own: even if the caller disconnects, the call completes and its answer can be
    // stored for a repeat.
    let response = task::spawn(CallDriver::new(context, call).run()).await?;
    Ok(response.into())
}
