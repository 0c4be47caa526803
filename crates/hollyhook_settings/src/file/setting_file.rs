use std::path::Path;

use hollyhook_core::Name;
use ini::{Ini, ParseOption};

use super::{SettingError, SettingErrors};

/// One `key = value` entry, with its file and line.
#[derive(Debug, Clone)]
pub(crate) struct SettingEntry {
    pub(crate) file: Name,
    pub(crate) line: usize,
    pub(crate) key: Name,
    pub(crate) value: Name,
}

/// One `[kind name]` section, with its entries.
#[derive(Debug, Clone)]
pub(crate) struct SettingSection {
    pub(crate) file: Name,
    pub(crate) line: usize,
    pub(crate) title: Name,
    pub(crate) entries: Vec<SettingEntry>,
}

impl SettingSection {
    /// Returns the section's kind: the first word of the title.
    pub(crate) fn kind(&self) -> &str {
        self.title.split_whitespace().next().unwrap_or_default()
    }

    /// Returns the section's name: the title after its first word, or an empty text if there is none.
    pub(crate) fn name(&self) -> &str {
        self.title.split_once(char::is_whitespace).map_or("", |(_, name)| name.trim())
    }

    pub(crate) fn error(&self, key: Option<&SettingEntry>, problem: &str, hint: &str) -> SettingError {
        SettingError {
            file: Name::clone(key.map_or(&self.file, |entry| &entry.file)),
            line: key.map_or(self.line, |entry| entry.line),
            section: Name::clone(&self.title),
            key: key.map(|entry| Name::clone(&entry.key)),
            problem: problem.into(),
            hint: hint.into(),
        }
    }
}

/// A settings file split into sections and entries, whose keys and values are not checked yet.
#[derive(Debug, Clone)]
pub struct SettingFile {
    pub(crate) path: Name,
    pub(crate) sections: Vec<SettingSection>,
}

impl SettingFile {
    /// Returns whether the file has a section of that title.
    pub fn has_section(&self, title: &str) -> bool {
        self.sections.iter().any(|section| &*section.title == title)
    }

    /// Returns the section of that title, or an empty section if the file has none.
    pub(crate) fn section(&self, title: &str) -> SettingSection {
        let found = self.sections.iter().find(|section| &*section.title == title);
        found.cloned().unwrap_or_else(|| SettingSection {
            file: Name::clone(&self.path),
            line: 0,
            title: title.into(),
            entries: Vec::new(),
        })
    }

    /// Returns an error for each section whose title is not in `titles`.
    pub(crate) fn unknown_titles(&self, titles: &[&str]) -> Vec<SettingError> {
        let unknown = self.sections.iter().filter(|section| !titles.contains(&&*section.title));
        let hint = format!("the sections are {}", titles.join(", "));
        unknown.map(|section| section.error(None, "there is no such section here", &hint)).collect()
    }

    /// Reads and parses a file.
    ///
    /// # Errors
    ///
    /// If the file can't be read, is not valid INI, has a duplicate section or key, or a key before the first section.
    pub fn load(path: &Path) -> Result<Self, SettingErrors> {
        let name = Name::from(path.display().to_string());
        let text = std::fs::read_to_string(path).map_err(|error| {
            let problem = format!("the file can't be read: {error}");
            SettingErrors(vec![file_error(&name, 0, &problem, "give the path of a readable file")])
        })?;
        Self::parse(&name, &text)
    }

    /// Parses the text of a settings file; `path` is used only in error messages.
    ///
    /// # Errors
    ///
    /// As for [`load`](Self::load).
    pub fn parse(path: &str, text: &str) -> Result<Self, SettingErrors> {
        let name = Name::from(path);
        let option = ParseOption { enabled_escape: false, ..ParseOption::default() };
        let parsed = Ini::load_from_str_opt(text, option).map_err(|error| {
            let hint = "write `[kind name]` sections with one `key = value` a line";
            SettingErrors(vec![file_error(&name, error.line, &error.msg, hint)])
        })?;
        let section_lines = find_section_lines(text);
        let mut sections = Vec::new();
        let mut errors = Vec::new();
        let titled = parsed.iter().filter_map(|(title, properties)| Some((title?, properties)));
        for (index, (title, properties)) in titled.enumerate() {
            let lines = section_lines.get(index);
            let entries = properties.iter().enumerate().map(|(number, (key, value))| SettingEntry {
                file: Name::clone(&name),
                line: lines.and_then(|lines| lines.keys.get(number)).copied().unwrap_or_default(),
                key: key.into(),
                value: value.into(),
            });
            let section = SettingSection {
                file: Name::clone(&name),
                line: lines.map_or(0, |lines| lines.line),
                title: title.split_whitespace().collect::<Vec<_>>().join(" ").into(),
                entries: entries.collect(),
            };
            find_duplicates(&section, &mut errors);
            if sections.iter().any(|earlier: &SettingSection| earlier.title == section.title) {
                errors.push(section.error(None, "the file has this section twice", "merge the two sections"));
            }
            sections.push(section);
        }
        if let Some(stray) = parsed.section(None::<String>).and_then(|section| section.iter().next()) {
            let problem = format!("`{}` is set before the first section", stray.0);
            errors.push(file_error(&name, 1, &problem, "move it into a `[kind name]` section"));
        }
        if errors.is_empty() { Ok(Self { path: name, sections }) } else { Err(SettingErrors(errors)) }
    }

    /// Returns the path under which the file was loaded.
    pub fn path(&self) -> &str {
        &self.path
    }
}

fn file_error(file: &Name, line: usize, problem: &str, hint: &str) -> SettingError {
    SettingError {
        file: Name::clone(file),
        line,
        section: "".into(),
        key: None,
        problem: problem.into(),
        hint: hint.into(),
    }
}

fn find_duplicates(section: &SettingSection, errors: &mut Vec<SettingError>) {
    for (index, entry) in section.entries.iter().enumerate() {
        if let Some(first) = section.entries[..index].iter().find(|earlier| earlier.key == entry.key) {
            let problem = format!("the key is set twice, first in line {}", first.line);
            errors.push(section.error(Some(entry), &problem, "remove one of the two lines"));
        }
    }
}

/// Line numbers of a section and of its keys in order, found separately because the INI library does not report them.
struct SectionLines {
    line: usize,
    keys: Vec<usize>,
}

fn find_section_lines(text: &str) -> Vec<SectionLines> {
    let mut section_lines: Vec<SectionLines> = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.starts_with('[') {
            section_lines.push(SectionLines { line: index + 1, keys: Vec::new() });
        } else if !line.starts_with([';', '#'])
            && line.contains(['=', ':'])
            && let Some(lines) = section_lines.last_mut()
        {
            lines.keys.push(index + 1);
        }
    }
    section_lines
}
