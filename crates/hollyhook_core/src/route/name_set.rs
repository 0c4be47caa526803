use std::collections::BTreeSet;
use std::sync::Arc;

use crate::Name;

/// Names up to which none is dropped; more are in use only where others than endpoints write entries.
const MOST_IDLE: usize = 1_024;

/// Names that stand in many records, kept once.
#[derive(Debug, Default)]
pub(super) struct NameSet(BTreeSet<Name>);

impl NameSet {
    /// The shared copy of a name.
    pub(super) fn share(&mut self, name: &mut Name) {
        if let Some(known) = self.0.get(name) {
            *name = Name::clone(known);
            return;
        }
        if self.0.len() >= MOST_IDLE {
            self.0.retain(|known| Arc::strong_count(known) > 1);
        }
        self.0.insert(Name::clone(name));
    }
}
