use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

use hollyhook_core::{GenerationId, Name, RelayTrace};

/// Maximum total size of the stored traces, in bytes.
const MAX_BYTES: usize = 16 << 20;

/// The traces of the most recent generations; the oldest are evicted first.
///
/// A host keeps no other record of a generation that has ended.
#[derive(Debug, Default)]
pub(crate) struct TraceStore {
    buffer: Mutex<TraceBuffer>,
}

#[derive(Debug, Default)]
struct TraceBuffer {
    traces: VecDeque<(GenerationId, Name)>,
    bytes: usize,
}

impl TraceStore {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "traces";

    /// Stores a trace with its outcome; a trace larger than the store is dropped, along with all others.
    pub(crate) fn store(&self, generation: GenerationId, mut trace: RelayTrace) {
        if trace.record_outcome().is_err() {
            return;
        }
        let text = Name::from(trace.to_string());
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        buffer.bytes += text.len();
        buffer.traces.push_back((generation, text));
        while buffer.bytes > MAX_BYTES
            && let Some((_, oldest)) = buffer.traces.pop_front()
        {
            buffer.bytes -= oldest.len();
        }
    }

    /// The newest stored trace of a generation.
    pub(crate) fn find(&self, generation: GenerationId) -> Option<Name> {
        let buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        let newest = buffer.traces.iter().rev().find(|(id, _)| *id == generation);
        newest.map(|(_, text)| Name::clone(text))
    }
}
