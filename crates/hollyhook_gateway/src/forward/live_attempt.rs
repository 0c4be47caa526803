use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hollyhook_core::{AttemptFailure, EventReader, EventSequencer, ProgressMeter, TimePoint};
use http_body_util::BodyExt;

use super::attempt::{EndpointSlot, OpenResponse};
use super::attempt_times::AttemptTimes;
use super::backup_replicator::BackupReplicator;
use super::crash_check::{SURVIVAL_TIME, record_running};
use super::liveness_watch::LivenessWatch;
use crate::front::CallerRequest;
use crate::gateway::{GatewayContext, SurvivingRun};

/// Minimum number of events for which the mean gap between them is recorded.
const GAP_EVENTS: u32 = 8;

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
    /// Present once the attempt has sent events for long enough to show that its request crashes no endpoint.
    run: Option<SurvivingRun>,
}

/// Result of reading the next events of an attempt.
pub(super) enum ReadResult {
    /// Whole events for the caller.
    Bytes(Bytes),
    /// The response body ended, and the caller has the whole stream.
    Complete,
    /// The attempt failed and sends no more events.
    Failure(AttemptFailure),
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
            run: None,
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

    /// Waits for the next whole events that the caller does not have yet.
    pub(super) async fn next_events(
        &mut self,
        context: &Arc<GatewayContext>,
        caller: &CallerRequest,
        sequencer: &mut EventSequencer,
    ) -> ReadResult {
        let mut watch = if self.first_event_at.is_some() {
            LivenessWatch::between_events()
        } else {
            LivenessWatch::before_first(caller.head.prompt.unwrap_or_default().prompt_tokens)
        };
        loop {
            if let Some(bytes) = self.take_events(sequencer, context.timer.now()) {
                self.check_survival(context, caller);
                return ReadResult::Bytes(bytes);
            }
            if self.reader.is_faulty() {
                return ReadResult::Failure(AttemptFailure::Garbled);
            }
            let limit = watch.limit(caller.time_left(context.timer.now()));
            match context.timer.within(limit, self.response.body.frame()).await {
                Some(Some(Ok(frame))) => {
                    self.record_heard(context);
                    if let Ok(data) = frame.into_data() {
                        self.reader.feed(&data);
                    }
                }
                Some(Some(Err(_error))) => return ReadResult::Failure(AttemptFailure::Broken),
                Some(None) if self.reader.has_whole_stream(sequencer) => return ReadResult::Complete,
                Some(None) => return ReadResult::Failure(AttemptFailure::Garbled),
                None => {
                    let delivered = self.delivered(sequencer);
                    if let Err(failure) = watch.check(context, caller, &self.slot.target, delivered).await {
                        return ReadResult::Failure(failure);
                    }
                }
            }
        }
    }

    fn record_heard(&self, context: &GatewayContext) {
        if !self.response.connection.is_tunnel() {
            context.paths.record_heard(&self.slot.target);
        }
    }

    fn check_survival(&mut self, context: &Arc<GatewayContext>, caller: &CallerRequest) {
        if self.run.is_none() && self.event_span(context.timer.now()) >= SURVIVAL_TIME {
            self.run = record_running(context, caller);
        }
    }

    /// Events that the caller has, for comparison with the count in the engine's report; zero before the first event of
    /// this attempt.
    fn delivered(&self, sequencer: &EventSequencer) -> u64 {
        if self.first_event_at.is_some() { sequencer.last().unwrap_or(0).max(sequencer.delivered()) } else { 0 }
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
