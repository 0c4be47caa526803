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
        // A service with a wrong key exists all the same; its endpoints are not wrong for that.
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
                let digest = digest_of(&sections);
                let key_index = index_keys(&accounts);
                Ok(SiteSettings { name, zones, services, accounts, endpoints, limits, digest, key_index })
            }
            _ => Err(SettingErrors(self.sorted_errors())),
        }
    }

    /// The errors as a person reads the files: the base first, each from top to bottom.
    fn sorted_errors(mut self) -> Vec<SettingError> {
        let base = Name::clone(&self.base.path);
        self.errors.sort_by_key(|error| (error.file != base, error.line));
        self.errors
    }

    /// The base's sections with the overlay's values over them, and the sections that only an overlay has.
    fn merge_sections(&mut self) -> Vec<SettingSection> {
        let mut sections = Vec::new();
        for section in &self.base.sections {
            if BASE_KINDS.contains(&section.kind()) {
                sections.push(section.clone());
            } else if SITE_KINDS.contains(&section.kind()) {
                self.errors.push(section.error(None, "this belongs to one site", "move it to the site's overlay"));
            } else {
                self.refuse_kind(section);
            }
        }
        for section in &self.overlay.sections {
            if SITE_KINDS.contains(&section.kind()) {
                sections.push(section.clone());
            } else if BASE_KINDS.contains(&section.kind()) {
                self.overlay_section(&mut sections, section);
            } else {
                self.refuse_kind(section);
            }
        }
        sections
    }

    fn overlay_section(&mut self, sections: &mut [SettingSection], over: &SettingSection) {
        let Some(under) = sections.iter_mut().find(|section| section.title == over.title) else {
            let wrong = format!("the overlay invents `{}`", over.title);
            self.errors.push(over.error(None, &wrong, "add it to the base, for all sites"));
            return;
        };
        for entry in &over.entries {
            match under.entries.iter_mut().find(|old| old.key == entry.key) {
                Some(old) if old.value == entry.value => {
                    let right = "an overlay names only what differs; leave it out";
                    self.errors.push(over.error(Some(entry), "the base has the same value", right));
                }
                Some(old) => *old = entry.clone(),
                None => under.entries.push(entry.clone()),
            }
        }
    }

    fn refuse_kind(&mut self, section: &SettingSection) {
        let kinds = [&BASE_KINDS[..], &SITE_KINDS[..]].concat().join(", ");
        let right = format!("the kinds of section are {kinds}");
        self.errors.push(section.error(None, "there is no such kind of section", &right));
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
            let (taken, word, what) = match &service.kind {
                ServiceKind::Generation(generation) => (&mut models, &generation.binding.model, "model"),
                ServiceKind::Plain(plain) => (&mut prefixes, &plain.prefix, "prefix"),
            };
            if let Some(first) = taken.insert(Name::clone(word), &service.name) {
                let wrong = format!("the {what} `{word}` is that of the service `{first}` too");
                self.fault(sections, &format!("service {}", service.name), &wrong, "give each service its own");
            }
        }
        let mut keys = BTreeMap::new();
        for account in accounts {
            for key in &account.keys {
                if let Some(first) = keys.insert(key, &account.name) {
                    let wrong = format!("the key is that of the account `{first}` too");
                    self.fault(sections, &format!("account {}", account.name), &wrong, "give each account its own");
                }
            }
        }
        let mut addresses = BTreeMap::new();
        for endpoint in endpoints {
            if let Some(first) = addresses.insert(endpoint.address, &endpoint.id) {
                let wrong = format!("the address is that of the endpoint `{first}` too");
                self.fault(sections, &format!("endpoint {}", endpoint.id), &wrong, "give each endpoint its own");
            }
        }
    }

    fn fault(&mut self, sections: &[SettingSection], title: &str, wrong: &str, right: &str) {
        if let Some(section) = sections.iter().find(|section| &*section.title == title) {
            self.errors.push(section.error(None, wrong, right));
        }
    }
}

fn index_keys(accounts: &[AccountSettings]) -> BTreeMap<Name, usize> {
    let places = accounts.iter().enumerate();
    places.flat_map(|(place, account)| account.keys.iter().map(move |key| (Name::clone(key), place))).collect()
}

fn digest_of(sections: &[SettingSection]) -> Name {
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
