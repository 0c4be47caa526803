use std::hint::black_box;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use async_std::task::block_on;
use clap::Args;
use eyre::{OptionExt, Result};
use hollyhook_core::{
    AttemptNumber, ClaimCommand, ClaimEvent, ClaimPolicy, ClaimRecord, ClaimShard, CursorKey, CursorSeal, EndpointId,
    EndpointRecord, EndpointTable, GenerationId, GenerationRelay, ModelBinding, Name, PrefixDigest, RelayEvent,
    RelayPolicy, RouteQuery, StreamCursor, TimePoint, ZoneName,
};
use hollyhook_settings::{SettingFile, SiteSettings, key_digest};
use hollyhook_telemetry::{MetricMeasure, MetricRecorder};
use hollyhook_wire::{ApiStyle, EngineClient, SseParser, StreamWriter, connect_peer};
use serde::Serialize;

use crate::fixture::{FleetOptions, LocalFleet};

/// Arguments of `hollyhook load slopes`.
#[derive(Debug, Args)]
pub(crate) struct SlopeArgs {
    /// Runs of each measurement; the least, the middle and the largest value are shown.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u32).range(1..=100))]
    runs: u32,
    /// Print one JSON object per row.
    #[arg(long)]
    json: bool,
}

/// Cost of one more unit of something, such as a token, an endpoint or an account.
#[derive(Debug, Clone, PartialEq, Serialize)]
struct SlopeRow {
    slope: &'static str,
    unit: &'static str,
    least: f64,
    middle: f64,
    most: f64,
}

type Measurement = fn() -> Result<f64>;

const SLOPES: [(&str, &str, Measurement); 18] = [
    ("relay.token", "ns", || Ok(relay_token())),
    ("relay.generation_250_tokens", "bytes", relay_generation),
    ("cursor.seal", "ns", || Ok(cursor_seal())),
    ("cursor.open", "ns", || Ok(cursor_open())),
    ("stream.write_token", "ns", || Ok(stream_write())),
    ("stream.parse_token", "ns", || Ok(stream_parse())),
    ("route.choose_of_64", "ns", || Ok(route_choose(64))),
    ("route.choose_of_1000", "ns", || Ok(route_choose(1_000))),
    ("route.choose_of_10000", "ns", || Ok(route_choose(10_000))),
    ("route.endpoint_known", "bytes", route_endpoint),
    ("account.settings", "bytes", account_settings),
    ("account.lookup_of_1200", "ns", account_lookup),
    ("metric.account", "bytes", metric_account),
    ("metric.record_64_samples", "ns", || Ok(metric_record())),
    ("claim.apply_at_2000", "us", || Ok(claim_apply())),
    ("settings.check_endpoint", "us", settings_check),
    ("poll.load_report", "us of processor", poll_load),
    ("peer.report", "us of processor", peer_report),
];

/// Measures every slope and prints one row for each.
pub(crate) fn run_slopes(args: &SlopeArgs) -> Result<ExitCode> {
    if !args.json {
        println!("{:>28} {:>16} {:>12} {:>12} {:>12}", "slope", "unit", "least", "middle", "most");
    }
    for (slope, unit, measure) in SLOPES {
        let mut values = (0..args.runs).map(|_| measure()).collect::<Result<Vec<f64>>>()?;
        values.sort_unstable_by(f64::total_cmp);
        let (least, middle, most) = (values[0], values[values.len() / 2], values[values.len() - 1]);
        let row = SlopeRow { slope, unit, least, middle, most };
        if args.json {
            println!("{}", serde_json::to_string(&row)?);
        } else {
            println!("{slope:>28} {unit:>16} {least:>12.1} {middle:>12.1} {most:>12.1}");
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Mean time of a round in nanoseconds, over `count` rounds.
fn nanos_per_round(count: u32, mut round: impl FnMut(u32)) -> f64 {
    let begin = Instant::now();
    (0..count).for_each(&mut round);
    begin.elapsed().as_secs_f64() * 1e9 / f64::from(count)
}

/// Growth of the process's resident memory in bytes per value, when `count` values are made.
fn growth_per_value<T>(count: u32, make: impl Fn(u32) -> T) -> Result<f64> {
    let before = resident_bytes()?;
    let values: Vec<T> = (0..count).map(make).collect();
    let after = resident_bytes()?;
    // Leaked on purpose: the next run could reuse freed memory and would then show no growth.
    std::mem::forget(black_box(values));
    Ok(after.saturating_sub(before) as f64 / f64::from(count))
}

fn resident_bytes() -> Result<u64> {
    const PAGE_BYTES: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages: u64 = text.split_whitespace().nth(1).ok_or_eyre("/proc/self/statm has no second field")?.parse()?;
    Ok(pages * PAGE_BYTES)
}

/// Processor time that this process has used so far.
fn processor_time() -> Result<Duration> {
    const CLOCK_TICK: Duration = Duration::from_millis(10);
    let text = std::fs::read_to_string("/proc/self/stat")?;
    let (_, fields) = text.rsplit_once(')').ok_or_eyre("/proc/self/stat has no command")?;
    let times: Vec<u32> = fields.split_whitespace().skip(11).take(2).map(str::parse).collect::<Result<_, _>>()?;
    Ok(CLOCK_TICK * times.iter().sum())
}

fn running_relay() -> GenerationRelay {
    let mut relay = GenerationRelay::new(RelayPolicy::favour_latency());
    let attempt = AttemptNumber::FIRST;
    relay.on(TimePoint::ZERO, RelayEvent::Started);
    relay.on(TimePoint::ZERO, RelayEvent::Assigned { attempt, endpoint: EndpointId::from("engine-1") });
    relay
}

fn feed_token(relay: &mut GenerationRelay, position: u32) {
    let text = "bodipe ".to_owned();
    let event = RelayEvent::TokenArrived { attempt: AttemptNumber::FIRST, position: position.into(), text };
    black_box(relay.on(TimePoint::from_millis(position.into()), event));
}

fn relay_token() -> f64 {
    let mut relay = running_relay();
    nanos_per_round(100_000, |position| feed_token(&mut relay, position))
}

fn relay_generation() -> Result<f64> {
    growth_per_value(10_000, |_| {
        let mut relay = running_relay();
        (0..250).for_each(|position| feed_token(&mut relay, position));
        relay
    })
}

fn seal() -> CursorSeal {
    CursorSeal::new(&CursorKey::new([7; 32]), Duration::from_mins(10))
}

fn cursor() -> StreamCursor {
    StreamCursor {
        generation: GenerationId::from_bits(7),
        position: 100,
        attempt: AttemptNumber::FIRST,
        endpoint: EndpointId::from("tutoring-17"),
        digest: PrefixDigest::default(),
        request: 7,
        made_at: 7,
    }
}

fn cursor_seal() -> f64 {
    let (seal, cursor, mut rng) = (seal(), cursor(), rand::rng());
    nanos_per_round(50_000, |_| drop(black_box(seal.seal("head-office", &cursor, &mut rng))))
}

fn cursor_open() -> f64 {
    let seal = seal();
    let text = seal.seal("head-office", &cursor(), &mut rand::rng());
    nanos_per_round(50_000, |_| drop(black_box(seal.open("head-office", &text, 7))))
}

fn stream_write() -> f64 {
    let writer = StreamWriter::new(ApiStyle::Chat, GenerationId::from_bits(7), &"tutoring".into(), 7);
    let text = seal().seal("head-office", &cursor(), &mut rand::rng());
    nanos_per_round(50_000, |_| drop(black_box(writer.token("bodipe ", &text))))
}

fn stream_parse() -> f64 {
    let event = b"id: 17\ndata: {\"choices\":[{\"index\":0,\"text\":\"bodipe \",\"finish_reason\":null}]}\n\n";
    let mut parser = SseParser::default();
    nanos_per_round(50_000, |_| {
        parser.feed(event);
        let event = parser.next_event().unwrap_or_default();
        let _parsed = black_box(serde_json::from_str::<hollyhook_wire::EngineChunk<'_>>(&event.data));
    })
}

fn record(number: u32) -> EndpointRecord {
    let address = SocketAddr::from((number.to_be_bytes(), 8_000));
    let zone = ZoneName::from(format!("zone-{}", number % 7));
    EndpointRecord::new(format!("engine-{number}").into(), "tutoring".into(), zone, address)
        .binding(ModelBinding::new("tutoring", "2026-11"))
}

fn table(count: u32) -> EndpointTable {
    let mut table = EndpointTable::new("zone-0".into());
    for number in 0..count {
        table.upsert(record(number));
    }
    table
}

fn route_choose(count: u32) -> f64 {
    let table = table(count);
    let binding = ModelBinding::new("tutoring", "2026-11");
    let query = RouteQuery::new("tutoring").binding(&binding);
    let mut rng = rand::rng();
    nanos_per_round(1_000, |_| drop(black_box(table.choose(TimePoint::ZERO, &query, &mut rng))))
}

fn route_endpoint() -> Result<f64> {
    const COUNT: u32 = 50_000;
    Ok(growth_per_value(1, |_| table(COUNT))? / f64::from(COUNT))
}

fn site(accounts: u32, endpoints: u32) -> Result<SiteSettings> {
    use std::fmt::Write as _;
    let mut base = String::from(
        "[service tutoring]\nclass = long\nkind = generation\nmodel = t\nversion = 1\ncontext = 4096 tokens\n",
    );
    for number in 0..accounts {
        write!(base, "[account a{number}]\nkey_sha256 = {}\n", key_digest(&number.to_string()))?;
    }
    let mut overlay = String::from("[site]\nname = s\nzones = a\n");
    for number in 0..endpoints {
        let address = SocketAddr::from((number.to_be_bytes(), 8_000));
        write!(overlay, "[endpoint e{number}]\nservice = tutoring\nzone = a\naddress = {address}\n")?;
    }
    Ok(SiteSettings::merge(&SettingFile::parse("base", &base)?, &SettingFile::parse("overlay", &overlay)?)?)
}

fn account_settings() -> Result<f64> {
    const COUNT: u32 = 1_200;
    const SITES: u32 = 10;
    let sites = growth_per_value(SITES, |_| site(COUNT, 0))?;
    Ok(sites / f64::from(COUNT))
}

fn account_lookup() -> Result<f64> {
    let site = site(1_200, 0)?;
    let digests: Vec<Name> = (0..1_200).map(|number: u32| key_digest(&number.to_string())).collect();
    Ok(nanos_per_round(12_000, |round| {
        black_box(site.account_of_key(&digests[round as usize % digests.len()]));
    }))
}

fn metric_account() -> Result<f64> {
    const COUNT: u32 = 2_000;
    let measures = [
        MetricMeasure::FirstToken,
        MetricMeasure::BetweenTokens,
        MetricMeasure::ResumeLatency,
        MetricMeasure::QueueWait,
        MetricMeasure::PlainCall,
    ];
    let recorder = growth_per_value(1, |_| {
        let recorder = MetricRecorder::default();
        for number in 0..COUNT {
            let account = Name::from(format!("account-{number}"));
            for measure in measures {
                recorder.record(measure, &account, "long", &[Duration::from_millis(20)]);
            }
        }
        recorder
    })?;
    Ok(recorder / f64::from(COUNT))
}

fn metric_record() -> f64 {
    let recorder = MetricRecorder::default();
    let account = Name::from("head-office");
    let samples = [Duration::from_millis(20); 64];
    nanos_per_round(2_000, |_| recorder.record(MetricMeasure::BetweenTokens, &account, "long", &samples))
}

fn claim(number: u32) -> ClaimRecord {
    ClaimRecord {
        key: format!("{number:032x}").into(),
        request: format!("{number:032x}").into(),
        claim: format!("{number:032x}").into(),
        made_at: 1_000,
        answer: None,
    }
}

fn claim_apply() -> f64 {
    let mut shard = ClaimShard::new(ClaimPolicy::default());
    let mut version = 0;
    let mut submit = |number: u32| {
        shard.on(1_000, ClaimEvent::Submitted(ClaimCommand::Claim(claim(number))));
        version += 1;
        shard.on(1_000, ClaimEvent::Written { version });
    };
    (0..1_900).for_each(&mut submit);
    nanos_per_round(90, |number| submit(1_900 + number)) / 1_000.0
}

fn settings_check() -> Result<f64> {
    const COUNT: u32 = 2_000;
    let begin = Instant::now();
    black_box(site(10, COUNT)?);
    Ok(begin.elapsed().as_secs_f64() * 1e6 / f64::from(COUNT))
}

/// Processor time of a load report in microseconds. Client and engine both run in this process, so a daemon's share is
/// lower.
fn poll_load() -> Result<f64> {
    const COUNT: u32 = 2_000;
    block_on(async {
        let fleet = LocalFleet::start(&FleetOptions::new(1)).await?;
        let client = EngineClient::new(Duration::from_secs(1));
        let address = fleet.engines[0].address();
        let before = processor_time()?;
        for _ in 0..COUNT {
            client.load(address, Duration::from_secs(1)).await?;
        }
        Ok(processor_time()?.saturating_sub(before).as_secs_f64() * 1e6 / f64::from(COUNT))
    })
}

/// Processor time of a report to a peer in microseconds. Both ends run in this process, so a daemon's share is lower.
fn peer_report() -> Result<f64> {
    const COUNT: u32 = 4_000;
    block_on(async {
        let fleet = LocalFleet::start(&FleetOptions::new(1)).await?;
        let client = connect_peer(fleet.daemons[0].peer_address(), Duration::from_secs(1)).await?;
        let before = processor_time()?;
        for _ in 0..COUNT {
            client.report(tarpc::context::current()).await?;
        }
        Ok(processor_time()?.saturating_sub(before).as_secs_f64() * 1e6 / f64::from(COUNT))
    })
}
