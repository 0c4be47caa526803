/// The end of the body of an engine's stream, as far as it may be the engine's statement that the stream is complete.
///
/// ```
/// use hollyhook_core::{BodyEnd, EndVerdict};
///
/// let end = BodyEnd { is_stated: false, is_stop_ordered: false };
/// assert_eq!(end.verdict(), EndVerdict::Unproven);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyEnd {
    /// Whether the engine stated the end by a length or by a last chunk, rather than by closing its connection.
    pub is_stated: bool,
    /// Whether the engine has been ordered to stop the run. It then closes the connection before the stream's end.
    pub is_stop_ordered: bool,
}

/// What the end of a body says about the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndVerdict {
    /// The stream is complete.
    Complete,
    /// The stream is complete if the engine's process lives: the kernel closes the connections of one that was killed
    /// in the same way.
    Unproven,
    /// The engine stopped the run.
    Stopped,
}

impl BodyEnd {
    /// What the end of the body says about the stream.
    pub fn verdict(self) -> EndVerdict {
        if self.is_stated {
            EndVerdict::Complete
        } else if self.is_stop_ordered {
            EndVerdict::Stopped
        } else {
            EndVerdict::Unproven
        }
    }
}
