use std::collections::BTreeMap;
use std::path::Path;

use hollyhook_core::{Name, ZoneName};

use super::site_parser::SiteParser;
use super::{AccountSettings, EndpointSettings, LimitSettings, ServiceKind, ServiceSettings};
use crate::file::{SettingErrors, SettingFile};

/// Settings shared by all hosts of a site.
#[derive(Debug, Clone, PartialEq)]
pub struct SiteSettings {
    /// The site's name.
    pub name: Name,
    /// Its availability zones.
    pub zones: Vec<ZoneName>,
    /// The services.
    pub services: Vec<ServiceSettings>,
    /// The client accounts.
    pub accounts: Vec<AccountSettings>,
    /// The endpoints.
    pub endpoints: Vec<EndpointSettings>,
    /// The limits and timeouts of a host.
    pub limits: LimitSettings,
    /// SHA-256 of the merged sections of both files, in hexadecimal.
    pub digest: Name,
    /// Index in `accounts` by the digest of an API key.
    pub(super) key_index: BTreeMap<Name, usize>,
}

impl SiteSettings {
    /// Reads a base and an overlay file and checks them as a whole.
    ///
    /// # Errors
    ///
    /// All errors in both files together.
    pub fn load(base: &Path, overlay: &Path) -> Result<Self, SettingErrors> {
        match (SettingFile::load(base), SettingFile::load(overlay)) {
            (Ok(base), Ok(overlay)) => Self::merge(&base, &overlay),
            (base, overlay) => {
                let errors = [base.err(), overlay.err()];
                Err(SettingErrors(errors.into_iter().flatten().flat_map(|errors| errors.0).collect()))
            }
        }
    }

    /// Merges a base and an overlay that were already read, and checks the result.
    ///
    /// # Errors
    ///
    /// All errors in both files together.
    pub fn merge(base: &SettingFile, overlay: &SettingFile) -> Result<Self, SettingErrors> {
        SiteParser::new(base, overlay).parse()
    }

    /// Returns the generation service of a model.
    pub fn service_of_model(&self, model: &str) -> Option<&ServiceSettings> {
        self.services.iter().find(|service| match &service.kind {
            ServiceKind::Generation(generation) => &*generation.binding.model == model,
            ServiceKind::Plain(_) => false,
        })
    }

    /// Returns the first plain service whose prefix matches whole segments at the start of a path.
    pub fn service_of_path(&self, path: &str) -> Option<&ServiceSettings> {
        self.services.iter().find(|service| match &service.kind {
            ServiceKind::Generation(_) => false,
            ServiceKind::Plain(plain) => {
                path.strip_prefix(&*plain.prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
            }
        })
    }

    /// Returns the client account of an API key, given the key's digest as made by [`key_digest`](crate::key_digest).
    pub fn account_of_key(&self, digest: &str) -> Option<&AccountSettings> {
        self.key_index.get(digest).and_then(|index| self.accounts.get(*index))
    }
}
