use super::EndpointTable;
use super::silence_record::SilenceRecord;
use crate::{EndpointId, Name, TimePoint, ZoneName};

/// The number of endpoints that must be silent at once for the silence to count as widespread.
const MIN_WIDESPREAD: usize = 3;

/// Which endpoints of this host's table are silent.
impl EndpointTable {
    /// Records that an endpoint sent nothing in time, which ejects the endpoint until it is heard again or the ejection
    /// ends; returns whether it was not known to be silent.
    pub fn record_silence(&mut self, now: TimePoint, id: &str) -> bool {
        self.record_suspicion(now, id, |silence| silence.add_silence(now))
    }

    /// Records that a run at an endpoint makes no progress although the endpoint answers, which ejects the endpoint until
    /// it sends an event or the ejection ends; returns whether this was not known.
    pub fn record_stall(&mut self, now: TimePoint, id: &str) -> bool {
        self.record_suspicion(now, id, |silence| silence.add_stall(now))
    }

    fn record_suspicion(&mut self, now: TimePoint, id: &str, add: impl FnOnce(&mut SilenceRecord) -> bool) -> bool {
        let Some(record) = self.get_mut(id) else {
            return false;
        };
        let is_new = add(&mut record.silence);
        if !record.is_ejected(now) {
            record.add_failure(now);
        }
        if is_new {
            let (zone, id) = (ZoneName::clone(&record.zone), EndpointId::clone(&record.id));
            self.record_zone_failure(now, zone, &id);
        }
        is_new
    }

    /// Records that an endpoint answered; returns whether this ends a silence, and with it the ejection.
    ///
    /// The end of one silence among many shows that their common cause has passed: it ends the ejections of the other
    /// silent endpoints too.
    pub fn record_heard(&mut self, now: TimePoint, id: &str) -> bool {
        self.record_sign(now, id, |silence| silence.add_answer(now))
    }

    /// Records that an endpoint sent an event of a stream; returns whether this ends a silence or a stall, and with it the
    /// ejection.
    pub fn record_event(&mut self, now: TimePoint, id: &str) -> bool {
        self.record_sign(now, id, |silence| silence.add_event(now))
    }

    fn record_sign(&mut self, now: TimePoint, id: &str, add: impl FnOnce(&mut SilenceRecord) -> bool) -> bool {
        let Some(service) = self.get(id).map(|record| Name::clone(&record.service)) else {
            return false;
        };
        let is_widespread = self.is_silent(id) && self.is_silence_widespread(now, &service);
        let Some(record) = self.get_mut(id) else {
            return false;
        };
        let is_over = add(&mut record.silence);
        if is_over {
            record.clear_failures();
        }
        if is_over && is_widespread {
            self.readmit_silent(&service);
        }
        is_over
    }

    /// Ends the ejections of the silent endpoints of a service, which may have gone on like the one just heard.
    fn readmit_silent(&mut self, service: &str) {
        let silent: Vec<EndpointId> = self
            .of_service(service)
            .filter(|record| record.silence.is_silent())
            .map(|record| EndpointId::clone(&record.id))
            .collect();
        for id in silent {
            if let Some(record) = self.get_mut(&id) {
                record.end_ejection();
            }
        }
    }

    /// Whether an endpoint has been found silent or stalled, and this has not ended.
    pub fn is_silent(&self, id: &str) -> bool {
        self.get(id).is_some_and(|record| record.silence.is_silent())
    }

    /// Whether an endpoint was found silent a moment ago and has not been heard since.
    pub fn is_just_silent(&self, now: TimePoint, id: &str) -> bool {
        self.get(id).is_some_and(|record| record.silence.is_just_silent(now))
    }

    /// When an endpoint last answered or sent an event; `None` if it never did or is not known.
    pub fn last_heard(&self, id: &str) -> Option<TimePoint> {
        self.get(id)?.silence.last_sign()
    }

    /// Whether an endpoint was heard so recently that it is known to be alive.
    pub fn is_alive(&self, now: TimePoint, id: &str) -> bool {
        self.get(id).is_some_and(|record| record.silence.is_alive(now))
    }

    /// Whether most endpoints of a service that this host has heard recently are silent now.
    ///
    /// The cause is then most likely a common one that passes, and the few other endpoints could not take all requests.
    pub fn is_silence_widespread(&self, now: TimePoint, service: &str) -> bool {
        let (mut silent, mut heard) = (0, 0);
        for record in self.of_service(service) {
            silent += usize::from(record.silence.is_recently_silent(now));
            heard += usize::from(record.silence.is_recently_heard(now));
        }
        silent >= MIN_WIDESPREAD && silent > heard
    }
}
