use hollyhook_core::Name;

use super::{SettingEntry, SettingError, SettingSection};
use crate::value::ValueError;

/// Minimum Jaro-Winkler similarity at which a known key is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.75;

/// Reads the keys of one section, collects the errors, and records which keys the section may have.
pub(crate) struct SectionReader<'a> {
    section: &'a SettingSection,
    known: Vec<&'static str>,
    errors: &'a mut Vec<SettingError>,
}

impl<'a> SectionReader<'a> {
    pub(crate) fn new(section: &'a SettingSection, errors: &'a mut Vec<SettingError>) -> Self {
        Self { section, known: Vec::new(), errors }
    }

    /// Returns the value of a key, or `None` if the key is missing or its value is invalid; reports an invalid value.
    pub(crate) fn optional<T>(
        &mut self,
        key: &'static str,
        parse: impl Fn(&str) -> Result<T, ValueError>,
    ) -> Option<T> {
        self.known.push(key);
        let entry = self.entry(key)?;
        match parse(&entry.value) {
            Ok(value) => Some(value),
            Err(error) => {
                self.errors.push(self.section.error(Some(entry), &error.problem, &error.hint));
                None
            }
        }
    }

    /// Returns the value of a key, or the default if the key is missing or its value is invalid; reports an invalid
    /// value.
    pub(crate) fn with_default<T>(
        &mut self,
        key: &'static str,
        default: T,
        parse: impl Fn(&str) -> Result<T, ValueError>,
    ) -> T {
        self.optional(key, parse).unwrap_or(default)
    }

    /// Returns the value of a key; reports a missing key or an invalid value, and then returns `None`.
    pub(crate) fn required<T>(
        &mut self,
        key: &'static str,
        parse: impl Fn(&str) -> Result<T, ValueError>,
    ) -> Option<T> {
        if self.entry(key).is_none() {
            let hint = format!("add `{key} = …`");
            self.errors.push(self.section.error(None, &format!("`{key}` is missing"), &hint));
        }
        self.optional(key, parse)
    }

    /// Reports a problem with a key, or with the section if it does not have the key.
    pub(crate) fn report(&mut self, key: &str, problem: &str, hint: &str) {
        let entry = self.section.entries.iter().find(|entry| &*entry.key == key);
        self.errors.push(self.section.error(entry, problem, hint));
    }

    /// Returns the name that follows the kind in the section's title; reports a missing name.
    pub(crate) fn name(&mut self) -> Name {
        if self.section.name().is_empty() {
            let hint = format!("write `[{} NAME]`", self.section.kind());
            self.errors.push(self.section.error(None, "the section has no name", &hint));
        }
        self.section.name().into()
    }

    /// Reports as unknown every key of the section that was not read before this call.
    pub(crate) fn finish(self) {
        for entry in &self.section.entries {
            if self.known.contains(&&*entry.key) {
                continue;
            }
            let hint = suggest(&entry.key, &self.known);
            self.errors.push(self.section.error(Some(entry), "there is no such key here", &hint));
        }
    }

    fn entry(&self, key: &str) -> Option<&'a SettingEntry> {
        self.section.entries.iter().find(|entry| &*entry.key == key)
    }
}

fn suggest(key: &str, known: &[&'static str]) -> String {
    let similarity = |other: &str| strsim::jaro_winkler(key, other);
    let nearest = known.iter().max_by(|a, b| similarity(a).total_cmp(&similarity(b)));
    match nearest {
        Some(nearest) if similarity(nearest) >= MIN_SIMILARITY => format!("did you mean `{nearest}`?"),
        _ => format!("the keys are {}", known.join(", ")),
    }
}
