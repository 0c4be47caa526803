use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_std::future::timeout;
use hollyhook_core::{AttemptNumber, GenerationId};
use hollyhook_standin::TokenChain;
use hollyhook_wire::{ApiStyle, CallerClient, CallerItem, CallerStream, EngineExtension, completion_body};
use serde_json::Value;

use crate::fixture::LocalFleet;

/// How long the naive way waits for a token.
const NAIVE_TIMEOUT: Duration = Duration::from_secs(5);
const NAIVE_TRIES: usize = 10;

/// How a stream is served.
#[derive(Debug)]
pub(super) enum StreamWay {
    /// Through a daemon.
    Daemon(CallerClient),
    /// Straight to one engine after the other, from the beginning each time.
    Naive(Vec<SocketAddr>),
}

impl StreamWay {
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
    half: Option<Sender<()>>,
    received: Vec<String>,
    times: Vec<Instant>,
}

/// What came of a stream.
#[derive(Debug)]
pub(super) struct StreamOutcome {
    pub(super) is_whole: bool,
    times: Vec<Instant>,
}

impl StreamOutcome {
    /// The longest time without a new token behind the fault; none if the stream had ended.
    ///
    /// Tokens that were on their way when it happened do not end the wait.
    pub(super) fn wait_after(&self, failed_at: Instant) -> Option<Duration> {
        let gaps = self.times.windows(2).filter(|pair| pair[1] > failed_at);
        gaps.map(|pair| pair[1] - pair[0].max(failed_at)).max()
    }
}

impl FailureStream {
    pub(super) fn new(number: usize, prompt_words: usize, tokens: u64) -> Self {
        // No two prompts share a prefix, so the cache saves nothing but what a resume reads again.
        let words = (0..prompt_words).map(|word| format!("{number}-{word}"));
        Self {
            prompt: words.collect::<Vec<_>>().join(" "),
            tokens,
            half: None,
            received: Vec::new(),
            times: Vec::new(),
        }
    }

    /// Tells when half of the tokens are there.
    #[must_use]
    pub(super) fn half(mut self, sender: Sender<()>) -> Self {
        self.half = Some(sender);
        self
    }

    pub(super) async fn run(mut self, way: StreamWay) -> StreamOutcome {
        match way {
            StreamWay::Daemon(client) => self.run_daemon(&client).await,
            StreamWay::Naive(engines) => self.run_naive(&engines).await,
        }
        let chain = TokenChain::new(&self.prompt, &LocalFleet::binding());
        let is_linked = chain.first_mismatch(self.received.iter().map(String::as_str)).is_none();
        StreamOutcome { is_whole: is_linked && self.received.len() as u64 == self.tokens, times: self.times }
    }

    async fn run_daemon(&mut self, client: &CallerClient) {
        let body = completion_body("tutor-7b", &self.prompt, self.tokens, true);
        if let Ok(Ok(mut stream)) = client.stream(ApiStyle::Completion, &body, &[]).await {
            self.read(&mut stream, None).await;
        }
    }

    async fn run_naive(&mut self, engines: &[SocketAddr]) {
        for engine in engines.iter().cycle().take(NAIVE_TRIES) {
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

    /// Reads to the end; returns whether it came. What the caller has already is not counted again.
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
                        self.take(text);
                    }
                    position += 1;
                }
                Some(Ok(CallerItem::End(_))) => {}
                Some(Ok(CallerItem::Done)) => return true,
                Some(Ok(CallerItem::Failed(_)) | Err(_)) | None => return false,
            }
        }
    }

    fn take(&mut self, text: String) {
        self.received.push(text);
        self.times.push(Instant::now());
        if self.received.len() as u64 == self.tokens / 2
            && let Some(half) = self.half.take()
        {
            let _gone = half.try_send(());
        }
    }
}
