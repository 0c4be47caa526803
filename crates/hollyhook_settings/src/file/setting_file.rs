use std::path::Path;

use hollyhook_core::Name;
use ini::{Ini, ParseOption};

use super::{SettingError, SettingErrors};

/// One `key = value` and where it stands.
#[derive(Debug, Clone)]
pub(crate) struct SettingEntry {
    pub(crate) file: Name,
    pub(crate) line: usize,
    pub(crate) key: Name,
    pub(crate) value: Name,
}

/// One `[kind name]`, with its entries.
#[derive(Debug, Clone)]
pub(crate) struct SettingSection {
    pub(crate) file: Name,
    pub(crate) line: usize,
    pub(crate) title: Name,
    pub(crate) entries: Vec<SettingEntry>,
}

impl SettingSection {
    /// The first word of the title.
    pub(crate) fn kind(&self) -> &str {
        self.title.split_whitespace().next().unwrap_or_default()
    }

    /// The rest of the title.
    pub(crate) fn name(&self) -> &str {
        self.title.split_once(char::is_whitespace).map_or("", |(_, name)| name.trim())
    }

    pub(crate) fn error(&self, key: Option<&SettingEntry>, wrong: &str, right: &str) -> SettingError {
        SettingError {
            file: Name::clone(key.map_or(&self.file, |entry| &entry.file)),
            line: key.map_or(self.line, |entry| entry.line),
            section: Name::clone(&self.title),
            key: key.map(|entry| Name::clone(&entry.key)),
            problem: wrong.into(),
            hint: right.into(),
        }
    }
}

/// A settings file, read and split, not yet understood.
#[derive(Debug, Clone)]
pub struct SettingFile {
    pub(crate) path: Name,
    pub(crate) sections: Vec<SettingSection>,
}

impl SettingFile {
    /// Whether there is a section of that title.
    pub fn has_section(&self, title: &str) -> bool {
        self.sections.iter().any(|section| &*section.title == title)
    }

    /// The section of that title; one that is not there reads as one without keys.
    pub(crate) fn section(&self, title: &str) -> SettingSection {
        let found = self.sections.iter().find(|section| &*section.title == title);
        found.cloned().unwrap_or_else(|| SettingSection {
            file: Name::clone(&self.path),
            line: 0,
            title: title.into(),
            entries: Vec::new(),
        })
    }

    /// An error for each section whose title is none of `titles`.
    pub(crate) fn unknown_titles(&self, titles: &[&str]) -> Vec<SettingError> {
        let unknown = self.sections.iter().filter(|section| !titles.contains(&&*section.title));
        let right = format!("the sections are {}", titles.join(", "));
        unknown.map(|section| section.error(None, "there is no such section here", &right)).collect()
    }

    /// Reads a file.
    ///
    /// # Errors
    ///
    /// If it can't be read, or is not INI, or has a section or key twice.
    pub fn load(path: &Path) -> Result<Self, SettingErrors> {
        let name = Name::from(path.display().to_string());
        let text = std::fs::read_to_string(path).map_err(|error| {
            let wrong = format!("the file can't be read: {error}");
            SettingErrors(vec![file_error(&name, 0, &wrong, "give the path of a readable file")])
        })?;
        Self::parse(&name, &text)
    }

    /// Reads a text; `path` is only for messages.
    ///
    /// # Errors
    ///
    /// As for [`load`](Self::load).
    pub fn parse(path: &str, text: &str) -> Result<Self, SettingErrors> {
        let name = Name::from(path);
        let option = ParseOption { enabled_escape: false, ..ParseOption::default() };
        let parsed = Ini::load_from_str_opt(text, option).map_err(|error| {
            let right = "write `[kind name]` sections with one `key = value` a line";
            SettingErrors(vec![file_error(&name, error.line, &error.msg, right)])
        })?;
        let places = find_places(text);
        let mut sections = Vec::new();
        let mut errors = Vec::new();
        let titled = parsed.iter().filter_map(|(title, properties)| Some((title?, properties)));
        for (index, (title, properties)) in titled.enumerate() {
            let place = places.get(index);
            let entries = properties.iter().enumerate().map(|(number, (key, value))| SettingEntry {
                file: Name::clone(&name),
                line: place.and_then(|place| place.keys.get(number)).copied().unwrap_or_default(),
                key: key.into(),
                value: value.into(),
            });
            let section = SettingSection {
                file: Name::clone(&name),
                line: place.map_or(0, |place| place.line),
                title: title.split_whitespace().collect::<Vec<_>>().join(" ").into(),
                entries: entries.collect(),
            };
            find_duplicates(&section, &mut errors);
            if sections.iter().any(|earlier: &SettingSection| earlier.title == section.title) {
                errors.push(section.error(None, "the section stands twice", "join the two"));
            }
            sections.push(section);
        }
        if let Some(loose) = parsed.section(None::<String>).and_then(|section| section.iter().next()) {
            let wrong = format!("`{}` stands before the first section", loose.0);
            errors.push(file_error(&name, 1, &wrong, "put it under a `[kind name]` section"));
        }
        if errors.is_empty() { Ok(Self { path: name, sections }) } else { Err(SettingErrors(errors)) }
    }

    /// The file, as it was named.
    pub fn path(&self) -> &str {
        &self.path
    }
}

fn file_error(file: &Name, line: usize, wrong: &str, right: &str) -> SettingError {
    SettingError {
        file: Name::clone(file),
        line,
        section: "".into(),
        key: None,
        problem: wrong.into(),
        hint: right.into(),
    }
}

fn find_duplicates(section: &SettingSection, errors: &mut Vec<SettingError>) {
    for (index, entry) in section.entries.iter().enumerate() {
        if let Some(first) = section.entries[..index].iter().find(|earlier| earlier.key == entry.key) {
            let wrong = format!("the key stands twice, first in line {}", first.line);
            errors.push(section.error(Some(entry), &wrong, "keep one"));
        }
    }
}

/// Where one section and its keys stand, since the INI library does not say.
struct SectionPlace {
    line: usize,
    keys: Vec<usize>,
}

fn find_places(text: &str) -> Vec<SectionPlace> {
    let mut places: Vec<SectionPlace> = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.starts_with('[') {
            places.push(SectionPlace { line: index + 1, keys: Vec::new() });
        } else if !line.starts_with([';', '#'])
            && line.contains(['=', ':'])
            && let Some(place) = places.last_mut()
        {
            place.keys.push(index + 1);
        }
    }
    places
}
