//! Tests of the stand-ins through their published protocols.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::task::{block_on, spawn};
use hollyhook_core::{
    AttemptNumber, EndpointRefusal, EndpointState, GenerationId, ModelBinding, OpenMode, ProbeReport, TokenLog,
};
use hollyhook_standin::{
    EngineOptions, EngineStandIn, FaultKind, FaultOrder, PlatformOptions, PlatformStandIn, TokenChain,
};
use hollyhook_wire::{
    ApiStyle, CallerRequest, EngineClient, EngineExtension, EngineStream, PlatformClient, PlatformError, StreamItem,
    WriteCondition, completion_body,
};

const TIMEOUT: Duration = Duration::from_secs(5);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn binding() -> ModelBinding {
    ModelBinding::new("tutor", "1")
}

fn fault(kind: FaultKind) -> FaultOrder {
    FaultOrder { kind, millis: 0, count: 1 }
}

fn request(prompt: &str, tokens: u64) -> CallerRequest {
    CallerRequest::parse(ApiStyle::Completion, completion_body("tutor", prompt, tokens, true).to_string().as_bytes())
        .unwrap()
}

fn extension(bits: u128, attempt: u32) -> EngineExtension {
    EngineExtension {
        generation: GenerationId::from_bits(bits),
        attempt: AttemptNumber::new(attempt),
        binding: binding(),
        priority: 1,
        resume_tokens: Vec::new(),
    }
}

async fn open(engine: &EngineStandIn, bits: u128, attempt: u32, log: &TokenLog, tokens: u64) -> EngineStream {
    let mode = if log.is_empty() { OpenMode::Fresh } else { OpenMode::Resume };
    let client = EngineClient::new(TIMEOUT);
    let request = request("one two three", tokens);
    client.open(engine.address(), &request, extension(bits, attempt), mode, log).await.unwrap().unwrap()
}

async fn read(stream: &mut EngineStream, log: &mut TokenLog, count: usize) -> bool {
    while log.len() < count {
        match stream.next().await.unwrap() {
            StreamItem::Token { position, text } => {
                assert_eq!(position, log.len() as u64);
                log.push(&text);
            }
            StreamItem::End { position, .. } => {
                assert_eq!(position, log.len() as u64);
                return true;
            }
        }
    }
    false
}

#[test]
fn engine_resumes_attaches_and_cancels() {
    block_on(async {
        let options = || EngineOptions::new(binding()).step(Duration::from_millis(2));
        let first = EngineStandIn::start(any_port(), options().salt(1)).unwrap();
        let second = EngineStandIn::start(any_port(), options().salt(2)).unwrap();
        let client = EngineClient::new(TIMEOUT);
        let mut log = TokenLog::default();
        let mut stream = open(&first, 7, 1, &TokenLog::default(), 40).await;
        assert_eq!(stream.load().unwrap().state, EndpointState::Live);
        read(&mut stream, &mut log, 10).await;

        // A newer attempt takes over the output stream. An older attempt can neither attach nor cancel.
        let id = GenerationId::from_bits(7);
        let position = log.len() as u64;
        let attached = client.attach(first.address(), id, AttemptNumber::new(3), position).await.unwrap();
        read(&mut attached.unwrap(), &mut log, 20).await;
        let stale = client.attach(first.address(), id, AttemptNumber::new(2), position).await.unwrap();
        assert_eq!(stale.unwrap_err(), EndpointRefusal::Superseded);
        client.cancel(first.address(), id, AttemptNumber::new(2), TIMEOUT).await.unwrap();
        assert!(matches!(client.probe(first.address(), id, TIMEOUT).await, ProbeReport::Holds { .. }));
        client.cancel(first.address(), id, AttemptNumber::new(3), TIMEOUT).await.unwrap();
        assert_eq!(client.probe(first.address(), id, TIMEOUT).await, ProbeReport::Lives);

        // Another engine resumes from the tokens, although it derives first tokens from another salt.
        let mut stream = open(&second, 7, 4, &log, 40).await;
        assert!(read(&mut stream, &mut log, 41).await);
        assert_eq!(TokenChain::new("one two three", &binding()).first_mismatch(log.iter()), None);
        assert_eq!((second.counts().resumed, second.counts().work.decode), (1, 20));
    });
}

#[test]
fn engine_caches_prefixes_and_refuses() {
    block_on(async {
        let engine = EngineStandIn::start(any_port(), EngineOptions::new(binding()).context_tokens(100)).unwrap();
        let client = EngineClient::new(TIMEOUT);
        let words = (0..64).map(|word| word.to_string()).collect::<Vec<_>>().join(" ");
        let log = TokenLog::default();
        for bits in 1..=2 {
            let request = request(&words, 1);
            let opened = client.open(engine.address(), &request, extension(bits, 1), OpenMode::Fresh, &log).await;
            read(&mut opened.unwrap().unwrap(), &mut TokenLog::default(), 2).await;
        }
        assert_eq!((engine.counts().work.prefill, engine.counts().work.cached), (64, 64));
        let refused = async |tokens: u64, change: &dyn Fn(&mut EngineExtension)| {
            let mut extension = extension(9, 1);
            change(&mut extension);
            let request = request(&words, tokens);
            client.open(engine.address(), &request, extension, OpenMode::Fresh, &log).await.unwrap().unwrap_err()
        };
        assert_eq!(refused(90, &|_| {}).await, EndpointRefusal::Invalid);
        assert_eq!(refused(1, &|extension| extension.binding.version = "2".into()).await, EndpointRefusal::Unable);
        engine.inject_fault(fault(FaultKind::Leave));
        assert_eq!(refused(1, &|_| {}).await, EndpointRefusal::Busy);
        assert_eq!(client.load(engine.address(), TIMEOUT).await.unwrap().state, EndpointState::Leaving);
    });
}

#[test]
fn platform_conditions_and_watches() {
    block_on(async {
        let platform = PlatformStandIn::start(any_port(), PlatformOptions::default()).unwrap();
        let client = PlatformClient::new(platform.address());
        assert_eq!(client.get("config", "base").await, Err(PlatformError::Missing));
        let first = client.put("config", "base", WriteCondition::Absent, &1).await.unwrap();
        assert_eq!(client.put("config", "base", WriteCondition::Absent, &2).await, Err(PlatformError::Conflict));

        let list = client.list("config").await.unwrap();
        let watcher = client.clone();
        let watch = spawn(async move { watcher.watch("config", list.revision, TIMEOUT).await.unwrap() });
        let second = client.put("config", "base", WriteCondition::Version(first), &3).await.unwrap();
        let update = watch.await;
        assert_eq!((update.changes[0].version, &update.changes[0].value), (second, &Some(3.into())));

        platform.inject_fault(fault(FaultKind::LoseReply));
        let unanswered = client.put("config", "base", WriteCondition::Version(second), &4).await;
        assert_eq!(unanswered, Err(PlatformError::Unknown));
        let object = client.get("config", "base").await.unwrap();
        assert!(object.version > second && object.value == 4, "the write whose reply was lost must take effect");

        platform.inject_fault(fault(FaultKind::Outage));
        assert_eq!(client.get("config", "base").await, Err(PlatformError::Unavailable));
        platform.inject_fault(fault(FaultKind::Recover));
        assert_eq!(client.get("config", "base").await.unwrap(), object);
        assert_eq!((platform.counts().conflicts, client.writes()), (1, 4));
    });
}
