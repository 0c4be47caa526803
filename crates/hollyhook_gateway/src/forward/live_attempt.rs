use std::collections::VecDeque;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hollyhook_core::{AttemptFailure, EventSequencer, EventSplitter, SequenceVerdict, TimePoint};
use http_body_util::BodyExt;

use super::attempt::{EndpointPlace, OpenAnswer};
use super::backup_keeper::BackupKeeper;
use super::silence_watch::SilenceWatch;
use super::version_note::VersionTimes;
use crate::front::CallerRequest;
use crate::gateway::GatewayContext;

/// Events from which on the mean gap between them says something.
const GAP_EVENTS: u32 = 8;

/// How an attempt began.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptStart {
    pub(super) sent_at: TimePoint,
    /// Whether it begins the generation, rather than going on with it.
    pub(super) is_first: bool,
}

/// One attempt whose events are being passed on.
pub(super) struct LiveAttempt {
    pub(super) place: EndpointPlace,
    pub(super) answer: OpenAnswer,
    pub(super) keeper: Option<BackupKeeper>,
    cutter: EventSplitter,
    start: AttemptStart,
    first_event_at: Option<TimePoint>,
    last_event_at: Option<TimePoint>,
    events: u32,
}

/// What comes next of an attempt.
pub(super) enum PieceEnd {
    /// Whole events for the caller.
    Bytes(Bytes),
    /// The stream's end.
    Complete,
    /// Nothing more.
    Failure(AttemptFailure),
}

impl LiveAttempt {
    pub(super) fn new(
        place: EndpointPlace,
        answer: OpenAnswer,
        keeper: Option<BackupKeeper>,
        start: AttemptStart,
    ) -> Self {
        Self {
            place,
            answer,
            keeper,
            cutter: EventSplitter::default(),
            start,
            first_event_at: None,
            last_event_at: None,
            events: 0,
        }
    }

    /// How long it has taken, as far as other attempts can be compared with it.
    pub(super) fn times(&self, now: TimePoint) -> VersionTimes {
        let first = self.first_event_at.unwrap_or(now).since(self.start.sent_at);
        let span = self.first_event_at.zip(self.last_event_at).map(|(first, last)| last.since(first));
        let gap = span.filter(|_| self.events >= GAP_EVENTS).map(|span| span / (self.events - 1));
        // What goes on elsewhere reads less of its prompt.
        VersionTimes { first: Some(first).filter(|_| self.start.is_first), gap }
    }

    /// The next whole events that the caller does not have.
    pub(super) async fn next_piece(
        &mut self,
        context: &GatewayContext,
        caller: &CallerRequest,
        relay: &mut EventSequencer,
    ) -> PieceEnd {
        let mut watch = if self.first_event_at.is_some() {
            SilenceWatch::between_events()
        } else {
            SilenceWatch::before_first(caller.head.prompt.unwrap_or_default().prompt_tokens)
        };
        loop {
            if let Some(end) = self.drain_cutter(relay, context.timer.now()) {
                return end;
            }
            let limit = watch.limit(caller.time_left(context.timer.now()));
            match context.timer.within(limit, self.answer.body.frame()).await {
                Some(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        self.cutter.feed(&data);
                    }
                }
                Some(Some(Err(_error))) => return PieceEnd::Failure(AttemptFailure::Broken),
                Some(None) if self.cutter.has_partial_event() => return PieceEnd::Failure(AttemptFailure::Garbled),
                Some(None) => return PieceEnd::Complete,
                None => {
                    let delivered = self.delivered(relay);
                    if let Err(failure) = watch.check(context, caller, &self.place.target, delivered).await {
                        return PieceEnd::Failure(failure);
                    }
                }
            }
        }
    }

    /// The number of the last event of this attempt that came, as far as it can be compared with what the engine made.
    fn delivered(&self, relay: &EventSequencer) -> u64 {
        if self.first_event_at.is_some() { relay.last().unwrap_or(0).max(relay.delivered()) } else { 0 }
    }

    /// For how long it has sent events.
    pub(super) fn event_span(&self, now: TimePoint) -> Duration {
        self.first_event_at.map_or(Duration::ZERO, |first| now.since(first))
    }

    /// What the caller gets of the events that are whole.
    fn drain_cutter(&mut self, relay: &mut EventSequencer, now: TimePoint) -> Option<PieceEnd> {
        let mut ready = VecDeque::new();
        while let Some(piece) = self.cutter.next_event() {
            self.first_event_at.get_or_insert(now);
            self.last_event_at = Some(now);
            self.events += 1;
            match relay.classify(&piece) {
                SequenceVerdict::Deliver => ready.push_back(piece.bytes),
                SequenceVerdict::Drop => {}
                SequenceVerdict::Gap if ready.is_empty() => return Some(PieceEnd::Failure(AttemptFailure::Garbled)),
                // What came before the gap is delivered; the attempt is left when it is asked again.
                SequenceVerdict::Gap => break,
            }
        }
        if self.cutter.is_oversized() {
            return Some(PieceEnd::Failure(AttemptFailure::Garbled));
        }
        join(ready).map(PieceEnd::Bytes)
    }
}

fn join(mut pieces: VecDeque<Bytes>) -> Option<Bytes> {
    let first = pieces.pop_front()?;
    if pieces.is_empty() {
        return Some(first);
    }
    let mut joined = BytesMut::from(first);
    for piece in pieces {
        joined.extend_from_slice(&piece);
    }
    Some(joined.freeze())
}
