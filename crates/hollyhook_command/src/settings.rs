//! Checks of the settings files and generation of keys.

use std::path::Path;
use std::process::ExitCode;

use hollyhook_settings::{SiteSettings, key_digest};

/// Checks a base file with an overlay file, and prints a summary of the site or every error.
pub(crate) fn check_settings(base: &Path, overlay: &Path) -> ExitCode {
    match SiteSettings::load(base, overlay) {
        Ok(site) => {
            println!(
                "site {}: {} services, {} client accounts, {} endpoints in {} availability zones; digest {}",
                site.name,
                site.services.len(),
                site.accounts.len(),
                site.endpoints.len(),
                site.zones.len(),
                site.digest
            );
            ExitCode::SUCCESS
        }
        Err(errors) => {
            eprintln!("{errors}");
            ExitCode::FAILURE
        }
    }
}

/// Prints a new cursor key as a line for the settings, or a new API key with the settings line of its digest.
pub(crate) fn print_key(is_cursor: bool) {
    let (high, low): (u128, u128) = (rand::random(), rand::random());
    if is_cursor {
        println!("cursor = {high:032x}{low:032x}");
        return;
    }
    let key = format!("hh-{high:032x}");
    println!("key: {key}");
    println!("key_sha256 = {}", key_digest(&key));
}
