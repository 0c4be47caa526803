use std::collections::{BTreeMap, BTreeSet};

use hollyhook_core::{Name, RolloutOrder};

/// Which software versions have been looked up among the roll-out orders, and which get no requests.
#[derive(Debug, Default)]
pub(super) struct VersionChecks {
    /// Services whose roll-out order can't be decoded; their unchecked versions get no requests.
    blocked: BTreeSet<Name>,
    /// Services and versions that have been looked up among the roll-out orders.
    checked: BTreeSet<(Name, Name)>,
    /// Versions by service that have not been looked up yet; they get no requests.
    unchecked: BTreeMap<Name, BTreeSet<Name>>,
    /// Versions by service that earlier roll-outs rolled back; they get no requests while they have endpoints, unless they
    /// are the target of another order.
    rejected: BTreeMap<Name, BTreeSet<Name>>,
}

impl VersionChecks {
    /// The versions of a service that have been looked up; `None` before the first.
    pub(super) fn checked(&self, service: &Name) -> Option<BTreeSet<Name>> {
        let of_service = self.checked.iter().filter(|(checked, _)| checked == service);
        let versions: BTreeSet<Name> = of_service.map(|(_, version)| Name::clone(version)).collect();
        (!versions.is_empty()).then_some(versions)
    }

    /// The versions by service that have to be looked up among the orders.
    pub(super) fn unchecked(&self) -> &BTreeMap<Name, BTreeSet<Name>> {
        &self.unchecked
    }

    /// Whether there are unchecked versions that a list of the orders would settle.
    ///
    /// Versions of a service whose order can't be decoded don't count.
    pub(super) fn has_unsettled(&self) -> bool {
        self.unchecked.keys().any(|service| !self.blocked.contains(service))
    }

    /// The versions of a service that earlier roll-outs rolled back, as far as they still have endpoints.
    pub(super) fn rejected(&self, service: &Name) -> BTreeSet<Name> {
        self.rejected.get(service).cloned().unwrap_or_default()
    }

    /// The services whose order can't be decoded.
    pub(super) fn blocked(&self) -> &BTreeSet<Name> {
        &self.blocked
    }

    /// Records that the order of a service can't be decoded.
    pub(super) fn block(&mut self, service: &Name) {
        self.blocked.insert(Name::clone(service));
    }

    /// Records that the order of a service has been decoded or withdrawn.
    pub(super) fn unblock(&mut self, service: &Name) {
        self.blocked.remove(service);
    }

    /// Applies an order, whose target counts as checked, and the versions that it finds rolled back.
    pub(super) fn apply_order(&mut self, order: &RolloutOrder, rejected: impl Iterator<Item = Name>) {
        self.checked.insert((Name::clone(&order.service), Name::clone(&order.target)));
        let versions = self.rejected.entry(Name::clone(&order.service)).or_default();
        versions.extend(rejected);
        versions.remove(&order.target);
    }

    /// Updates the unchecked and rejected versions from the number of endpoints of each version by service.
    ///
    /// If no version of a service has been checked, the version that most endpoints run counts as checked.
    pub(super) fn update(&mut self, counts: BTreeMap<Name, BTreeMap<Name, usize>>) {
        self.unchecked.clear();
        for (service, versions) in counts {
            self.forget_rejected(&service, &versions);
            self.check_service(service, &versions);
        }
    }

    /// Marks versions as checked after a list of the orders, except those of services whose order can't be decoded.
    pub(super) fn mark_checked(&mut self, looked_up: &BTreeMap<Name, BTreeSet<Name>>) {
        for (service, versions) in looked_up {
            if self.blocked.contains(service) {
                continue;
            }
            let checked = versions.iter().map(|version| (Name::clone(service), Name::clone(version)));
            self.checked.extend(checked);
        }
    }

    /// Forgets the rejected versions of a service that have no endpoints any more.
    fn forget_rejected(&mut self, service: &Name, versions: &BTreeMap<Name, usize>) {
        if let Some(rejected) = self.rejected.get_mut(service) {
            rejected.retain(|version| versions.contains_key(version));
        }
    }

    /// Finds the unchecked versions of a service, given the number of endpoints of each version.
    fn check_service(&mut self, service: Name, versions: &BTreeMap<Name, usize>) {
        let is_checked = |version: &Name| self.checked.contains(&(Name::clone(&service), Name::clone(version)));
        if !versions.keys().any(is_checked)
            && let Some((usual, _)) = versions.iter().max_by_key(|(_, count)| **count)
        {
            // No version has been checked: most endpoints run the version that was there before any order.
            self.checked.insert((Name::clone(&service), Name::clone(usual)));
        }
        let is_checked = |version: &Name| self.checked.contains(&(Name::clone(&service), Name::clone(version)));
        let unchecked: BTreeSet<Name> = versions.keys().filter(|version| !is_checked(version)).cloned().collect();
        if !unchecked.is_empty() {
            self.unchecked.insert(service, unchecked);
        }
    }
}
