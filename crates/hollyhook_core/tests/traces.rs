//! Replays recorded traces and compares the outcomes with those that the traces expect.

use std::path::Path;

use hollyhook_core::RelayTrace;

fn replay_trace(path: &Path) -> datatest_stable::Result<()> {
    let trace: RelayTrace = std::fs::read_to_string(path)?.parse()?;
    let replay = trace.replay()?;
    assert_eq!(Some(&replay.outcome), trace.expected_outcome(), "{:#?}", replay.actions);
    Ok(())
}

datatest_stable::harness! {
    { test = replay_trace, root = "tests/traces", pattern = r"\.jsonl$" },
}
