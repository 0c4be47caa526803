use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_std::task;
use hollyhook_core::{
    ClaimAction, ClaimAnswer, ClaimCommand, ClaimEvent, ClaimLedger, ClaimPolicy, ClaimRecord, ClaimRefusal,
    ClaimShard, ClaimVerdict, Error, ErrorKind, Name, Result, TimePoint,
};
use hollyhook_kernel::{Mailbox, TimerService};
use hollyhook_wire::{ObjectVersion, PlatformClient, PlatformError, WriteCondition};
use sha2::{Digest, Sha256};

use hollyhook_telemetry::MetricRecorder;

/// Kind of the platform objects that hold claims.
const OBJECT_KIND: &str = "claims";
/// Number of platform objects over which the keys are spread; each host has at most one write per object in flight.
const SHARD_COUNT: u8 = 16;
/// Commands that can be queued for a shard.
const QUEUE_CAPACITY: usize = 1_024;
/// Maximum size in bytes of an answer body that is stored for replay.
const MAX_ANSWER_BYTES: usize = 256;
/// `Retry-After` delay of refused calls. While the platform is down, a random delay of up to the same length is added.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Outcome of a claim on an idempotency key.
#[derive(Debug)]
pub(crate) enum ClaimOutcome {
    /// This host holds the key and may send the call.
    Granted,
    /// An earlier call with the key was answered; its stored answer is to be replayed.
    Answered(ClaimAnswer),
    /// An earlier call with the key, from this host or another, holds the claim; no answer is stored.
    Held(ClaimRecord),
}

#[derive(Debug)]
struct ShardCommand {
    command: ClaimCommand,
    reply: Option<Sender<Result<ClaimOutcome>>>,
}

/// Claims idempotency keys in the platform, so that every host recognises a key that was used on another.
///
/// Each shard of the keys is stored in one platform object. A host has at most one write per shard in flight; claims
/// that arrive during a write are batched into the next (group commit). Each write is conditional: it fails if another
/// host has written the object since it was read.
#[derive(Debug)]
pub(crate) struct ClaimService {
    shards: Vec<Mailbox<ShardCommand>>,
    recorder: Arc<MetricRecorder>,
    timer: TimerService,
}

impl ClaimService {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "claims";

    /// Starts one worker per shard; without a platform, every claim is refused.
    pub(crate) fn start(
        platform: Option<&PlatformClient>,
        recorder: &Arc<MetricRecorder>,
        timer: &TimerService,
        key_age: Duration,
    ) -> Self {
        let shards = (0..SHARD_COUNT).map(|shard| {
            let name = format!("shard-{shard:02}");
            let (mailbox, commands) = Mailbox::bounded(&*name, QUEUE_CAPACITY);
            let worker = ShardWorker {
                platform: platform.cloned(),
                recorder: Arc::clone(recorder),
                timer: timer.clone(),
                name,
                shard: ClaimShard::new(ClaimPolicy { key_age, ..ClaimPolicy::default() }),
                replies: BTreeMap::new(),
                timer_due: None,
            };
            task::spawn(worker.run(commands));
            mailbox
        });
        Self { shards: shards.collect(), recorder: Arc::clone(recorder), timer: timer.clone() }
    }

    /// Claims a key for a call.
    ///
    /// # Errors
    ///
    /// `KeyReused` if the key was used with another request; `PlatformDown` or `Overloaded`, with a retry delay, if the
    /// claim could not be made. In each case this host has not sent the call.
    pub(crate) async fn claim(&self, record: ClaimRecord) -> Result<ClaimOutcome> {
        let (sender, reply) = async_channel::bounded(1);
        let shard = self.shard_of(&record);
        let command = ShardCommand { command: ClaimCommand::Claim(record), reply: Some(sender) };
        shard.post(command).map_err(|_full| overloaded_error("too many claims wait"))?;
        reply.recv().await.map_err(|_closed| overloaded_error("the host is stopping"))?
    }

    /// Builds the record with which a call claims its idempotency key.
    pub(crate) fn new_record(&self, account: &str, service: &str, key: &str, request: &[u8]) -> ClaimRecord {
        ClaimRecord {
            key: hex_digest(&[account.as_bytes(), service.as_bytes(), key.as_bytes()]),
            request: hex_digest(&[request]),
            claim: format!("{:032x}", rand::random::<u128>()).into(),
            made_at: self.timer.unix_secs(),
            answer: None,
        }
    }

    /// Stores the answer for replay if the call is repeated; skips bodies that are too large or not UTF-8.
    pub(crate) fn store_answer(&self, mut record: ClaimRecord, status: u16, content_type: &str, body: &[u8]) {
        if body.len() > MAX_ANSWER_BYTES {
            return;
        }
        let Ok(body) = std::str::from_utf8(body) else {
            return;
        };
        record.answer = Some(ClaimAnswer { status, content_type: content_type.into(), body: body.into() });
        let shard = self.shard_of(&record);
        self.post_outcome(shard, ClaimCommand::Answer(record));
    }

    /// Releases the key of a call that certainly was not sent.
    pub(crate) fn release(&self, record: ClaimRecord) {
        let shard = self.shard_of(&record);
        self.post_outcome(shard, ClaimCommand::Release(record));
    }

    /// Sends a command of a call that has ended. If it were lost, the key would stay claimed without an answer.
    fn post_outcome(&self, shard: &Mailbox<ShardCommand>, command: ClaimCommand) {
        if !shard.post_or_wait(ShardCommand { command, reply: None }) {
            self.recorder.count("claim_outcome_waited");
        }
    }

    fn shard_of(&self, record: &ClaimRecord) -> &Mailbox<ShardCommand> {
        let first = record.key.bytes().next().unwrap_or_default();
        let digit = char::from(first).to_digit(16).unwrap_or_default();
        &self.shards[digit as usize % self.shards.len()]
    }
}

/// Drives one shard: performs its reads and writes of the platform and returns its verdicts to the waiting callers.
struct ShardWorker {
    platform: Option<PlatformClient>,
    recorder: Arc<MetricRecorder>,
    timer: TimerService,
    name: String,
    shard: ClaimShard,
    replies: BTreeMap<Name, Sender<Result<ClaimOutcome>>>,
    timer_due: Option<TimePoint>,
}

impl ShardWorker {
    async fn run(mut self, commands: Receiver<ShardCommand>) {
        loop {
            let event = self.next_event(&commands).await;
            let Some(event) = event else {
                return;
            };
            let mut events = VecDeque::from([event]);
            while let Some(event) = events.pop_front() {
                let has_called_platform = self.handle(event, &mut events).await;
                if has_called_platform {
                    // Commands that arrived during the read or write are handled before its result, so that they join
                    // the next write.
                    while let Ok(command) = commands.try_recv() {
                        let event = self.submit(command);
                        events.push_front(event);
                    }
                }
            }
        }
    }

    async fn next_event(&mut self, commands: &Receiver<ShardCommand>) -> Option<ClaimEvent> {
        let command = match self.timer_due {
            None => commands.recv().await,
            Some(at) => {
                let Some(command) = self.timer.within(at - self.timer.now(), commands.recv()).await else {
                    self.timer_due = None;
                    return Some(ClaimEvent::TimerFired);
                };
                command
            }
        };
        command.ok().map(|command| self.submit(command))
    }

    fn submit(&mut self, command: ShardCommand) -> ClaimEvent {
        if let (ClaimCommand::Claim(record), Some(reply)) = (&command.command, command.reply) {
            self.replies.insert(Name::clone(&record.claim), reply);
        }
        ClaimEvent::Submitted(command.command)
    }

    /// Performs the actions for one event and queues the platform's results; returns whether the platform was called.
    async fn handle(&mut self, event: ClaimEvent, events: &mut VecDeque<ClaimEvent>) -> bool {
        let mut has_called_platform = false;
        for action in self.shard.on(self.timer.unix_secs(), event) {
            match action {
                ClaimAction::Put { ledger, version } => {
                    has_called_platform = true;
                    events.push_back(self.put(&ledger, version).await);
                }
                ClaimAction::Load => {
                    has_called_platform = true;
                    events.push_back(self.load().await);
                }
                ClaimAction::Resolve { claim, verdict } => self.reply(&claim, claim_outcome(verdict)),
                ClaimAction::Refuse { claim, refusal } => self.reply(&claim, Err(self.refusal_error(refusal))),
                ClaimAction::SetTimer { after } => self.timer_due = Some(self.timer.now() + after),
            }
        }
        has_called_platform
    }

    async fn put(&self, ledger: &ClaimLedger, version: Option<u64>) -> ClaimEvent {
        let Some(platform) = &self.platform else {
            return ClaimEvent::Unavailable;
        };
        let condition =
            version.map_or(WriteCondition::Absent, |version| WriteCondition::Version(ObjectVersion(version)));
        match platform.put(OBJECT_KIND, &self.name, condition, ledger).await {
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
        match platform.get(OBJECT_KIND, &self.name).await {
            Ok(object) => match serde_json::from_value(object.value) {
                Ok(ledger) => ClaimEvent::Loaded { ledger, version: Some(object.version.0) },
                Err(_) => ClaimEvent::LoadFailed,
            },
            Err(PlatformError::Missing) => ClaimEvent::Loaded { ledger: ClaimLedger::default(), version: None },
            Err(_) => ClaimEvent::LoadFailed,
        }
    }

    fn reply(&mut self, claim: &str, outcome: Result<ClaimOutcome>) {
        if let Some(reply) = self.replies.remove(claim) {
            let _gone = reply.try_send(outcome);
        }
    }

    fn refusal_error(&self, refusal: ClaimRefusal) -> Error {
        self.recorder.count("claim_refused");
        match refusal {
            ClaimRefusal::Unavailable => platform_down_error("the platform is down"),
            ClaimRefusal::Unanswered => platform_down_error("the platform does not answer"),
            ClaimRefusal::Contended => overloaded_error("too many hosts write claims at once"),
        }
    }
}

fn claim_outcome(verdict: ClaimVerdict) -> Result<ClaimOutcome> {
    match verdict {
        ClaimVerdict::Own => Ok(ClaimOutcome::Granted),
        ClaimVerdict::Held(held) => Ok(match held.answer {
            Some(answer) => ClaimOutcome::Answered(answer),
            None => ClaimOutcome::Held(held),
        }),
        ClaimVerdict::Reused => Err(key_reused_error()),
        ClaimVerdict::Free => Err(overloaded_error("too many claims are remembered")),
    }
}

fn platform_down_error(reason: &str) -> Error {
    let message = format!("the call was not run: its key can't be checked against other hosts, since {reason}");
    Error::new(ErrorKind::PlatformDown, message).retry_after(RETRY_AFTER + RETRY_AFTER.mul_f64(rand::random()))
}

fn overloaded_error(reason: &str) -> Error {
    Error::new(ErrorKind::Overloaded, format!("the call was not run: {reason}")).retry_after(RETRY_AFTER)
}

fn key_reused_error() -> Error {
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
