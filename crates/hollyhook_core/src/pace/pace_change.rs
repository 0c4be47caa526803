/// An endpoint's change from the usual pace to a slow one or back, to be logged.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PaceChange {
    /// Whether the endpoint now counts as slow; otherwise its pace is usual again.
    pub is_slow: bool,
    /// The endpoint's pace; 2.0 takes twice the usual time.
    pub pace: f64,
    /// The weight of the measured times that the pace is based on, about the number of recent samples.
    pub samples: f64,
    /// The percentage that the endpoint last reported itself; `None` if it reported none.
    pub reported_percent: Option<u32>,
}
