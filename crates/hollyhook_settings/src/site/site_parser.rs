use std::collections::BTreeMap;

use hollyhook_core::{Name, ZoneName};

use super::{AccountSettings, EndpointSettings, LimitSettings, ServiceKind, ServiceSettings, SiteSettings, key_digest};
use crate::file::{SectionReader, SettingError, SettingErrors, SettingFile, SettingSection};
use crate::value;

const BASE_KINDS: [&str; 3] = ["service", "account", "limits"];
const SITE_KINDS: [&str; 2] = ["site", "endpoint"];

pub(super) struct SiteParser<'a> {
    base: &'a SettingFile,
    overlay: &'a SettingFile,
    errors: Vec<SettingError>,
}

impl<'a> SiteParser<'a> {
    pub(super) fn new(base: &'a SettingFile, overlay: &'a SettingFile) -> Self {
        Self { base, overlay, errors: Vec::new() }
    }

    pub(super) fn parse(mut self) -> Result<SiteSettings, SettingErrors> {
        let sections = self.merge_sections();
        let site = self.read_site(&sections);
        let services = self.read_all(&sections, "service", ServiceSettings::read);
        let accounts = self.read_all(&sections, "account", AccountSettings::read);
        let zones = site.as_ref().map(|(_, zones)| zones.clone()).unwrap_or_default();
        // Service names come from the section titles, so that an invalid service does not cause errors for its
        // endpoints.
        let titles = sections.iter().filter(|section| section.kind() == "service");
        let names: Vec<Name> = titles.map(|section| section.name().into()).collect();
        let endpoints = self.read_all(&sections, "endpoint", |reader| EndpointSettings::read(reader, &names, &zones));
        let limits = match sections.iter().find(|section| section.kind() == "limits") {
            Some(section) => LimitSettings::read(SectionReader::new(section, &mut self.errors)),
            None => LimitSettings::default(),
        };
        self.check_unique(&sections, &services, &accounts, &endpoints);
        match site {
            Some((name, zones)) if self.errors.is_empty() => {
                let digest = digest_sections(&sections);
                let key_index = index_keys(&accounts);
                Ok(SiteSettings { name, zones, services, accounts, endpoints, limits, digest, key_index })
            }
            _ => Err(SettingErrors(self.sorted_errors())),
        }
    }

    /// Returns the errors in reading order: those of the base file first, each file's by line.
    fn sorted_errors(mut self) -> Vec<SettingError> {
        let base = Name::clone(&self.base.path);
        self.errors.sort_by_key(|error| (error.file != base, error.line));
        self.errors
    }

    /// Returns the base's sections, with the overlay's values taking precedence, and the sections that only an overlay
    /// may have.
    fn merge_sections(&mut self) -> Vec<SettingSection> {
        let mut sections = Vec::new();
        for section in &self.base.sections {
            if BASE_KINDS.contains(&section.kind()) {
                sections.push(section.clone());
            } else if SITE_KINDS.contains(&section.kind()) {
                self.errors.push(section.error(
                    None,
                    "a section of this kind belongs to one site",
                    "move it to the site's overlay",
                ));
            } else {
                self.reject_kind(section);
            }
        }
        for section in &self.overlay.sections {
            if SITE_KINDS.contains(&section.kind()) {
                sections.push(section.clone());
            } else if BASE_KINDS.contains(&section.kind()) {
                self.apply_overlay(&mut sections, section);
            } else {
                self.reject_kind(section);
            }
        }
        sections
    }

    /// Replaces and adds the entries of the base's section of the same title.
    fn apply_overlay(&mut self, sections: &mut [SettingSection], overlay_section: &SettingSection) {
        let Some(base_section) = sections.iter_mut().find(|section| section.title == overlay_section.title) else {
            let problem = format!("the base has no section `{}`", overlay_section.title);
            self.errors.push(overlay_section.error(None, &problem, "add it to the base, which all sites share"));
            return;
        };
        for entry in &overlay_section.entries {
            match base_section.entries.iter_mut().find(|base_entry| base_entry.key == entry.key) {
                Some(base_entry) if base_entry.value == entry.value => {
                    let hint = "remove the line: an overlay sets only what differs from the base";
                    self.errors.push(overlay_section.error(Some(entry), "the base has the same value", hint));
                }
                Some(base_entry) => *base_entry = entry.clone(),
                None => base_section.entries.push(entry.clone()),
            }
        }
    }

    fn reject_kind(&mut self, section: &SettingSection) {
        let kinds = [&BASE_KINDS[..], &SITE_KINDS[..]].concat().join(", ");
        let hint = format!("the kinds of section are {kinds}");
        self.errors.push(section.error(None, "there is no such kind of section", &hint));
    }

    fn read_site(&mut self, sections: &[SettingSection]) -> Option<(Name, Vec<ZoneName>)> {
        let Some(section) = sections.iter().find(|section| &*section.title == "site") else {
            let section = SettingSection {
                file: Name::clone(&self.overlay.path),
                line: 0,
                title: "site".into(),
                entries: Vec::new(),
            };
            self.errors.push(section.error(None, "the overlay has no `[site]`", "add it with `name` and `zones`"));
            return None;
        };
        let mut reader = SectionReader::new(section, &mut self.errors);
        let name = reader.required("name", value::name);
        let zones = reader.required("zones", value::names);
        reader.finish();
        Some((name?, zones?))
    }

    fn read_all<T>(
        &mut self,
        sections: &[SettingSection],
        kind: &str,
        read: impl Fn(SectionReader<'_>) -> Option<T>,
    ) -> Vec<T> {
        let mut found = Vec::new();
        for section in sections.iter().filter(|section| section.kind() == kind) {
            found.extend(read(SectionReader::new(section, &mut self.errors)));
        }
        found
    }

    fn check_unique(
        &mut self,
        sections: &[SettingSection],
        services: &[ServiceSettings],
        accounts: &[AccountSettings],
        endpoints: &[EndpointSettings],
    ) {
        let mut models = BTreeMap::new();
        let mut prefixes = BTreeMap::new();
        for service in services {
            let (owners, value, field) = match &service.kind {
                ServiceKind::Generation(generation) => (&mut models, &generation.binding.model, "model"),
                ServiceKind::Plain(plain) => (&mut prefixes, &plain.prefix, "prefix"),
            };
            if let Some(first) = owners.insert(Name::clone(value), &service.name) {
                let problem = format!("the {field} `{value}` is already used by the service `{first}`");
                self.report(sections, &format!("service {}", service.name), &problem, "give each service its own");
            }
        }
        let mut keys = BTreeMap::new();
        for account in accounts {
            for key in &account.keys {
                if let Some(first) = keys.insert(key, &account.name) {
                    let problem = format!("the key is already used by the account `{first}`");
                    self.report(sections, &format!("account {}", account.name), &problem, "give each account its own");
                }
            }
        }
        let mut addresses = BTreeMap::new();
        for endpoint in endpoints {
            if let Some(first) = addresses.insert(endpoint.address, &endpoint.id) {
                let problem = format!("the address is already used by the endpoint `{first}`");
                self.report(sections, &format!("endpoint {}", endpoint.id), &problem, "give each endpoint its own");
            }
        }
    }

    fn report(&mut self, sections: &[SettingSection], title: &str, problem: &str, hint: &str) {
        if let Some(section) = sections.iter().find(|section| &*section.title == title) {
            self.errors.push(section.error(None, problem, hint));
        }
    }
}

fn index_keys(accounts: &[AccountSettings]) -> BTreeMap<Name, usize> {
    let indexed = accounts.iter().enumerate();
    indexed.flat_map(|(index, account)| account.keys.iter().map(move |key| (Name::clone(key), index))).collect()
}

fn digest_sections(sections: &[SettingSection]) -> Name {
    let mut text = String::new();
    for section in sections {
        text.push_str(&section.title);
        for entry in &section.entries {
            text.push('\n');
            text.push_str(&entry.key);
            text.push('=');
            text.push_str(&entry.value);
        }
        text.push_str("\n\n");
    }
    key_digest(&text)
}
