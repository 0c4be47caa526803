use std::time::Duration;

use hollyhook_core::{ModelBinding, Name, RelayPolicy};

use crate::file::SectionReader;
use crate::value;

/// Class of a service's requests, which determines their priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestClass {
    /// Short answers that callers wait for.
    Quick,
    /// Long generations.
    Long,
}

impl RequestClass {
    /// Returns the class's name.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Quick => "quick",
            Self::Long => "long",
        }
    }

    /// Returns the priority of the class's requests at an endpoint, 0 the highest.
    pub const fn priority(self) -> u8 {
        match self {
            Self::Quick => 0,
            Self::Long => 1,
        }
    }
}

/// A service that callers can use.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSettings {
    /// Its name.
    pub name: Name,
    /// The class of its requests.
    pub class: RequestClass,
    /// Its kind, with the settings specific to the kind.
    pub kind: ServiceKind,
}

/// Kind of a service.
#[derive(Debug, Clone, PartialEq)]
pub enum ServiceKind {
    /// Model engines.
    Generation(GenerationSettings),
    /// Plain HTTP endpoints, to which calls are forwarded with their method, path, query and body unchanged.
    Plain(PlainSettings),
}

/// Settings of a service of model engines.
#[derive(Debug, Clone, PartialEq)]
pub struct GenerationSettings {
    /// The model, its version and its adapter.
    pub binding: ModelBinding,
    /// Maximum number of prompt and output tokens together.
    pub context_tokens: u64,
    /// Timeouts by which failed attempts are detected and replaced.
    pub policy: RelayPolicy,
}

/// Settings of a service of plain endpoints.
#[derive(Debug, Clone, PartialEq)]
pub struct PlainSettings {
    /// Prefix of the request paths that are routed to the service.
    pub prefix: Name,
    /// HTTP methods whose calls may be sent again after a failed attempt.
    pub repeatable_methods: Vec<Name>,
    /// Timeout of a call, including all its attempts.
    pub timeout: Duration,
}

impl PlainSettings {
    /// Returns whether calls of an HTTP method may be sent again; ignores case.
    pub fn is_repeatable(&self, method: &str) -> bool {
        self.repeatable_methods.iter().any(|repeatable| repeatable.eq_ignore_ascii_case(method))
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum KindChoice {
    Generation,
    Plain,
}

impl ServiceSettings {
    pub(super) fn read(mut reader: SectionReader<'_>) -> Option<Self> {
        let name = reader.name();
        let classes = &[("quick", RequestClass::Quick), ("long", RequestClass::Long)];
        let class = reader.required("class", value::choice(classes));
        let kinds = &[("generation", KindChoice::Generation), ("plain", KindChoice::Plain)];
        let kind = match reader.required("kind", value::choice(kinds)) {
            Some(KindChoice::Generation) => read_generation(&mut reader).map(ServiceKind::Generation),
            Some(KindChoice::Plain) => read_plain(&mut reader).map(ServiceKind::Plain),
            None => return None,
        };
        reader.finish();
        Some(Self { name, class: class?, kind: kind? })
    }
}

fn read_generation(reader: &mut SectionReader<'_>) -> Option<GenerationSettings> {
    const MILLISECOND: Duration = Duration::from_millis(1);
    const MINUTE: Duration = Duration::from_mins(1);
    let timeout_range = || value::duration(MILLISECOND, MINUTE);
    let model = reader.required("model", value::name);
    let version = reader.required("version", value::name);
    let adapter = reader.optional("adapter", value::name);
    let context = reader.required("context", value::tokens(16, 1 << 24));
    let policies = &[("favour-latency", true), ("favour-work", false)];
    let is_latency_favoured = reader.with_default("policy", true, value::choice(policies));
    let mut policy = if is_latency_favoured { RelayPolicy::favour_latency() } else { RelayPolicy::favour_work() };
    policy.silence_floor = reader.with_default("silence_floor", policy.silence_floor, timeout_range());
    policy.silence_ceiling = reader.with_default("silence_ceiling", policy.silence_ceiling, timeout_range());
    policy.first_floor = reader.with_default("first_floor", policy.first_floor, timeout_range());
    policy.first_ceiling = reader.with_default("first_ceiling", policy.first_ceiling, timeout_range());
    policy.open_timeout = reader.with_default("open_timeout", policy.open_timeout, timeout_range());
    policy.probe_timeout = reader.with_default("probe_timeout", policy.probe_timeout, timeout_range());
    policy.reset_probe_timeout =
        reader.with_default("reset_probe_timeout", policy.reset_probe_timeout, timeout_range());
    policy.stall_limit = reader.with_default("stall_limit", policy.stall_limit, timeout_range());
    policy.resume_window = reader.with_default("resume_window", policy.resume_window, timeout_range());
    if policy.silence_floor > policy.silence_ceiling {
        reader.report("silence_floor", "the floor is above `silence_ceiling`", "give a floor up to the ceiling");
    }
    if policy.first_floor > policy.first_ceiling {
        reader.report("first_floor", "the floor is above `first_ceiling`", "give a floor up to the ceiling");
    }
    let mut binding = ModelBinding::new(model?, version?);
    binding.adapter = adapter;
    Some(GenerationSettings { binding, context_tokens: context?, policy })
}

fn read_plain(reader: &mut SectionReader<'_>) -> Option<PlainSettings> {
    const MIN: Duration = Duration::from_millis(10);
    const MAX: Duration = Duration::from_mins(10);
    let prefix = reader.required("prefix", value::path_prefix);
    let repeatable_methods = reader.with_default("repeatable", vec!["GET".into(), "HEAD".into()], value::names);
    let timeout = reader.with_default("timeout", Duration::from_secs(10), value::duration(MIN, MAX));
    Some(PlainSettings { prefix: prefix?, repeatable_methods, timeout })
}
