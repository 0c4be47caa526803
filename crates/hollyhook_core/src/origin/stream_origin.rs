use std::collections::BTreeSet;

use crate::Name;

/// Which software versions may continue a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamOrigin {
    /// Any version: the caller has no event yet.
    Open,
    /// Only this version, which wrote the events that the caller has.
    Version(Name),
    /// Only the version that wrote the events that the caller has, which no host knows. The origin snapshots in the store
    /// may tell.
    Unknown,
    /// As [`Unknown`](Self::Unknown), but it is not even known which versions may have begun the stream.
    Untraceable,
}

/// What one host knows of a stream's origin.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OriginAnswer {
    /// The version that began the stream, if the host knows it.
    pub version: Option<Name>,
    /// The versions of the stream's service that may have begun streams that come back, as far as the host knows.
    pub versions: BTreeSet<Name>,
    /// Whether the host knows all such versions. A host that has just started has seen none of those that have gone.
    pub is_complete: bool,
}

impl StreamOrigin {
    /// Decides from what this host and others know which versions may continue a stream that a caller takes up.
    ///
    /// If only one version may have begun it, the stream is bound to that one, since others may appear while it runs.
    ///
    /// ```
    /// use std::collections::BTreeSet;
    ///
    /// use hollyhook_core::{Name, OriginAnswer, StreamOrigin};
    ///
    /// let set = |names: &[&str]| names.iter().map(|name| (*name).into()).collect::<BTreeSet<Name>>();
    /// let own = OriginAnswer { version: None, versions: set(&["v1"]), is_complete: true };
    /// let other = OriginAnswer { versions: set(&["v1", "v2"]), ..own.clone() };
    /// let holder = OriginAnswer { version: Some("v2".into()), ..other.clone() };
    /// assert_eq!(StreamOrigin::resolve([&own]), StreamOrigin::Version("v1".into()));
    /// assert_eq!(StreamOrigin::resolve([&own, &other]), StreamOrigin::Unknown);
    /// assert_eq!(StreamOrigin::resolve([&own, &other, &holder]), StreamOrigin::Version("v2".into()));
    /// let started = OriginAnswer { is_complete: false, ..own.clone() };
    /// assert_eq!(StreamOrigin::resolve([&started]), StreamOrigin::Untraceable);
    /// ```
    pub fn resolve<'a>(answers: impl IntoIterator<Item = &'a OriginAnswer> + Clone) -> Self {
        if let Some(version) = answers.clone().into_iter().find_map(|answer| answer.version.clone()) {
            return Self::Version(version);
        }
        if !answers.clone().into_iter().any(|answer| answer.is_complete) {
            return Self::Untraceable;
        }
        let mut versions: BTreeSet<&Name> = answers.into_iter().flat_map(|answer| &answer.versions).collect();
        match versions.pop_first() {
            None => Self::Untraceable,
            Some(only) if versions.is_empty() => Self::Version(Name::clone(only)),
            Some(_) => Self::Unknown,
        }
    }
}
