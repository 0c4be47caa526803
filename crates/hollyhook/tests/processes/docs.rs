use std::fs;
use std::path::Path;

use hollyhook_core::{ErrorKind, RelayCounter, answer_for};
use hollyhook_settings::{GatewaySettings, ProcessSettings, SettingErrors, SettingFile, SiteSettings};

fn read_page(name: &str) -> String {
    fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(name)).unwrap()
}

/// The valid keys of each section, from the errors for unknown keys: if a key resembles no valid one, its error lists
/// all valid keys.
fn keys(errors: &SettingErrors) -> Vec<String> {
    let lists = errors.0.iter().filter_map(|error| error.hint.strip_prefix("the keys are "));
    lists.flat_map(|list| list.split(", ")).map(str::to_owned).collect()
}

#[test]
fn callers_page_has_every_error() {
    let page = read_page("CALLERS.md");
    for kind in ErrorKind::ALL {
        let answer = answer_for(kind);
        // These two errors are returned to operators only.
        if matches!(kind, ErrorKind::InvalidSetting | ErrorKind::Conflict) {
            continue;
        }
        assert!(page.contains(&format!("`{}`", answer.code)), "docs/CALLERS.md does not have {}", answer.code);
        assert!(page.contains(&answer.status.to_string()), "docs/CALLERS.md does not have {}", answer.status);
    }
}

#[test]
fn operators_page_has_every_setting() {
    let process = "[host]\nqqq = 1\n[platform]\nqqq = 1\n[configuration]\nqqq = 1\n[log]\nqqq = 1\n[metrics]\nqqq = 1\n\
                   [keys]\nqqq = 1\n";
    let process = ProcessSettings::parse(&SettingFile::parse("process", process).unwrap()).unwrap_err();
    let base = "[service a]\nclass = long\nkind = generation\nqqq = 1\n[service b]\nclass = quick\nkind = plain\nqqq = 1\n\
                [account a]\nqqq = 1\n[limits]\nqqq = 1\n";
    let overlay = "[site]\nqqq = 1\n[endpoint a]\nqqq = 1\n";
    let site = SiteSettings::merge(
        &SettingFile::parse("base", base).unwrap(),
        &SettingFile::parse("overlay", overlay).unwrap(),
    );
    let mut keys = [keys(&process), keys(&site.unwrap_err())].concat();
    keys.sort();
    keys.dedup();
    assert!(keys.len() > 40, "{keys:?}");
    let page = read_page("OPERATORS.md");
    for key in keys {
        assert!(page.contains(&format!("`{key}`")), "docs/OPERATORS.md does not have the setting {key}");
    }
}

#[test]
fn operators_page_has_every_counter() {
    let page = read_page("OPERATORS.md");
    for counter in RelayCounter::ALL {
        assert!(
            page.contains(&format!("`{}`", counter.label())),
            "docs/OPERATORS.md does not have {}",
            counter.label()
        );
    }
}

/// Log event names in a source file: string literals of two lower-case words separated by a dot.
fn event_names(source: &str) -> Vec<String> {
    let is_word = |word: &str| !word.is_empty() && word.chars().all(|c| c.is_ascii_lowercase() || c == '_');
    let texts = source.split('"').filter(|text| text.split_once('.').is_some_and(|(a, b)| is_word(a) && is_word(b)));
    texts.map(str::to_owned).collect()
}

fn read_sources(folder: &Path, found: &mut Vec<String>) {
    for entry in fs::read_dir(folder).unwrap().map(Result::unwrap) {
        let path = entry.path();
        if path.is_dir() {
            read_sources(&path, found);
        } else {
            found.push(fs::read_to_string(path).unwrap());
        }
    }
}

#[test]
fn operations_page_has_every_log_event_and_counter() {
    let page = read_page("OPERATIONS.md");
    let mut found = Vec::new();
    read_sources(&Path::new(env!("CARGO_MANIFEST_DIR")).join("../hollyhook_gateway/src"), &mut found);
    let names: Vec<String> = found.iter().flat_map(|source| event_names(source)).collect();
    assert!(names.len() > 20, "{names:?}");
    for name in names {
        assert!(page.contains(&format!("`{name}`")), "docs/OPERATIONS.md does not have the log event {name}");
    }
    for source in &found {
        for counter in source.split('"').filter(|text| text.starts_with("attempts_") || text.starts_with("requests_")) {
            assert!(page.contains(&format!("`{counter}`")), "docs/OPERATIONS.md does not have {counter}");
        }
    }
}

#[test]
fn operations_page_has_every_setting() {
    let text = "[host]\nqqq = 1\n[gateway]\nqqq = 1\n[platform]\nqqq = 1\n[bounds]\nqqq = 1\n[queue]\nqqq = 1\n[log]\nqqq = 1\n";
    let errors = GatewaySettings::parse(&SettingFile::parse("gateway", text).unwrap()).unwrap_err();
    let keys = keys(&errors);
    assert!(keys.len() > 12, "{keys:?}");
    let page = read_page("OPERATIONS.md");
    for key in keys {
        assert!(page.contains(&format!("`{key}`")), "docs/OPERATIONS.md does not have the setting {key}");
    }
}
