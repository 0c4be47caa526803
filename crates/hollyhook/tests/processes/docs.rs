use std::fs;
use std::path::Path;

use hollyhook_core::{ErrorKind, RelayNote, answer_for};
use hollyhook_settings::{ProcessSettings, SettingErrors, SettingFile, SiteSettings};

fn page(name: &str) -> String {
    fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(name)).unwrap()
}

/// The keys of each section, as the error for one that is far from all of them lists them.
fn keys(errors: &SettingErrors) -> Vec<String> {
    let lists = errors.0.iter().filter_map(|error| error.right.strip_prefix("the keys are "));
    lists.flat_map(|list| list.split(", ")).map(str::to_owned).collect()
}

#[test]
fn callers_page_has_every_error() {
    let page = page("CALLERS.md");
    for kind in ErrorKind::ALL {
        let answer = answer_for(kind);
        // These two are answers to an operator, not to a caller.
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
    let page = page("OPERATORS.md");
    for key in keys {
        assert!(page.contains(&format!("`{key}`")), "docs/OPERATORS.md does not have the setting {key}");
    }
}

#[test]
fn operators_page_has_every_note() {
    let page = page("OPERATORS.md");
    for note in RelayNote::ALL {
        assert!(page.contains(&format!("`{}`", note.label())), "docs/OPERATORS.md does not have {}", note.label());
    }
}
