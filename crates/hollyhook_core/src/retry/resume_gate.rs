use std::collections::BTreeSet;

/// A place in the order of resumes: the lower urgency number goes first, then the earlier ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ResumeTicket {
    /// 0 is the most urgent class.
    pub urgency: u8,
    /// Counts the tickets of this gate.
    pub number: u64,
}

/// Bounds how many resumes are being opened at a time, the most urgent first.
///
/// A resume costs its endpoint a prefill of the whole prompt and output so far. When a zone goes, every stream of it
/// asks at once; the gate spreads that over the survivors instead of stalling the streams that they already carry.
#[derive(Debug)]
pub struct ResumeGate {
    limit: usize,
    open: BTreeSet<ResumeTicket>,
    waiting: BTreeSet<ResumeTicket>,
    last_number: u64,
}

impl ResumeGate {
    /// A gate that lets `limit` resumes open at a time.
    pub fn new(limit: usize) -> Self {
        Self { limit, open: BTreeSet::new(), waiting: BTreeSet::new(), last_number: 0 }
    }

    /// Another limit, as the fleet grows or shrinks.
    pub fn resize(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Asks for a place; the ticket may be open at once, see [`is_open`](Self::is_open).
    pub fn enter(&mut self, urgency: u8) -> ResumeTicket {
        self.last_number += 1;
        let ticket = ResumeTicket { urgency, number: self.last_number };
        self.waiting.insert(ticket);
        self.admit();
        ticket
    }

    /// Whether the holder may open its resume now.
    pub fn is_open(&self, ticket: ResumeTicket) -> bool {
        self.open.contains(&ticket)
    }

    /// Gives the place back, whether it was open or still waiting; returns the tickets that open by it.
    pub fn leave(&mut self, ticket: ResumeTicket) -> Vec<ResumeTicket> {
        self.waiting.remove(&ticket);
        self.open.remove(&ticket);
        self.admit()
    }

    /// Resumes that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Resumes that are being opened.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    fn admit(&mut self) -> Vec<ResumeTicket> {
        let mut admitted = Vec::new();
        while self.open.len() < self.limit {
            let Some(ticket) = self.waiting.pop_first() else {
                break;
            };
            self.open.insert(ticket);
            admitted.push(ticket);
        }
        admitted
    }
}
