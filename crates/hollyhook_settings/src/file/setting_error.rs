use std::fmt;

use hollyhook_core::Name;

/// One thing that is wrong with the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingError {
    /// The file, as it was named.
    pub file: Name,
    /// The line, from 1; 0 if the file has none for it.
    pub line: usize,
    /// The section's title; empty before the first.
    pub section: Name,
    /// The key, if it is about one.
    pub key: Option<Name>,
    /// What is wrong.
    pub problem: Name,
    /// What would be right.
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

/// All that is wrong with the settings, in the order of the files.
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
