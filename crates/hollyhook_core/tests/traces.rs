//! Recorded traces, replayed against the outcomes that they state.

use std::path::Path;

use hollyhook_core::RelayTrace;

fn replay_trace(path: &Path) -> datatest_stable::Result<()> {
    let trace: RelayTrace = std::fs::read_to_string(path)?.parse()?;
    let run = trace.replay()?;
    assert_eq!(Some(&run.outcome), trace.expected_outcome(), "{:#?}", run.actions);
    Ok(())
}

datatest_stable::harness! {
    { test = replay_trace, root = "tests/traces", pattern = r"\.jsonl$" },
}
