use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

use hollyhook_core::{GenerationId, Name, RelayTrace};

/// Bytes of traces that are kept.
const MAX_BYTES: usize = 16 << 20;

/// The traces of the last generations, the oldest forgotten first. A host keeps nothing else of them.
#[derive(Debug, Default)]
pub(crate) struct TraceStore {
    kept: Mutex<KeptTraces>,
}

#[derive(Debug, Default)]
struct KeptTraces {
    traces: VecDeque<(GenerationId, Name)>,
    bytes: usize,
}

impl TraceStore {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "traces";

    /// Keeps a trace with what came of it; one that is larger than the store is dropped.
    pub(crate) fn keep(&self, generation: GenerationId, mut trace: RelayTrace) {
        if trace.record_outcome().is_err() {
            return;
        }
        let text = Name::from(trace.to_string());
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        kept.bytes += text.len();
        kept.traces.push_back((generation, text));
        while kept.bytes > MAX_BYTES
            && let Some((_, oldest)) = kept.traces.pop_front()
        {
            kept.bytes -= oldest.len();
        }
    }

    /// The newest trace of a generation.
    pub(crate) fn find(&self, generation: GenerationId) -> Option<Name> {
        let kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let found = kept.traces.iter().rev().find(|(id, _)| *id == generation);
        found.map(|(_, text)| Name::clone(text))
    }
}
