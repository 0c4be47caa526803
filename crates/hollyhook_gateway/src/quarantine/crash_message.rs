use std::time::Duration;

use hollyhook_core::{CrashRecords, HostRecord, SpreadScope};
use hollyhook_kernel::TimerService;
use http::StatusCode;

use crate::net::{ExchangeError, PersistentClient};

/// The path below which a host takes crash records, followed by the name of the scope.
const CRASHES_PATH: &str = "/crashes/";
/// Maximum size of a message: 128 records of some dozens of crashes.
pub(super) const MAX_BODY_BYTES: usize = 512 << 10;
/// Time limit for a message, after which another host is tried.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(300);

const SCOPES: [(SpreadScope, &str); 3] =
    [(SpreadScope::Site, "site"), (SpreadScope::Zone, "zone"), (SpreadScope::Host, "host")];

/// The scope of a message that is sent to a path; `None` if the path is not one for crash records.
pub(super) fn scope_of(path: &str) -> Option<SpreadScope> {
    let name = path.strip_prefix(CRASHES_PATH)?;
    SCOPES.iter().find(|(_, known)| *known == name).map(|(scope, _)| *scope)
}

fn name_of(scope: SpreadScope) -> &'static str {
    SCOPES.iter().find(|(known, _)| *known == scope).map_or("host", |(_, name)| name)
}

/// Sends crash records to another host.
///
/// # Errors
///
/// If the records can't be encoded, the exchange fails or takes too long, or the host refuses the message.
pub(super) async fn post_crashes(
    timer: &TimerService,
    host: &HostRecord,
    scope: SpreadScope,
    records: &CrashRecords,
) -> Result<(), ExchangeError> {
    let body = hollyhook_platform::encode_crash_message(records)
        .map_err(|_error| ExchangeError("the records can't be encoded"))?;
    let path = format!("{CRASHES_PATH}{}", name_of(scope));
    let response = PersistentClient::new(timer.clone()).post(host.address, &path, body, MESSAGE_TIMEOUT).await?;
    if response.status() != StatusCode::NO_CONTENT {
        return Err(ExchangeError("the host takes no records from this one"));
    }
    Ok(())
}
