use std::collections::BTreeMap;
use std::path::Path;

use hollyhook_core::{Name, ZoneName};

use super::site_parser::SiteParser;
use super::{AccountSettings, EndpointSettings, LimitSettings, ServiceKind, ServiceSettings};
use crate::file::{SettingErrors, SettingFile};

/// What all hosts of a site agree on.
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
    /// What a host bears.
    pub limits: LimitSettings,
    /// A digest of both files, in hexadecimal.
    pub digest: Name,
    /// The place of each account by the digests of its keys.
    pub(super) key_index: BTreeMap<Name, usize>,
}

impl SiteSettings {
    /// Reads a base and an overlay and checks them as a whole.
    ///
    /// # Errors
    ///
    /// Everything that is wrong, at once.
    pub fn load(base: &Path, overlay: &Path) -> Result<Self, SettingErrors> {
        match (SettingFile::load(base), SettingFile::load(overlay)) {
            (Ok(base), Ok(overlay)) => Self::merge(&base, &overlay),
            (base, overlay) => {
                let errors = [base.err(), overlay.err()];
                Err(SettingErrors(errors.into_iter().flatten().flat_map(|errors| errors.0).collect()))
            }
        }
    }

    /// Checks a base and an overlay that were read.
    ///
    /// # Errors
    ///
    /// Everything that is wrong, at once.
    pub fn merge(base: &SettingFile, overlay: &SettingFile) -> Result<Self, SettingErrors> {
        SiteParser::new(base, overlay).parse()
    }

    /// The service of engines that serves a model.
    pub fn service_of_model(&self, model: &str) -> Option<&ServiceSettings> {
        self.services.iter().find(|service| match &service.kind {
            ServiceKind::Generation(generation) => &*generation.binding.model == model,
            ServiceKind::Plain(_) => false,
        })
    }

    /// The plain service whose prefix begins a path.
    pub fn service_of_path(&self, path: &str) -> Option<&ServiceSettings> {
        self.services.iter().find(|service| match &service.kind {
            ServiceKind::Generation(_) => false,
            ServiceKind::Plain(plain) => {
                path.strip_prefix(&*plain.prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
            }
        })
    }

    /// The client account of an API key.
    pub fn account_of_key(&self, digest: &str) -> Option<&AccountSettings> {
        self.key_index.get(digest).and_then(|place| self.accounts.get(*place))
    }
}
