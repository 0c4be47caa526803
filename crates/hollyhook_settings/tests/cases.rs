//! Checks base and overlay files against the errors expected for them, one case per file.
//!
//! A case has the parts `--- base`, `--- overlay` and `--- errors`; no line under `--- errors` means that the settings
//! are valid.

use std::path::Path;

use hollyhook_settings::{SettingErrors, SettingFile, SiteSettings};

fn check_case(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let part = |name: &str| {
        let parts = text.split("--- ").find(|part| part.lines().next() == Some(name));
        parts.and_then(|part| part.split_once('\n')).map_or("", |(_, body)| body)
    };
    let expected: Vec<&str> = part("errors").lines().filter(|line| !line.is_empty()).collect();
    let errors = match merge(part("base"), part("overlay")) {
        Ok(_) => Vec::new(),
        Err(errors) => errors.0,
    };
    let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
    assert_eq!(errors, expected);
    Ok(())
}

fn merge(base: &str, overlay: &str) -> Result<SiteSettings, SettingErrors> {
    SiteSettings::merge(&SettingFile::parse("base", base)?, &SettingFile::parse("overlay", overlay)?)
}

datatest_stable::harness! {
    { test = check_case, root = "tests/cases", pattern = r"\.case$" },
}
