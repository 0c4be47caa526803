use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_std::future::timeout;
use hollyhook_core::{AttemptNumber, GenerationId};
use hollyhook_standin::TokenChain;
use hollyhook_wire::{ApiStyle, CallerClient, CallerItem, CallerStream, EngineExtension, completion_body};
use serde_json::Value;

use crate::fixture::LocalFleet;

/// Time for which the naive client waits for a response or a token before the client switches to the next engine.
const NAIVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of attempts of the naive client for one stream.
const MAX_NAIVE_ATTEMPTS: usize = 10;

/// How a stream is requested.
#[derive(Debug)]
pub(super) enum StreamClient {
    /// Through a daemon.
    Daemon(CallerClient),
    /// Directly from the engines, each attempt at the next engine and from the first token.
    Naive(Vec<SocketAddr>),
}

impl StreamClient {
    pub(super) fn daemon(fleet: &LocalFleet, number: usize) -> Self {
        Self::Daemon(fleet.client(number % fleet.daemons.len()))
    }

    pub(super) fn naive(fleet: &LocalFleet, number: usize) -> Self {
        let count = fleet.engines.len();
        Self::Naive((0..count).map(|next| fleet.engines[(number + next) % count].address()).collect())
    }
}

/// One stream of the experiment.
#[derive(Debug)]
pub(super) struct FailureStream {
    prompt: String,
    tokens: u64,
    half_sender: Option<Sender<()>>,
    received: Vec<String>,
    times: Vec<Instant>,
}

/// Outcome of a stream.
#[derive(Debug)]
pub(super) struct StreamOutcome {
    /// Whether all tokens arrived, each following from the one before.
    pub(super) is_complete: bool,
    times: Vec<Instant>,
}

impl StreamOutcome {
    /// Longest time without a new token after the fault; `None` if no token arrived after it.
    ///
    /// As this is the longest of all gaps after the fault, tokens in transit at its time do not hide the wait for a
    /// resume.
    pub(super) fn longest_gap_after(&self, failed_at: Instant) -> Option<Duration> {
        let gaps = self.times.windows(2).filter(|pair| pair[1] > failed_at);
        gaps.map(|pair| pair[1] - pair[0].max(failed_at)).max()
    }
}

impl FailureStream {
    pub(super) fn new(number: usize, prompt_words: usize, tokens: u64) -> Self {
        // Prompts share no prefix, so an engine's prompt cache saves work only if a resume reads a prompt again.
        let words = (0..prompt_words).map(|word| format!("{number}-{word}"));
        Self {
            prompt: words.collect::<Vec<_>>().join(" "),
            tokens,
            half_sender: None,
            received: Vec::new(),
            times: Vec::new(),
        }
    }

    /// Sends a message to `sender` once half of the tokens have arrived.
    #[must_use]
    pub(super) fn notify_at_half(mut self, sender: Sender<()>) -> Self {
        self.half_sender = Some(sender);
        self
    }

    pub(super) async fn run(mut self, client: StreamClient) -> StreamOutcome {
        match client {
            StreamClient::Daemon(client) => self.run_daemon(&client).await,
            StreamClient::Naive(engines) => self.run_naive(&engines).await,
        }
        let chain = TokenChain::new(&self.prompt, &LocalFleet::binding());
        let is_linked = chain.first_mismatch(self.received.iter().map(String::as_str)).is_none();
        StreamOutcome { is_complete: is_linked && self.received.len() as u64 == self.tokens, times: self.times }
    }

    async fn run_daemon(&mut self, client: &CallerClient) {
        let body = completion_body("tutor-7b", &self.prompt, self.tokens, true);
        if let Ok(Ok(mut stream)) = client.stream(ApiStyle::Completion, &body, &[]).await {
            self.read(&mut stream, None).await;
        }
    }

    async fn run_naive(&mut self, engines: &[SocketAddr]) {
        for engine in engines.iter().cycle().take(MAX_NAIVE_ATTEMPTS) {
            let client = CallerClient::new(*engine, "");
            let opened = timeout(NAIVE_TIMEOUT, client.stream(ApiStyle::Completion, &self.naive_body(), &[])).await;
            if let Ok(Ok(Ok(mut stream))) = opened
                && self.read(&mut stream, Some(NAIVE_TIMEOUT)).await
            {
                return;
            }
        }
    }

    fn naive_body(&self) -> Value {
        let mut body = completion_body("tutor-7b", &self.prompt, self.tokens, true);
        let extension = EngineExtension {
            generation: GenerationId::from_bits(rand::random()),
            attempt: AttemptNumber::FIRST,
            binding: LocalFleet::binding(),
            priority: 1,
            resume_tokens: Vec::new(),
        };
        body["hollyhook"] = serde_json::to_value(extension).unwrap_or_default();
        body
    }

    /// Reads a stream to its end and returns whether the end arrived. Skips the positions already received from an
    /// earlier attempt.
    async fn read(&mut self, stream: &mut CallerStream, limit: Option<Duration>) -> bool {
        let mut position = 0;
        loop {
            let next = match limit {
                Some(limit) => timeout(limit, stream.next()).await.ok(),
                None => Some(stream.next().await),
            };
            match next {
                Some(Ok(CallerItem::Token { text, .. })) => {
                    if position == self.received.len() {
                        self.record_token(text);
                    }
                    position += 1;
                }
                Some(Ok(CallerItem::End(_))) => {}
                Some(Ok(CallerItem::Done)) => return true,
                Some(Ok(CallerItem::Failed(_)) | Err(_)) | None => return false,
            }
        }
    }

    fn record_token(&mut self, text: String) {
        self.received.push(text);
        self.times.push(Instant::now());
        if self.received.len() as u64 == self.tokens / 2
            && let Some(half_sender) = self.half_sender.take()
        {
            let _receiver_gone = half_sender.try_send(());
        }
    }
}
