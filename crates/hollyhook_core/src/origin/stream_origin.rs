use std::collections::BTreeSet;

use crate::Name;

/// Which software versions may continue a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamOrigin {
    /// Any version: the caller has no event yet, or only one version has served lately.
    Open,
    /// Only this version, which wrote the events that the caller has.
    Version(Name),
    /// Only the version that wrote the events that the caller has, which no host knows.
    Unknown,
}

/// What one host knows of a stream's origin.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OriginAnswer {
    /// The version that began the stream, if the host knows it.
    pub version: Option<Name>,
    /// The versions of the stream's service that the host has seen lately.
    pub versions: BTreeSet<Name>,
}

impl StreamOrigin {
    /// Decides from what this host and others know which versions may continue a stream.
    ///
    /// ```
    /// use hollyhook_core::{OriginAnswer, StreamOrigin};
    ///
    /// let seen = |names: &[&str]| names.iter().map(|name| (*name).into()).collect();
    /// let own = OriginAnswer { version: None, versions: seen(&["v1"]) };
    /// let other = OriginAnswer { version: None, versions: seen(&["v1", "v2"]) };
    /// let holder = OriginAnswer { version: Some("v2".into()), ..other.clone() };
    /// assert_eq!(StreamOrigin::resolve([&own]), StreamOrigin::Open);
    /// assert_eq!(StreamOrigin::resolve([&own, &other]), StreamOrigin::Unknown);
    /// assert_eq!(StreamOrigin::resolve([&own, &other, &holder]), StreamOrigin::Version("v2".into()));
    /// ```
    pub fn resolve<'a>(answers: impl IntoIterator<Item = &'a OriginAnswer> + Clone) -> Self {
        if let Some(version) = answers.clone().into_iter().find_map(|answer| answer.version.clone()) {
            return Self::Version(version);
        }
        let versions: BTreeSet<&Name> = answers.into_iter().flat_map(|answer| &answer.versions).collect();
        if versions.len() <= 1 { Self::Open } else { Self::Unknown }
    }
}
