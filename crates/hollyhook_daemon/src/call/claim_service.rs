use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_std::task;
use hollyhook_core::{ClaimAnswer, ClaimLedger, ClaimRecord, ClaimVerdict, Error, ErrorKind, Name, Result};
use hollyhook_kernel::TimerService;
use hollyhook_wire::{ObjectVersion, PlatformClient, PlatformError, WriteCondition};
use sha2::{Digest, Sha256};

use crate::metric::MetricBoard;

/// The kind of the platform's objects that hold claims.
const KIND: &str = "claims";
/// Objects that the keys are spread over; each takes one write at a time from each host.
const SHARDS: u8 = 16;
/// Claims in one object, which keeps it well under a megabyte.
const MAX_CLAIMS: usize = 4_000;
/// Operations that may wait for a shard.
const QUEUE: usize = 1_024;
/// Operations in one write.
const BATCH: usize = 128;
/// Writes that may lose against another host before the callers are told to come back.
const MAX_CONFLICTS: u32 = 8;
/// How long an answer is kept for a repeat.
const ANSWER_AGE_SECS: u64 = 600;
/// The largest answer that is kept.
const MAX_ANSWER: usize = 1_024;
/// When to come back while the platform is down, before a spread of as much again.
const RETRY_AFTER: Duration = Duration::from_secs(2);
const RELEASE_PAUSE: Duration = Duration::from_millis(500);

/// What a claim led to.
#[derive(Debug)]
pub(crate) enum ClaimGrant {
    /// The call is this host's to send.
    Granted(ClaimRecord),
    /// The call was answered before.
    Answered(ClaimAnswer),
    /// The call was taken by someone and not answered so far.
    Held(ClaimRecord),
}

#[derive(Debug)]
enum ClaimOrder {
    Claim(ClaimRecord, Sender<Result<ClaimGrant>>),
    Answer(ClaimRecord),
    Release(ClaimRecord),
}

/// Claims idempotency keys in the platform, so that a key is recognised on every host.
///
/// Each shard of keys is one object. A host writes a shard once at a time, with all claims that came meanwhile in the
/// one write (group commit), on the condition that nobody else has written it since.
#[derive(Debug)]
pub(crate) struct ClaimService {
    shards: Vec<Sender<ClaimOrder>>,
    timer: TimerService,
}

impl ClaimService {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "claims";

    /// Starts one worker a shard; without a platform every claim is refused.
    pub(crate) fn start(
        platform: Option<&PlatformClient>,
        board: &Arc<MetricBoard>,
        timer: &TimerService,
        key_age: Duration,
    ) -> Self {
        let shards = (0..SHARDS).map(|shard| {
            let (sender, orders) = async_channel::bounded(QUEUE);
            let worker = ShardWorker {
                platform: platform.cloned(),
                board: Arc::clone(board),
                timer: timer.clone(),
                key_age,
                name: format!("shard-{shard:02}"),
                ledger: ClaimLedger::default(),
                version: None,
                releases: Vec::new(),
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
    pub(crate) async fn claim(&self, account: &str, service: &str, key: &str, request: &[u8]) -> Result<ClaimGrant> {
        let record = ClaimRecord {
            key: hex_digest(&[account.as_bytes(), service.as_bytes(), key.as_bytes()]),
            request: hex_digest(&[request]),
            claim: format!("{:032x}", rand::random::<u128>()).into(),
            made_at: self.timer.unix_secs(),
            answer: None,
        };
        let (sender, reply) = async_channel::bounded(1);
        let shard = self.shard(&record);
        shard.try_send(ClaimOrder::Claim(record, sender)).map_err(|_full| busy("too many claims wait"))?;
        reply.recv().await.map_err(|_closed| busy("the host is stopping"))?
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
        let _dropped = self.shard(&record).try_send(ClaimOrder::Answer(record));
    }

    /// Gives a key back whose call was certainly not sent.
    pub(crate) fn release(&self, record: ClaimRecord) {
        let _dropped = self.shard(&record).try_send(ClaimOrder::Release(record));
    }

    fn shard(&self, record: &ClaimRecord) -> &Sender<ClaimOrder> {
        let first = record.key.bytes().next().unwrap_or_default();
        let digit = char::from(first).to_digit(16).unwrap_or_default();
        &self.shards[digit as usize % self.shards.len()]
    }
}

struct ShardWorker {
    platform: Option<PlatformClient>,
    board: Arc<MetricBoard>,
    timer: TimerService,
    key_age: Duration,
    name: String,
    ledger: ClaimLedger,
    version: Option<ObjectVersion>,
    /// Claims that may stand in the platform though their callers were told "not run".
    releases: Vec<ClaimRecord>,
}

impl ShardWorker {
    async fn run(mut self, orders: Receiver<ClaimOrder>) {
        loop {
            let first = if self.releases.is_empty() {
                orders.recv().await.ok()
            } else {
                match self.timer.within(RELEASE_PAUSE, orders.recv()).await {
                    Some(order) => order.ok(),
                    None => Some(ClaimOrder::Release(self.releases.remove(0))),
                }
            };
            let Some(first) = first else {
                return;
            };
            let mut batch = vec![first];
            while batch.len() < BATCH
                && let Ok(order) = orders.try_recv()
            {
                batch.push(order);
            }
            self.commit(batch).await;
        }
    }

    async fn commit(&mut self, batch: Vec<ClaimOrder>) {
        let Some(platform) = self.platform.clone() else {
            return refuse_all(batch, &down("no platform is set"));
        };
        for _ in 0..MAX_CONFLICTS {
            let ledger = self.apply(&batch);
            if ledger == self.ledger {
                return self.settle(batch);
            }
            let condition = self.version.map_or(WriteCondition::Absent, WriteCondition::Version);
            match platform.put(KIND, &self.name, condition, &ledger).await {
                Ok(version) => {
                    self.ledger = ledger;
                    self.version = Some(version);
                    return self.settle(batch);
                }
                Err(PlatformError::Unavailable) => return self.give_up(batch, "the platform is down", false),
                Err(error) => {
                    if error == PlatformError::Conflict {
                        self.board.count("claim_conflict");
                    }
                    // After a lost reply the object tells whether the claims are in it.
                    if self.reload(&platform).await.is_err() {
                        return self.give_up(batch, "the platform does not answer", true);
                    }
                }
            }
        }
        self.give_up(batch, "too many hosts write claims at once", false);
    }

    async fn reload(&mut self, platform: &PlatformClient) -> std::result::Result<(), PlatformError> {
        let object = match platform.get(KIND, &self.name).await {
            Ok(object) => object,
            Err(PlatformError::Missing) => {
                self.ledger = ClaimLedger::default();
                self.version = None;
                return Ok(());
            }
            Err(error) => return Err(error),
        };
        self.ledger = serde_json::from_value(object.value).map_err(|_error| PlatformError::Unknown)?;
        self.version = Some(object.version);
        Ok(())
    }

    /// The ledger with the orders of a batch in it, as far as they hold.
    fn apply(&self, batch: &[ClaimOrder]) -> ClaimLedger {
        let mut ledger = self.ledger.clone();
        for order in batch {
            match order {
                ClaimOrder::Claim(record, _) => {
                    if ledger.judge(record) == ClaimVerdict::Free && ledger.len() < MAX_CLAIMS {
                        ledger.put(record.clone());
                    }
                }
                ClaimOrder::Answer(record) => {
                    if ledger.judge(record) == ClaimVerdict::Own {
                        ledger.put(record.clone());
                    }
                }
                ClaimOrder::Release(record) => ledger.release(&record.claim),
            }
        }
        if ledger != self.ledger {
            let now = self.timer.unix_secs();
            ledger.expire(now.saturating_sub(self.key_age.as_secs()));
            ledger.forget_answers(now.saturating_sub(ANSWER_AGE_SECS));
        }
        ledger
    }

    /// Tells the callers what the ledger, as the platform holds it, says of their claims.
    fn settle(&self, batch: Vec<ClaimOrder>) {
        for order in batch {
            let ClaimOrder::Claim(record, reply) = order else {
                continue;
            };
            let grant = match self.ledger.judge(&record) {
                ClaimVerdict::Own => Ok(ClaimGrant::Granted(record)),
                ClaimVerdict::Held(held) => Ok(match held.answer {
                    Some(answer) => ClaimGrant::Answered(answer),
                    None => ClaimGrant::Held(held),
                }),
                ClaimVerdict::Reused => Err(reused()),
                ClaimVerdict::Free => Err(busy("too many claims are remembered")),
            };
            let _gone = reply.try_send(grant);
        }
    }

    /// Refuses the claims; what may have been written is released when the platform is back.
    fn give_up(&mut self, batch: Vec<ClaimOrder>, why: &str, may_be_written: bool) {
        for order in &batch {
            match order {
                ClaimOrder::Claim(record, _) if may_be_written => self.releases.push(record.clone()),
                ClaimOrder::Release(record) => self.releases.push(record.clone()),
                ClaimOrder::Claim(..) | ClaimOrder::Answer(_) => {}
            }
        }
        self.board.count("claim_refused");
        refuse_all(batch, &down(why));
    }
}

fn refuse_all(batch: Vec<ClaimOrder>, error: &Error) {
    for order in batch {
        if let ClaimOrder::Claim(_, reply) = order {
            let _gone = reply.try_send(Err(error.clone()));
        }
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
