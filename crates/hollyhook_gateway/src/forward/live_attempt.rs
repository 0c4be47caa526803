use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hollyhook_core::{EventReader, EventSequencer, ProgressMeter, PromptRead, TimePoint};

use super::attempt::{EndpointSlot, OpenResponse};
use super::attempt_times::AttemptTimes;
use super::backup_replicator::BackupReplicator;
use super::crash_check::record_running;
use crate::front::CallerRequest;
use crate::gateway::{GatewayContext, SurvivingRun};

/// Minimum number of events for which the mean gap between them is recorded.
const GAP_EVENTS: u32 = 8;

/// Longest time between two reads of a caller for which the times of events are samples. After a longer one, events
/// have waited at the engine or in transit, and their times do not show the engine's pace.
const MAX_CALLER_PAUSE: Duration = Duration::from_millis(10);

/// Minimum time between two records that an engine has been heard.
const HEARD_INTERVAL: Duration = Duration::from_millis(100);

/// How an attempt was started.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptStart {
    pub(super) sent_at: TimePoint,
    /// Whether the attempt begins the generation rather than resuming it.
    pub(super) is_first: bool,
}

/// An attempt whose events are being forwarded to the caller.
pub(super) struct LiveAttempt {
    pub(super) slot: EndpointSlot,
    pub(super) response: OpenResponse,
    pub(super) replicator: Option<BackupReplicator>,
    pub(super) meter: ProgressMeter,
    reader: EventReader,
    start: AttemptStart,
    first_event_at: Option<TimePoint>,
    last_event_at: Option<TimePoint>,
    events: u32,
    /// When it was last recorded that the engine has been heard.
    heard_at: Option<TimePoint>,
    /// The first event since the last sample of the time between events, and the number of events after it.
    sampled: Option<(TimePoint, u32)>,
    /// Present once the attempt has sent events for a second.
    run: Option<SurvivingRun>,
    /// For how many seconds the attempt must have sent events to be recorded as running for so long; doubles each time.
    next_run_seconds: u64,
}

/// What an attempt has sent since its last events were taken.
#[derive(Debug, Default)]
pub(super) struct AttemptProgress {
    /// Whole events that the caller does not have yet.
    pub(super) bytes: Option<Bytes>,
    /// Whether the attempt has sent an event, perhaps one that the caller has already.
    pub(super) has_advanced: bool,
}

impl LiveAttempt {
    pub(super) fn new(
        slot: EndpointSlot,
        response: OpenResponse,
        replicator: Option<BackupReplicator>,
        start: AttemptStart,
    ) -> Self {
        Self {
            slot,
            response,
            replicator,
            meter: ProgressMeter::default(),
            reader: EventReader::default(),
            start,
            first_event_at: None,
            last_event_at: None,
            events: 0,
            heard_at: None,
            sampled: None,
            run: None,
            next_run_seconds: 1,
        }
    }

    /// Durations of this attempt that are comparable with those of other attempts.
    pub(super) fn times(&self, now: TimePoint) -> AttemptTimes {
        let first = self.first_event_at.unwrap_or(now).since(self.start.sent_at);
        let span = self.first_event_at.zip(self.last_event_at).map(|(first, last)| last.since(first));
        let gap = span.filter(|_| self.events >= GAP_EVENTS).map(|span| span / (self.events - 1));
        // A resumed generation prefills less of its prompt, so that its first event is not comparable.
        AttemptTimes { first: Some(first).filter(|_| self.start.is_first), gap }
    }

    /// Takes the whole events that have arrived, after the body has yielded `data`.
    pub(super) fn receive(
        &mut self,
        context: &Arc<GatewayContext>,
        caller: &CallerRequest,
        sequencer: &mut EventSequencer,
        data: &[u8],
    ) -> AttemptProgress {
        let now = context.timer.now();
        if !self.response.connection.is_tunnel() {
            context.paths.record_heard(&self.slot.target);
        }
        self.reader.feed(data);
        let (is_begun, known_events) = (self.first_event_at.is_some(), self.events);
        let bytes = self.take_events(sequencer, now);
        if self.events > known_events {
            self.record_alive(context, now);
        }
        if bytes.is_some() {
            if !is_begun {
                self.record_read(context, caller);
            }
            self.record_event_time(context);
            self.check_run(context, caller);
        }
        AttemptProgress { bytes, has_advanced: self.events > known_events }
    }

    /// Whether the attempt sent something that can't follow the events that the caller has.
    pub(super) fn is_faulty(&self) -> bool {
        self.reader.is_faulty()
    }

    /// Whether the attempt has sent bytes since the last event that carried it on.
    pub(super) fn has_idle_bytes(&self) -> bool {
        self.reader.has_idle_bytes()
    }

    /// When the request was sent.
    pub(super) fn sent_at(&self) -> TimePoint {
        self.start.sent_at
    }

    /// Whether the caller has the whole stream if the body ends here.
    pub(super) fn has_whole_stream(&self, sequencer: &EventSequencer) -> bool {
        self.reader.has_whole_stream(sequencer)
    }

    fn record_alive(&mut self, context: &GatewayContext, now: TimePoint) {
        if self.heard_at.is_none_or(|at| now.since(at) >= HEARD_INTERVAL) {
            self.heard_at = Some(now);
            context.endpoints.record_event(self.slot.id());
        }
    }

    /// Discards the current sample of the time between events if the caller paused for longer than
    /// `MAX_CALLER_PAUSE`.
    pub(super) fn drop_sample_after_pause(&mut self, now: TimePoint) {
        if self.last_event_at.is_some_and(|last| now.since(last) > MAX_CALLER_PAUSE) {
            self.sampled = None;
        }
    }

    /// Records how long the engine took to read the prompt.
    fn record_read(&self, context: &GatewayContext, caller: &CallerRequest) {
        if let Some(first) = self.first_event_at.filter(|_| self.start.is_first) {
            let tokens = caller.head.prompt.unwrap_or_default().prompt_tokens;
            let read = PromptRead { took: first.since(self.start.sent_at), tokens, load: self.response.head.load };
            context.endpoints.record_read(self.slot.id(), read);
        }
    }

    /// Records the mean time between the last events as a sample of the engine's pace.
    fn record_event_time(&mut self, context: &GatewayContext) {
        let Some((first, count)) = self.sampled.filter(|(_, count)| *count >= GAP_EVENTS) else {
            return;
        };
        if let Some(last) = self.last_event_at {
            context.endpoints.record_event_time(self.slot.id(), last.since(first) / count);
            self.sampled = Some((last, 0));
        }
    }

    /// Records how long the whole stream took after its first event.
    pub(super) fn record_run(&self, context: &GatewayContext) {
        if let Some((first, last)) = self.first_event_at.zip(self.last_event_at).filter(|_| self.events >= GAP_EVENTS) {
            context.endpoints.record_run(self.slot.id(), last.since(first));
        }
    }

    fn check_run(&mut self, context: &Arc<GatewayContext>, caller: &CallerRequest) {
        if self.event_span(context.timer.now()) >= Duration::from_secs(self.next_run_seconds) {
            record_running(context, caller, &mut self.run, self.next_run_seconds);
            self.next_run_seconds *= 2;
        }
    }

    /// Events that the caller has, for comparison with the count in the engine's report; zero before the first event of
    /// this attempt.
    pub(super) fn delivered(&self, sequencer: &EventSequencer) -> u64 {
        if self.first_event_at.is_some() { sequencer.last().unwrap_or(0).max(sequencer.delivered()) } else { 0 }
    }

    /// Whether the attempt has sent an event.
    pub(super) fn has_begun(&self) -> bool {
        self.first_event_at.is_some()
    }

    /// Time since the first event of the attempt; zero before it.
    pub(super) fn event_span(&self, now: TimePoint) -> Duration {
        self.first_event_at.map_or(Duration::ZERO, |first| now.since(first))
    }

    /// Takes the buffered whole events and returns those that the caller does not have yet.
    fn take_events(&mut self, sequencer: &mut EventSequencer, now: TimePoint) -> Option<Bytes> {
        let batch = self.reader.take_events(sequencer);
        if batch.received > 0 {
            self.first_event_at.get_or_insert(now);
            self.last_event_at = Some(now);
            self.events += batch.received;
            self.meter.record(now, batch.received);
            self.sampled = Some(self.sampled.map_or((now, 0), |(first, count)| (first, count + batch.received)));
        }
        join(batch.events)
    }
}

fn join(events: Vec<Bytes>) -> Option<Bytes> {
    let mut events = events.into_iter();
    let first = events.next()?;
    if events.len() == 0 {
        return Some(first);
    }
    let mut joined = BytesMut::from(first);
    for event in events {
        joined.extend_from_slice(&event);
    }
    Some(joined.freeze())
}
