use std::fmt;

use hollyhook_core::Name;

/// An error in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingError {
    /// The file, by the path under which it was loaded.
    pub file: Name,
    /// The line, counted from 1; 0 if the error belongs to no line of the file.
    pub line: usize,
    /// The section's title; empty if the error belongs to no section.
    pub section: Name,
    /// The key, if the error is about a single key.
    pub key: Option<Name>,
    /// What is wrong.
    pub problem: Name,
    /// How to correct it.
    pub hint: Name,
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        write!(f, ": [{}]", self.section)?;
        if let Some(key) = &self.key {
            write!(f, " {key}")?;
        }
        write!(f, ": {}; {}", self.problem, self.hint)
    }
}

/// All errors found in the settings, those of a base file before those of its overlay.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingErrors(pub Vec<SettingError>);

impl fmt::Display for SettingErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for error in &self.0 {
            writeln!(f, "{error}")?;
        }
        let count = self.0.len();
        write!(f, "{count} {} in the settings", if count == 1 { "error" } else { "errors" })
    }
}

impl std::error::Error for SettingErrors {}
