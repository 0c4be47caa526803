use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

fn check_site(folder: &str, overlay: &str) -> (bool, String) {
    let folder = examples().join(folder);
    let output = Command::new(env!("CARGO_BIN_EXE_hollyhook"))
        .arg("check")
        .arg(folder.join("base.ini"))
        .arg("--overlay")
        .arg(folder.join(overlay))
        .output()
        .unwrap();
    (output.status.success(), String::from_utf8(output.stdout).unwrap())
}

fn check_hosts(folder: &str, prefix: &str) -> usize {
    let mut hosts = 0;
    for entry in fs::read_dir(examples().join(folder)).unwrap() {
        let path = entry.unwrap().path();
        if path.file_name().unwrap().to_str().unwrap().starts_with(prefix) {
            let mut command = Command::new(env!("CARGO_BIN_EXE_hollyhookd"));
            let output = command.arg("--settings").arg(&path).arg("--check").output().unwrap();
            assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
            hosts += 1;
        }
    }
    hosts
}

#[test]
fn examples_atlantico() {
    let (is_valid, summary) = check_site("atlantico", "lisbon.ini");
    assert!(is_valid && summary.contains("40 endpoints in 4 availability zones"), "{summary}");
    assert_eq!(check_hosts("atlantico", "lis-"), 8);
}

#[test]
fn examples_cuentas_claras() {
    let (is_valid, summary) = check_site("cuentas-claras", "quito.ini");
    assert!(is_valid && summary.contains("27 endpoints in 3 availability zones"), "{summary}");
    assert_eq!(check_hosts("cuentas-claras", "uio-"), 7);
}

#[test]
fn examples_local() {
    assert!(check_site("local", "site.ini").0);
    assert_eq!(check_hosts("local", "host-"), 2);
}

#[test]
fn check_wrong_settings() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("host.ini");
    fs::write(&path, "[host]\nnaem = a\n").unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_hollyhookd"));
    let output = command.arg("--settings").arg(&path).arg("--check").output().unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success());
    assert!(text.contains("host.ini:2: [host] naem: there is no such key here; did you mean `name`?"), "{text}");
    assert!(text.contains("`cursor` is missing"), "all errors must be reported, not only the first: {text}");
    assert!(!check_site("atlantico", "base.ini").0);
}
