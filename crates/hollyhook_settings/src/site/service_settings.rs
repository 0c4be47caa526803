use std::time::Duration;

use hollyhook_core::{ModelBinding, Name, RelayPolicy};

use crate::file::SectionReader;
use crate::value;

/// How urgent the requests of a service are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestClass {
    /// Someone waits for a short answer.
    Quick,
    /// Long generations.
    Long,
}

impl RequestClass {
    /// The class's name.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Quick => "quick",
            Self::Long => "long",
        }
    }

    /// Its priority at an endpoint; 0 is the most urgent.
    pub const fn priority(self) -> u8 {
        match self {
            Self::Quick => 0,
            Self::Long => 1,
        }
    }
}

/// A service that callers reach.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSettings {
    /// Its name.
    pub name: Name,
    /// How urgent its requests are.
    pub class: RequestClass,
    /// What it is.
    pub kind: ServiceKind,
}

/// What a service is.
#[derive(Debug, Clone, PartialEq)]
pub enum ServiceKind {
    /// Model engines.
    Generation(GenerationSettings),
    /// Endpoints that take HTTP calls as they are.
    Plain(PlainSettings),
}

/// A service of model engines.
#[derive(Debug, Clone, PartialEq)]
pub struct GenerationSettings {
    /// The weights.
    pub binding: ModelBinding,
    /// Tokens of prompt and output together.
    pub context_tokens: u64,
    /// How generations are guarded.
    pub policy: RelayPolicy,
}

/// A service of plain endpoints.
#[derive(Debug, Clone, PartialEq)]
pub struct PlainSettings {
    /// The path prefix that leads to it.
    pub prefix: Name,
    /// The methods whose calls may be repeated.
    pub repeatable_methods: Vec<Name>,
    /// How long a call may take.
    pub timeout: Duration,
}

impl PlainSettings {
    /// Whether calls by that method may be repeated.
    pub fn is_repeatable(&self, method: &str) -> bool {
        self.repeatable_methods.iter().any(|repeatable| repeatable.eq_ignore_ascii_case(method))
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum KindWord {
    Generation,
    Plain,
}

impl ServiceSettings {
    pub(super) fn read(mut reader: SectionReader<'_>) -> Option<Self> {
        let name = reader.name();
        let classes = &[("quick", RequestClass::Quick), ("long", RequestClass::Long)];
        let class = reader.required("class", value::choice(classes));
        let kinds = &[("generation", KindWord::Generation), ("plain", KindWord::Plain)];
        let kind = match reader.required("kind", value::choice(kinds)) {
            Some(KindWord::Generation) => read_generation(&mut reader).map(ServiceKind::Generation),
            Some(KindWord::Plain) => read_plain(&mut reader).map(ServiceKind::Plain),
            None => return None,
        };
        reader.finish();
        Some(Self { name, class: class?, kind: kind? })
    }
}

fn read_generation(reader: &mut SectionReader<'_>) -> Option<GenerationSettings> {
    const MILLI: Duration = Duration::from_millis(1);
    const MINUTE: Duration = Duration::from_mins(1);
    let span = || value::span(MILLI, MINUTE);
    let model = reader.required("model", value::name);
    let version = reader.required("version", value::name);
    let adapter = reader.optional("adapter", value::name);
    let context = reader.required("context", value::tokens(16, 1 << 24));
    let policies = &[("favour-latency", true), ("favour-work", false)];
    let is_hasty = reader.default("policy", true, value::choice(policies));
    let mut policy = if is_hasty { RelayPolicy::favour_latency() } else { RelayPolicy::favour_work() };
    policy.silence_floor = reader.default("silence_floor", policy.silence_floor, span());
    policy.silence_ceiling = reader.default("silence_ceiling", policy.silence_ceiling, span());
    policy.first_floor = reader.default("first_floor", policy.first_floor, span());
    policy.first_ceiling = reader.default("first_ceiling", policy.first_ceiling, span());
    policy.open_timeout = reader.default("open_timeout", policy.open_timeout, span());
    policy.probe_timeout = reader.default("probe_timeout", policy.probe_timeout, span());
    policy.reset_probe_timeout = reader.default("reset_probe_timeout", policy.reset_probe_timeout, span());
    policy.stall_limit = reader.default("stall_limit", policy.stall_limit, span());
    policy.resume_window = reader.default("resume_window", policy.resume_window, span());
    if policy.silence_floor > policy.silence_ceiling {
        reader.fault("silence_floor", "it is above `silence_ceiling`", "give a floor up to the ceiling");
    }
    if policy.first_floor > policy.first_ceiling {
        reader.fault("first_floor", "it is above `first_ceiling`", "give a floor up to the ceiling");
    }
    let mut binding = ModelBinding::new(model?, version?);
    binding.adapter = adapter;
    Some(GenerationSettings { binding, context_tokens: context?, policy })
}

fn read_plain(reader: &mut SectionReader<'_>) -> Option<PlainSettings> {
    const LEAST: Duration = Duration::from_millis(10);
    const MOST: Duration = Duration::from_mins(10);
    let prefix = reader.required("prefix", value::path);
    let repeatable = reader.default("repeatable", vec!["GET".into(), "HEAD".into()], value::names);
    let timeout = reader.default("timeout", Duration::from_secs(10), value::span(LEAST, MOST));
    Some(PlainSettings { prefix: prefix?, repeatable_methods: repeatable, timeout })
}
