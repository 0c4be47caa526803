//! The decision logic of hollyhook, as state machines without I/O, clocks or threads.
//!
//! Each state machine takes `(now, event)` and returns actions or an answer. The driver supplies the time, as a
//! [`TimePoint`], and a seeded source of random numbers. The daemon, the fuzz tests and the trace replay drive the same
//! code through this interface, which `docs/design/boundary.md` describes.

mod call;
mod capacity;
mod cursor;
mod demand;
mod error;
mod feed;
mod forward;
mod generation;
mod lease;
mod name;
mod origin;
mod pace;
mod path;
mod quarantine;
mod queue;
mod quota;
mod retry;
mod rollout;
mod route;
mod site;
mod stop;
mod stream;
mod terms;
mod time;
mod trace;

pub use call::{
    CallAction, CallEvent, CallGuard, CallOutcome, ClaimAction, ClaimAnswer, ClaimCommand, ClaimEvent, ClaimLedger,
    ClaimPolicy, ClaimRecord, ClaimRefusal, ClaimShard, ClaimVerdict,
};
pub use capacity::{CapacityGate, GateVerdict, UsageReading};
pub use cursor::{CursorKey, CursorSeal, StreamCursor};
pub use demand::{
    CollectorChoice, DemandBoard, DemandExchange, DemandLedger, DemandMessage, DemandReply, DemandRound, DemandShare,
    DemandSummary, DemandTotal, OverloadDetector, PaceReading, ServiceDemand, ZoneDemand, collector_order,
    service_capacity,
};
pub use error::{Answer, Error, ErrorKind, Result, RunState, answer_for};
pub use feed::{
    EraTracker, EraVerdict, FeedChange, FeedLog, FeedPlan, FeedTiming, FeedTopology, FeedUpdate, HostRecord,
    SkipReason, StoreContact, StoreLatency, StoreRevision, is_helper_stale, snapshot_limit,
};
pub use forward::{
    AnswerHead, AnswerVerdict, AttemptBasis, AttemptFailure, AttemptKey, AttemptLedger, AttemptRace, CallerHead,
    PromptSize, RaceClosure, RaceStep, StopReason, evaluate_answer,
};
pub use generation::{
    AttemptNumber, EndReason, EndpointRefusal, GenerationId, GenerationRelay, LatencyEstimator, OpenMode, PrefixDigest,
    ProbeReport, RelayAction, RelayCounter, RelayEvent, RelayPhase, RelayPolicy, StreamTimeouts, TokenLog,
};
pub use lease::{LeaseQuestion, LeaseRound, LeasedLimit};
pub use name::{AccountName, EndpointId, ModelBinding, Name, ZoneName};
pub use origin::{
    OriginAnswer, OriginCopy, OriginJournal, OriginLedger, OriginSnapshot, RecordTurn, RecordVerdict, ServiceSnapshot,
    ServiceVersions, SnapshotEvidence, SnapshotWriter, StreamKey, StreamOrigin, VersionRecord, origin_holders,
};
pub use pace::{EndpointPace, EngineSpeed, MigrationGate, MigrationPlan, PaceChange, ProgressMeter, ServicePace};
pub use path::{
    ConnectOrder, EndpointGroup, FrameBuffer, FrameError, FrameReader, FrameStep, PathMonitor, TunnelDirectory,
};
pub use quarantine::{
    CrashInquiry, CrashLedger, CrashRecord, CrashRecords, DigestError, EndpointFinding, QuarantineChange,
    RequestDigest, SpreadScope, SpreadStep, SuspectRequest, spread_plan, spread_through,
};
pub use queue::{DispatchRate, QueueLimits, QueueRefusal, QueueRequest, RequestQueue, RoomGate};
pub use quota::{QuotaLedger, QuotaLoan, QuotaPart, QuotaRound, QuotaTotals};
pub use retry::{ProbeAdmission, ProbeGate, ProbeRelease, ResumeGate, ResumeTicket, RetryBudget, RetryWindow};
pub use rollout::{
    AttemptEnd, LossMatcher, RolloutOrder, RolloutPlan, RolloutState, RolloutStep, TargetShare, TimeTally,
    TrialEvidence, VersionFault, VersionFilter, VersionOutcome, VersionTally, VersionVerdict, evaluate_version,
};
pub use route::{
    CapacityShortage, EndpointMembership, EndpointRecord, EndpointState, EndpointSubset, EndpointTable,
    EngineCandidate, EngineReport, EngineRun, HeldPromptPart, HolderLimits, HostPosition, ListedVersions, LoadReport,
    MAX_REPORT_AGE, MemoryForecast, PlacementRequest, PlacementVerdict, PromptPlacement, PromptRead, ReportCache,
    RouteQuery, choose_backup_engine, choose_engine, excess_wait, excess_wait_by_priority, has_holder,
    is_certain_choice, place_by_priority, place_held_prompt, time_to_first_event,
};
pub use site::{
    AccountConfig, AccountPriorities, CallerLimits, ConfigAdoption, EngineMemory, HostReadiness, ReadinessWait,
    RequestKind, RouteConfig, ServiceConfig, ServicePriorities, ServiceShare, SiteConfig, SiteIndex, SiteState,
};
pub use stop::{StopPhase, StopPlan};
pub use stream::{
    BodyEnd, EndVerdict, EventBatch, EventReader, EventSequencer, EventSplitter, LivenessChecker, LivenessVerdict,
    RawEvent, SequenceVerdict, SilenceWatch,
};
pub use terms::{AdvertisedTerms, RateShare, TermsTable};
pub use time::TimePoint;
pub use trace::{RelayTrace, TraceEnd, TraceLine, TraceOutcome, TraceReplay, TraceStart};
