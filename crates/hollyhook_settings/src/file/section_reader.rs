use hollyhook_core::Name;

use super::{SettingEntry, SettingError, SettingSection};
use crate::value::ValueFault;

/// How alike two keys must be for one to be suggested for the other (Jaro-Winkler).
const LIKENESS: f64 = 0.75;

/// Takes the keys of one section and remembers which it knows.
pub(crate) struct SectionReader<'a> {
    section: &'a SettingSection,
    known: Vec<&'static str>,
    errors: &'a mut Vec<SettingError>,
}

impl<'a> SectionReader<'a> {
    pub(crate) fn new(section: &'a SettingSection, errors: &'a mut Vec<SettingError>) -> Self {
        Self { section, known: Vec::new(), errors }
    }

    /// The value of a key, if it is there and right.
    pub(crate) fn optional<T>(
        &mut self,
        key: &'static str,
        parse: impl Fn(&str) -> Result<T, ValueFault>,
    ) -> Option<T> {
        self.known.push(key);
        let entry = self.entry(key)?;
        match parse(&entry.value) {
            Ok(value) => Some(value),
            Err(fault) => {
                self.errors.push(self.section.error(Some(entry), &fault.wrong, &fault.right));
                None
            }
        }
    }

    /// The value of a key, or the default.
    pub(crate) fn default<T>(
        &mut self,
        key: &'static str,
        default: T,
        parse: impl Fn(&str) -> Result<T, ValueFault>,
    ) -> T {
        self.optional(key, parse).unwrap_or(default)
    }

    /// The value of a key that has to be there.
    pub(crate) fn required<T>(
        &mut self,
        key: &'static str,
        parse: impl Fn(&str) -> Result<T, ValueFault>,
    ) -> Option<T> {
        if self.entry(key).is_none() {
            let right = format!("add `{key} = …`");
            self.errors.push(self.section.error(None, &format!("`{key}` is missing"), &right));
        }
        self.optional(key, parse)
    }

    /// Notes something wrong with a key that was read, or with the section.
    pub(crate) fn fault(&mut self, key: &str, wrong: &str, right: &str) {
        let entry = self.section.entries.iter().find(|entry| &*entry.key == key);
        self.errors.push(self.section.error(entry, wrong, right));
    }

    /// The name behind the kind in the title, which has to be there.
    pub(crate) fn name(&mut self) -> Name {
        if self.section.name().is_empty() {
            let right = format!("write `[{} NAME]`", self.section.kind());
            self.errors.push(self.section.error(None, "the section has no name", &right));
        }
        self.section.name().into()
    }

    /// Refuses the keys that nobody asked for.
    pub(crate) fn finish(self) {
        for entry in &self.section.entries {
            if self.known.contains(&&*entry.key) {
                continue;
            }
            let right = suggest(&entry.key, &self.known);
            self.errors.push(self.section.error(Some(entry), "there is no such key here", &right));
        }
    }

    fn entry(&self, key: &str) -> Option<&'a SettingEntry> {
        self.section.entries.iter().find(|entry| &*entry.key == key)
    }
}

fn suggest(key: &str, known: &[&'static str]) -> String {
    let likeness = |other: &str| strsim::jaro_winkler(key, other);
    let nearest = known.iter().max_by(|a, b| likeness(a).total_cmp(&likeness(b)));
    match nearest {
        Some(nearest) if likeness(nearest) >= LIKENESS => format!("did you mean `{nearest}`?"),
        _ => format!("the keys are {}", known.join(", ")),
    }
}
