/// Ranks by which an attempt that has next to nothing to read goes before its like.
const READ_LEAD: u8 = 1;

/// The rank of an attempt, 0 first, given that of its request.
///
/// Answers the load after a loss, when generations that go on queue behind prompts that begin: an engine reads those
/// one after another, a second each. What has been read already delays them by a few milliseconds, while its own caller
/// sees a pause in the middle of an answer.
pub fn attempt_rank(rank: u8, is_read: bool) -> u8 {
    if is_read { rank.saturating_sub(READ_LEAD) } else { rank }
}
