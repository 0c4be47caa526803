//! The decisions of hollyhook, as state machines without input, output, clock or thread.
//!
//! Every part takes `(now, event)` and returns actions or an answer. Time is a [`TimePoint`] that the driver
//! supplies, random numbers come from a seeded source that the driver supplies. The daemon, the fuzz tests and
//! the trace replay drive the same code through this boundary; `docs/design/boundary.md` describes it.

mod call;
mod cursor;
mod error;
mod feed;
mod forward;
mod generation;
mod name;
mod quarantine;
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
pub use cursor::{CursorKey, CursorSeal, StreamCursor};
pub use error::{Answer, Error, ErrorKind, Result, RunState, answer_for};
pub use feed::{
    EraLedger, EraVerdict, FeedChange, FeedLog, FeedNews, FeedPlan, FeedRoster, FeedTiming, PassReason, RosterMember,
    StoreContact, StoreRevision, is_stale_help, most_told,
};
pub use forward::{
    AnswerHead, AnswerVerdict, AttemptFailure, AttemptLedger, CallerHead, PromptSize, StopReason, judge_answer,
};
pub use generation::{
    AttemptNumber, EndReason, EndpointRefusal, EndpointRhythm, GenerationId, GenerationRelay, OpenMode, Patience,
    PrefixDigest, ProbeReport, RelayAction, RelayEvent, RelayNote, RelayPhase, RelayPolicy, TokenLog,
};
pub use name::{AccountName, EndpointId, ModelBinding, Name, ZoneName};
pub use quarantine::{CrashLedger, CrashRecord, CrashRecords, DigestError, QuarantineChange, RequestDigest};
pub use retry::{ProbeAdmission, ProbeGate, ProbeRelease, ResumeGate, ResumeTicket, RetryBudget, RetryWindow};
pub use rollout::{
    RolloutOrder, RolloutPlan, RolloutState, RolloutStep, TargetShare, TimeTally, TrialEvidence, VersionFault,
    VersionFilter, VersionTally, VersionVerdict, evaluate_version,
};
pub use route::{
    EndpointMembership, EndpointRecord, EndpointState, EndpointSubset, EndpointTable, EngineCandidate, EngineReport,
    EngineRun, HeldPart, HeldPlacement, HomeCounts, LoadReport, REPORT_AGE, RouteQuery, choose_copy, choose_engine,
    excess_wait, expected_first, has_holder, is_settled, place_held,
};
pub use site::{
    AccountPlan, CallerLimits, EngineMemory, PlanAdoption, RequestKind, RoutePlan, ServicePlan, ServiceShare,
    SiteIndex, SiteLedger, SitePlan,
};
pub use stop::{StopPhase, StopPlan};
pub use stream::{EventCutter, EventPiece, EventRelay, PieceVerdict, SilenceJudge, SilenceVerdict};
pub use terms::{RateShare, StatedTerms, TermsLedger};
pub use time::TimePoint;
pub use trace::{RelayTrace, TraceEnd, TraceLine, TraceOutcome, TraceRun, TraceStart};
