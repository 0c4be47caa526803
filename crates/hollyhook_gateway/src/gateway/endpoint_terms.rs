use hollyhook_core::{AdvertisedTerms, EndpointId, HostPosition, TimePoint};

use super::EndpointDirectory;

/// The terms on which endpoints accept requests, as their answers advertise them.
impl EndpointDirectory {
    /// Applies the terms that an endpoint advertised in an answer.
    pub(crate) fn apply_terms(&self, id: &EndpointId, terms: AdvertisedTerms) {
        if terms.is_leaving {
            self.record_leaving(id);
        }
        let now = self.timer.now();
        let hosts = self.feed.host_count().unwrap_or(HostPosition::UNLISTED_COUNT);
        if let Some(rate) = terms.rate_limit
            && self.table().terms_mut().set_rate_limit(now, id, rate, hosts, &mut rand::rng())
        {
            tracing::info!(endpoint = %id, rate, hosts, "endpoint.rate_limit");
        }
        if let Some(limit) = terms.brittle_limit
            && self.table().terms_mut().set_brittle(now, id, limit, hosts, &mut rand::rng())
        {
            tracing::info!(endpoint = %id, limit, hosts, "endpoint.brittle");
        }
        if terms.rate_limit.is_some() || terms.brittle_limit.is_some() {
            self.table().apply_share(now, id);
        }
        if let Some(span) = terms.pause
            && self.table().terms_mut().extend_pause(now, id, span)
        {
            self.recorder.count("endpoint_pauses");
            tracing::info!(endpoint = %id, pause_ms = span.as_millis() as u64, "endpoint.pause");
        }
    }

    /// Ends the terms that the answer of an endpoint to a caller's request, sent at `sent_at`, no longer advertises.
    ///
    /// Answers to this host's own probes never advertise them, and must not end any.
    pub(crate) fn end_terms(&self, id: &EndpointId, terms: AdvertisedTerms, sent_at: TimePoint) {
        if terms.rate_limit.is_none() && self.table().terms_mut().clear_rate_limit(id, sent_at) {
            tracing::info!(endpoint = %id, "endpoint.unlimited");
        }
        if terms.brittle_limit.is_none() && self.table().terms_mut().clear_brittle(id, sent_at) {
            tracing::info!(endpoint = %id, "endpoint.robust");
        }
    }
}
