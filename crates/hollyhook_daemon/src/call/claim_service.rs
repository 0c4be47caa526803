use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_std::task;
use hollyhook_core::{
    ClaimAction, ClaimAnswer, ClaimCommand, ClaimEvent, ClaimLedger, ClaimPolicy, ClaimRecord, ClaimRefusal,
    ClaimShard, ClaimVerdict, Error, ErrorKind, Name, Result, TimePoint,
};
use hollyhook_kernel::TimerService;
use hollyhook_wire::{ObjectVersion, PlatformClient, PlatformError, WriteCondition};
use sha2::{Digest, Sha256};

use hollyhook_telemetry::MetricRecorder;

/// The kind of the platform's objects that hold claims.
const KIND: &str = "claims";
/// Objects that the keys are spread over; each takes one write at a time from each host.
const SHARDS: u8 = 16;
/// Orders that may wait for a shard.
const QUEUE: usize = 1_024;
/// The largest answer that is kept.
const MAX_ANSWER: usize = 256;
/// When to come back while the platform is down, before a spread of as much again.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// What a claim led to.
#[derive(Debug)]
pub(crate) enum ClaimGrant {
    /// The call is this host's to send.
    Granted,
    /// The call was answered before.
    Answered(ClaimAnswer),
    /// The call was taken by someone and not answered so far.
    Held(ClaimRecord),
}

#[derive(Debug)]
struct ShardOrder {
    order: ClaimCommand,
    reply: Option<Sender<Result<ClaimGrant>>>,
}

/// Claims idempotency keys in the platform, so that a key is recognised on every host.
///
/// Each shard of keys is one object. A host writes a shard once at a time, with all claims that came meanwhile in the
/// one write (group commit), on the condition that nobody else has written it since.
#[derive(Debug)]
pub(crate) struct ClaimService {
    shards: Vec<Sender<ShardOrder>>,
    timer: TimerService,
}

impl ClaimService {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "claims";

    /// Starts one worker a shard; without a platform every claim is refused.
    pub(crate) fn start(
        platform: Option<&PlatformClient>,
        recorder: &Arc<MetricRecorder>,
        timer: &TimerService,
        key_age: Duration,
    ) -> Self {
        let shards = (0..SHARDS).map(|shard| {
            let (sender, orders) = async_channel::bounded(QUEUE);
            let worker = ShardWorker {
                platform: platform.cloned(),
                recorder: Arc::clone(recorder),
                timer: timer.clone(),
                name: format!("shard-{shard:02}"),
                shard: ClaimShard::new(ClaimPolicy { key_age, ..ClaimPolicy::default() }),
                replies: BTreeMap::new(),
                wake_at: None,
            };
            task::spawn(worker.run(orders));
            sender
        });
        Self { shards: shards.collect(), timer: timer.clone() }
    }

    /// Claims a key for a call.
    ///
    /// # Errors
    ///
    /// `KeyReused` if the key came with another request; `PlatformDown` or `Overloaded` if the claim could not be
    /// made, with when to come back. In each case this host has not sent the call.
    pub(crate) async fn claim(&self, record: ClaimRecord) -> Result<ClaimGrant> {
        let (sender, reply) = async_channel::bounded(1);
        let shard = self.shard(&record);
        let order = ShardOrder { order: ClaimCommand::Claim(record), reply: Some(sender) };
        shard.try_send(order).map_err(|_full| busy("too many claims wait"))?;
        reply.recv().await.map_err(|_closed| busy("the host is stopping"))?
    }

    /// The claim that a call would make on its key.
    pub(crate) fn record(&self, account: &str, service: &str, key: &str, request: &[u8]) -> ClaimRecord {
        ClaimRecord {
            key: hex_digest(&[account.as_bytes(), service.as_bytes(), key.as_bytes()]),
            request: hex_digest(&[request]),
            claim: format!("{:032x}", rand::random::<u128>()).into(),
            made_at: self.timer.unix_secs(),
            answer: None,
        }
    }

    /// Keeps the answer for a repeat of the call.
    pub(crate) fn answer(&self, mut record: ClaimRecord, status: u16, content_type: &str, body: &[u8]) {
        if body.len() > MAX_ANSWER {
            return;
        }
        let Ok(body) = std::str::from_utf8(body) else {
            return;
        };
        record.answer = Some(ClaimAnswer { status, content_type: content_type.into(), body: body.into() });
        let _dropped = self.shard(&record).try_send(ShardOrder { order: ClaimCommand::Answer(record), reply: None });
    }

    /// Gives a key back whose call was certainly not sent.
    pub(crate) fn release(&self, record: ClaimRecord) {
        let _dropped = self.shard(&record).try_send(ShardOrder { order: ClaimCommand::Release(record), reply: None });
    }

    fn shard(&self, record: &ClaimRecord) -> &Sender<ShardOrder> {
        let first = record.key.bytes().next().unwrap_or_default();
        let digit = char::from(first).to_digit(16).unwrap_or_default();
        &self.shards[digit as usize % self.shards.len()]
    }
}

/// Drives one shard: carries its reads and writes to the platform and its verdicts to the callers.
struct ShardWorker {
    platform: Option<PlatformClient>,
    recorder: Arc<MetricRecorder>,
    timer: TimerService,
    name: String,
    shard: ClaimShard,
    replies: BTreeMap<Name, Sender<Result<ClaimGrant>>>,
    wake_at: Option<TimePoint>,
}

impl ShardWorker {
    async fn run(mut self, orders: Receiver<ShardOrder>) {
        loop {
            let event = self.next_event(&orders).await;
            let Some(event) = event else {
                return;
            };
            let mut events = VecDeque::from([event]);
            while let Some(event) = events.pop_front() {
                let is_writing = self.handle(event, &mut events).await;
                if is_writing {
                    // What came during the write joins the next one.
                    while let Ok(order) = orders.try_recv() {
                        let event = self.ordered(order);
                        events.push_front(event);
                    }
                }
            }
        }
    }

    async fn next_event(&mut self, orders: &Receiver<ShardOrder>) -> Option<ClaimEvent> {
        let order = match self.wake_at {
            None => orders.recv().await,
            Some(at) => {
                let Some(order) = self.timer.within(at - self.timer.now(), orders.recv()).await else {
                    self.wake_at = None;
                    return Some(ClaimEvent::TimerFired);
                };
                order
            }
        };
        order.ok().map(|order| self.ordered(order))
    }

    fn ordered(&mut self, order: ShardOrder) -> ClaimEvent {
        if let (ClaimCommand::Claim(record), Some(reply)) = (&order.order, order.reply) {
            self.replies.insert(Name::clone(&record.claim), reply);
        }
        ClaimEvent::Submitted(order.order)
    }

    /// Returns whether it called the platform.
    async fn handle(&mut self, event: ClaimEvent, events: &mut VecDeque<ClaimEvent>) -> bool {
        let mut is_writing = false;
        for action in self.shard.on(self.timer.unix_secs(), event) {
            match action {
                ClaimAction::Put { ledger, version } => {
                    is_writing = true;
                    events.push_back(self.put(&ledger, version).await);
                }
                ClaimAction::Load => {
                    is_writing = true;
                    events.push_back(self.load().await);
                }
                ClaimAction::Resolve { claim, verdict } => self.reply(&claim, grant(verdict)),
                ClaimAction::Refuse { claim, refusal } => self.reply(&claim, Err(self.refusal(refusal))),
                ClaimAction::SetTimer { after } => self.wake_at = Some(self.timer.now() + after),
            }
        }
        is_writing
    }

    async fn put(&self, ledger: &ClaimLedger, version: Option<u64>) -> ClaimEvent {
        let Some(platform) = &self.platform else {
            return ClaimEvent::Unavailable;
        };
        let condition =
            version.map_or(WriteCondition::Absent, |version| WriteCondition::Version(ObjectVersion(version)));
        match platform.put(KIND, &self.name, condition, ledger).await {
            Ok(ObjectVersion(version)) => ClaimEvent::Written { version },
            Err(PlatformError::Conflict) => {
                self.recorder.count("claim_conflict");
                ClaimEvent::Conflicted
            }
            Err(PlatformError::Unavailable) => ClaimEvent::Unavailable,
            Err(PlatformError::Missing | PlatformError::Unknown) => ClaimEvent::Unanswered,
        }
    }

    async fn load(&self) -> ClaimEvent {
        let Some(platform) = &self.platform else {
            return ClaimEvent::LoadFailed;
        };
        match platform.get(KIND, &self.name).await {
            Ok(object) => match serde_json::from_value(object.value) {
                Ok(ledger) => ClaimEvent::Loaded { ledger, version: Some(object.version.0) },
                Err(_) => ClaimEvent::LoadFailed,
            },
            Err(PlatformError::Missing) => ClaimEvent::Loaded { ledger: ClaimLedger::default(), version: None },
            Err(_) => ClaimEvent::LoadFailed,
        }
    }

    fn reply(&mut self, claim: &str, outcome: Result<ClaimGrant>) {
        if let Some(reply) = self.replies.remove(claim) {
            let _gone = reply.try_send(outcome);
        }
    }

    fn refusal(&self, refusal: ClaimRefusal) -> Error {
        self.recorder.count("claim_refused");
        match refusal {
            ClaimRefusal::Unavailable => down("the platform is down"),
            ClaimRefusal::Unanswered => down("the platform does not answer"),
            ClaimRefusal::Contended => busy("too many hosts write claims at once"),
        }
    }
}

fn grant(verdict: ClaimVerdict) -> Result<ClaimGrant> {
    match verdict {
        ClaimVerdict::Own => Ok(ClaimGrant::Granted),
        ClaimVerdict::Held(held) => Ok(match held.answer {
            Some(answer) => ClaimGrant::Answered(answer),
            None => ClaimGrant::Held(held),
        }),
        ClaimVerdict::Reused => Err(reused()),
        ClaimVerdict::Free => Err(busy("too many claims are remembered")),
    }
}

fn down(why: &str) -> Error {
    let message = format!("the call was not run: its key can't be checked against other hosts, since {why}");
    Error::new(ErrorKind::PlatformDown, message).retry_after(RETRY_AFTER + RETRY_AFTER.mul_f64(rand::random()))
}

fn busy(why: &str) -> Error {
    Error::new(ErrorKind::Overloaded, format!("the call was not run: {why}")).retry_after(RETRY_AFTER)
}

fn reused() -> Error {
    let message = "this idempotency key came with another request; give each request its own";
    Error::new(ErrorKind::KeyReused, message).param("Idempotency-Key")
}

fn hex_digest(parts: &[&[u8]]) -> Name {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&hash.finalize()[..16]);
    format!("{:032x}", u128::from_be_bytes(bytes)).into()
}
