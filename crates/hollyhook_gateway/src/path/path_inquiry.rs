use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use futures::future::{Either, select};
use futures::stream::{FuturesUnordered, StreamExt};
use hollyhook_core::{HostRecord, Name};

use super::connect_error::RemoteFinding;
use super::connect_race::ConnectRace;
use super::path_question::PathQuestion;
use super::{EndpointConnector, EndpointTarget};
use crate::pool::PooledConnection;

/// How long a direct question may take before other hosts put it too.
const HEAD_START: Duration = Duration::from_millis(50);
/// How long the direct answer may come after the one through another host. An endpoint that goes on after a pause answers
/// all questions at the same time.
const GRACE_TIME: Duration = Duration::from_millis(50);
/// Number of other hosts through which a question is put. The path of the first may be mute too.
const ASKED_HOSTS: usize = 2;
/// Number of times that an endpoint is asked that answers nobody. The hosts that were asked may not know yet that their
/// own paths are mute.
const ROUNDS: usize = 4;
/// Time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// The host through which an endpoint answered, and the connection; `None` if it did not answer in time.
type RemoteAnswer = Option<(Name, PooledConnection)>;

/// Finds out whether the path to a silent endpoint is lost: whether no connection opens, or only questions through other
/// hosts are answered.
pub(super) struct PathInquiry<'a> {
    connector: &'a Arc<EndpointConnector>,
    target: &'a EndpointTarget,
    question: PathQuestion<'a>,
}

impl<'a> PathInquiry<'a> {
    pub(super) fn new(connector: &'a Arc<EndpointConnector>, target: &'a EndpointTarget) -> Self {
        Self { connector, target, question: PathQuestion::new(connector, target) }
    }

    /// Asks until the endpoint has answered directly or through another host, or something of its group has been heard.
    pub(super) async fn run(&self) {
        for round in 0..ROUNDS {
            if round > 0 {
                self.connector.timer.wait(ROUND_INTERVAL).await;
                if !self.connector.may_check(self.target, ROUND_INTERVAL) {
                    return;
                }
            }
            let Ok(connection) = ConnectRace::new(self.connector, self.target).run().await else {
                return;
            };
            if connection.is_tunnel() {
                return self.connector.keep(self.target, connection);
            }
            if self.ask(connection).await || !self.question.is_repeatable() {
                return;
            }
        }
    }

    /// Asks on a direct connection even if the endpoint was just found to answer only through another host.
    pub(super) async fn run_directly(&self) {
        if let Ok(connection) = self.connector.connect_directly(self.target).await {
            self.ask(connection).await;
        }
    }

    /// Asks on a new direct connection, and through other hosts if no answer comes at once; returns whether the endpoint
    /// answered at all, or broke the connection.
    async fn ask(&self, connection: PooledConnection) -> bool {
        let timer = &self.connector.timer;
        let mut direct = pin!(self.question.ask(connection));
        if let Some(answered) = timer.within(HEAD_START, direct.as_mut()).await {
            self.record_direct(answered);
            return true;
        }
        let elsewhere = pin!(self.ask_elsewhere());
        match select(direct, elsewhere).await {
            Either::Left((answered, _)) => self.record_direct(answered),
            Either::Right((Some((host, tunnel)), direct)) => {
                if let Some(answered) = timer.within(GRACE_TIME, direct).await {
                    self.record_direct(answered);
                } else {
                    self.connector.record_muted(self.target, &host);
                    self.question.finish(tunnel);
                }
            }
            Either::Right((None, _)) => return false,
        }
        true
    }

    /// Kept connections that were silent while a new one works may be dead.
    fn record_direct(&self, answered: Option<PooledConnection>) {
        if let Some(connection) = answered {
            self.connector.close_idle_direct(&self.target.group);
            self.connector.record_answered(self.target);
            self.question.finish(connection);
        }
    }

    /// The first answer through another host. A host that opens no tunnel is replaced by another one.
    async fn ask_elsewhere(&self) -> RemoteAnswer {
        let _speculation = self.connector.paths.begin_speculation()?;
        let mut asked: Vec<Name> = Vec::new();
        let mut questions = FuturesUnordered::new();
        let mut tunnels_left = ASKED_HOSTS;
        loop {
            while tunnels_left > 0
                && let Some(host) = self.connector.choose_host(&asked)
            {
                tunnels_left -= 1;
                asked.push(Name::clone(&host.host));
                questions.push(self.ask_through(host));
            }
            match questions.next().await? {
                Ok(None) => {}
                Ok(answer) => return answer,
                Err(_) => tunnels_left += 1,
            }
        }
    }

    async fn ask_through(&self, host: HostRecord) -> Result<RemoteAnswer, RemoteFinding> {
        let connection = self.connector.connect_through(&host, self.target).await?;
        let answered = self.question.ask_in_time(connection).await;
        Ok(answered.map(|connection| (host.host, connection)))
    }
}
