use std::sync::Arc;

use async_std::task;
use hollyhook_core::{Error, ErrorKind, Name, Result};
use hollyhook_settings::ServiceKind;
use hollyhook_wire::read_body;
use tide::{Request, Response};

use super::FrontState;
use super::generate::read_key;
use super::routes::API_PATHS;
use crate::call::{CallDriver, PlainCall};

/// Answers a call to a plain service, or one that leads nowhere.
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
    let key = read_key(&request)?;
    let call = PlainCall {
        account: Name::clone(&account.name),
        service: Name::clone(&service.name),
        class: service.class,
        settings: settings.clone(),
        key,
        head: request.into(),
        body,
    };
    // A call that was sent is seen to its end, and its answer kept for a repeat, also when the caller hangs up.
    let response = task::spawn(CallDriver::new(context, call).run()).await?;
    Ok(response.into())
}
