use std::time::Duration;

use bytes::Bytes;
use http::{Request, header};
use http_body_util::{BodyExt, Full, Limited};

use super::{EndpointConnector, EndpointTarget};
use crate::pool::PooledConnection;

/// Time limit for the answer to a question on an open connection. A live endpoint answers within milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum size of an answer, the largest of which is an engine's report.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// A question to an endpoint whose answer shows that a connection to it carries bytes.
///
/// An engine is asked for its report, which needs no slot. Other endpoints get a request without an attempt id, which they
/// reject without running it.
pub(super) struct PathQuestion<'a> {
    connector: &'a EndpointConnector,
    target: &'a EndpointTarget,
    /// Whether the endpoint is asked for its report.
    is_report: bool,
}

impl<'a> PathQuestion<'a> {
    pub(super) fn new(connector: &'a EndpointConnector, target: &'a EndpointTarget) -> Self {
        Self { connector, target, is_report: connector.endpoints.has_engines(&target.group.service) }
    }

    /// Whether the endpoint may be asked several times.
    ///
    /// One that is no engine has to reject each question, so that it is asked again only if the path to engines of its
    /// zone is lost already.
    pub(super) fn is_repeatable(&self) -> bool {
        let zone = &self.target.group.zone;
        self.is_report || self.connector.paths.lost_groups().iter().any(|lost| lost.zone == *zone)
    }

    /// Asks on a connection, which is returned once the endpoint has answered; `None` if the connection breaks.
    pub(super) async fn ask(&self, mut connection: PooledConnection) -> Option<PooledConnection> {
        let response = connection.send(self.request()?).await.ok()?;
        Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await.ok()?;
        Some(connection)
    }

    /// Asks on a connection; `None` also if no answer comes within [`ANSWER_TIMEOUT`].
    pub(super) async fn ask_in_time(&self, connection: PooledConnection) -> Option<PooledConnection> {
        self.connector.timer.within(ANSWER_TIMEOUT, self.ask(connection)).await?
    }

    /// Keeps a connection on which the endpoint has answered for the next request, or closes it.
    ///
    /// A second answer to the question may arrive late, and the request that is sent then fails. New connections to
    /// engines are dear, so that theirs are kept all the same; the connection to another endpoint is closed.
    pub(super) fn finish(&self, answered: PooledConnection) {
        if self.is_report {
            self.connector.keep(self.target, answered);
        }
    }

    fn request(&self) -> Option<Request<Full<Bytes>>> {
        let path = if self.is_report { hollyhook_platform::report_path() } else { "/" };
        Request::get(path).header(header::HOST, self.target.address.to_string()).body(Full::default()).ok()
    }
}
