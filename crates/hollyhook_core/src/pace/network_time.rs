use std::time::Duration;

/// The time that a round trip to the endpoints of a zone takes.
///
/// Measured by exchanges in which endpoints do little work. Shorter exchanges have more weight, since longer ones may
/// include a wait at the endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct NetworkTime {
    measured: Option<Duration>,
}

impl NetworkTime {
    /// Weight of an exchange that took longer than estimated.
    const RISE_GAIN: f64 = 0.1;
    /// Weight of an exchange that took less time than estimated.
    const FALL_GAIN: f64 = 0.5;

    /// Adds the time of an exchange.
    pub(crate) fn add(&mut self, took: Duration) {
        let known = self.measured.unwrap_or(took);
        let gain = if took > known { Self::RISE_GAIN } else { Self::FALL_GAIN };
        self.measured = Some(known.mul_f64(1.0 - gain) + took.mul_f64(gain));
    }

    /// The estimate; zero without an exchange.
    pub(crate) fn estimate(&self) -> Duration {
        self.measured.unwrap_or_default()
    }
}
