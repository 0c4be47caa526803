use super::{EndpointRecord, EndpointState, EndpointTable};
use crate::{EndpointGroup, EndpointId, TimePoint};

/// The endpoints of a group: of one service in one availability zone.
impl EndpointTable {
    /// The number of endpoints in a group.
    pub fn group_size(&self, group: &EndpointGroup) -> usize {
        self.rings.group_size(group)
    }

    /// A live endpoint of a group other than `id`, a different one for each endpoint; `None` if there is none.
    pub fn next_in_group(&self, group: &EndpointGroup, id: &EndpointId) -> Option<&EndpointRecord> {
        let mut others = self.rings.after_endpoint(group, id).filter_map(|id| self.get(id));
        others.find(|record| record.state == EndpointState::Live)
    }

    /// Up to `limit` live endpoints other than `id` by which a path to its group can be tested: of its group or, if it has
    /// no other, of its service; first those that have not just failed.
    pub fn siblings(
        &self,
        now: TimePoint,
        group: &EndpointGroup,
        id: &EndpointId,
        limit: usize,
    ) -> Vec<&EndpointRecord> {
        let is_usable = |record: &&EndpointRecord| record.state == EndpointState::Live && record.id != *id;
        let in_group = self.rings.after_endpoint(group, id).filter_map(|id| self.get(id));
        let mut siblings: Vec<&EndpointRecord> = in_group.filter(is_usable).collect();
        if siblings.is_empty() {
            siblings = self.of_service(&group.service).filter(is_usable).collect();
        }
        siblings.sort_by_key(|record| record.is_ejected(now));
        siblings.truncate(limit);
        siblings
    }

    /// The `n`th endpoint of a group, counted round and round; `None` if there is none.
    pub fn nth_in_group(&self, group: &EndpointGroup, n: usize) -> Option<&EndpointRecord> {
        let size = self.rings.group_size(group);
        let id = self.rings.of_group(group).nth(n.checked_rem(size)?)?;
        self.get(id)
    }

    /// Forgets the failures of a group's endpoints, which end their ejection.
    pub fn forgive_failures(&mut self, group: &EndpointGroup) {
        self.zone_failures.remove(&group.zone);
        for id in self.rings.of_group(group) {
            if let Some(record) = self.records.get_mut(id) {
                record.clear_failures();
            }
        }
    }
}
