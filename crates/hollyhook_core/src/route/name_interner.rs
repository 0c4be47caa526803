use std::collections::BTreeSet;
use std::sync::Arc;

use crate::Name;

/// Number of names from which unused names are removed before another name is added. More names than this are in use
/// only if entries are written by others than endpoints.
const PRUNE_THRESHOLD: usize = 1_024;

/// Keeps one shared copy of each name that occurs in many records.
#[derive(Debug, Default)]
pub(super) struct NameInterner(BTreeSet<Name>);

impl NameInterner {
    /// Replaces a name by its shared copy; the first name of each value becomes the shared copy.
    pub(super) fn intern(&mut self, name: &mut Name) {
        if let Some(known) = self.0.get(name) {
            *name = Name::clone(known);
            return;
        }
        if self.0.len() >= PRUNE_THRESHOLD {
            self.0.retain(|known| Arc::strong_count(known) > 1);
        }
        self.0.insert(Name::clone(name));
    }
}
