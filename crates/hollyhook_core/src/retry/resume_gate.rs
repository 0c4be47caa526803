use std::collections::BTreeSet;

/// A resume's position in the queue: ordered by priority, the lowest number first, then by age.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ResumeTicket {
    /// The priority of the request class; 0 is the highest.
    pub priority: u8,
    /// The sequence number of the ticket at its gate.
    pub number: u64,
}

/// Limits how many resumes are being opened at a time, and admits the most urgent first.
///
/// A resume costs its endpoint a prefill of the whole prompt and of the output so far. When a zone fails, all its
/// streams resume at the same time; the gate spreads these prefills over time, so that they don't stall the streams
/// that the remaining endpoints already serve.
#[derive(Debug)]
pub struct ResumeGate {
    limit: usize,
    admitted: BTreeSet<ResumeTicket>,
    queued: BTreeSet<ResumeTicket>,
    last_number: u64,
}

impl ResumeGate {
    /// Creates a gate that admits `limit` resumes at a time.
    pub fn new(limit: usize) -> Self {
        Self { limit, admitted: BTreeSet::new(), queued: BTreeSet::new(), last_number: 0 }
    }

    /// Changes the limit, as the fleet grows or shrinks; takes effect at the next `enter` or `leave`.
    pub fn resize(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Queues a resume and returns its ticket, which may be admitted at once: see [`is_admitted`](Self::is_admitted).
    pub fn enter(&mut self, priority: u8) -> ResumeTicket {
        self.last_number += 1;
        let ticket = ResumeTicket { priority, number: self.last_number };
        self.queued.insert(ticket);
        self.admit();
        ticket
    }

    /// Whether the ticket's resume is admitted.
    pub fn is_admitted(&self, ticket: ResumeTicket) -> bool {
        self.admitted.contains(&ticket)
    }

    /// Removes a ticket, admitted or still queued, and returns the tickets that are admitted in its place.
    pub fn leave(&mut self, ticket: ResumeTicket) -> Vec<ResumeTicket> {
        self.queued.remove(&ticket);
        self.admitted.remove(&ticket);
        self.admit()
    }

    /// The number of queued resumes.
    pub fn queued(&self) -> usize {
        self.queued.len()
    }

    /// The number of admitted resumes.
    pub fn admitted(&self) -> usize {
        self.admitted.len()
    }

    fn admit(&mut self) -> Vec<ResumeTicket> {
        let mut admitted = Vec::new();
        while self.admitted.len() < self.limit {
            let Some(ticket) = self.queued.pop_first() else {
                break;
            };
            self.admitted.insert(ticket);
            admitted.push(ticket);
        }
        admitted
    }
}
