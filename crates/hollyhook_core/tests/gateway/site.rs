use std::time::Duration;

use hollyhook_core::{
    AccountConfig, CallerLimits, ConfigAdoption, ErrorKind, RequestKind, RouteConfig, ServiceShare, SiteConfig,
    SiteIndex, SiteState, TimePoint,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn route(host: &str, prefix: &str) -> RouteConfig {
    RouteConfig {
        name: prefix.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RequestKind::Idempotent,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(150),
        gap_objective: None,
        max_attempts: 2,
        priority: 1,
        is_public: prefix.starts_with("/open/"),
        shares: vec![ServiceShare { service: "desk".into(), weight: 1 }],
    }
}

fn config(version: u64, keys: &[&str]) -> SiteConfig {
    let keys = keys.iter().map(|key| (*key).into()).collect();
    SiteConfig {
        version,
        routes: vec![
            route("a.example", "/x/"),
            route("a.example", "/x/y/"),
            route("b.example", "/"),
            route("a.example", "/open/"),
        ],
        services: Vec::new(),
        accounts: Some(vec![AccountConfig { name: "office".into(), keys, priority: None }]),
        limits: CallerLimits::default(),
    }
}

fn prefix(site: &SiteIndex, host: &str, path: &str) -> Option<String> {
    site.route(host, path).ok().map(|route| route.prefix.to_string())
}

#[test]
fn route_by_host_and_longest_prefix() {
    let site = SiteIndex::from(config(1, &[]));
    assert_eq!(prefix(&site, "a.example", "/x/1").as_deref(), Some("/x/"));
    assert_eq!(prefix(&site, "A.EXAMPLE:8080", "/x/y/1").as_deref(), Some("/x/y/"));
    assert_eq!(prefix(&site, "a.example", "/x/yy").as_deref(), Some("/x/"));
    assert_eq!(prefix(&site, "b.example", "/anything").as_deref(), Some("/"));
    for (host, path) in [("a.example", "/x"), ("a.example", "/"), ("c.example", "/x/1"), ("a.example", "/X/1")] {
        assert_eq!(site.route(host, path).unwrap_err().kind(), ErrorKind::UnknownPath, "{host} {path}");
    }
}

#[test]
fn account_by_key() {
    let site = SiteIndex::from(config(1, &["k1", "k2"]));
    let private = site.route("a.example", "/x/1").unwrap();
    assert_eq!(&*site.account(&private, Some("k2")).unwrap().unwrap().name, "office");
    assert_eq!(site.account(&private, Some("k3")).unwrap_err().kind(), ErrorKind::UnknownKey);
    assert_eq!(site.account(&private, None).unwrap_err().kind(), ErrorKind::MissingKey);
    let public = site.route("a.example", "/open/1").unwrap();
    assert!(site.account(&public, None).unwrap().is_none());
    let keyless = SiteIndex::from(SiteConfig { accounts: None, ..config(1, &[]) });
    assert!(keyless.account(&private, None).unwrap().is_none());
}

/// Placement by priority applies only to services whose requests differ in priority.
#[test]
fn priorities_of_service_by_routes_and_accounts() {
    let account = |name: &str, priority| AccountConfig { name: name.into(), keys: Vec::new(), priority };
    let above = |config: SiteConfig| -> Vec<(u8, u64)> {
        let priorities = SiteIndex::from(config).priorities("desk").unwrap();
        assert_eq!(priorities.is_mixed(), priorities.above(u8::MAX).count() > 1);
        priorities.above(u8::MAX).map(|(priority, objective)| (priority, objective.as_millis() as u64)).collect()
    };
    assert_eq!(above(config(1, &[])), [(1, 150)]);
    let mut by_route = config(1, &[]);
    by_route.routes[0].priority = 0;
    by_route.routes[0].latency_objective = Duration::from_millis(90);
    assert_eq!(above(by_route.clone()), [(0, 90), (1, 150)]);
    // No request has the priority of a route if all accounts have their own; a public route has no accounts.
    by_route.accounts = Some(vec![account("a", Some(2))]);
    assert_eq!(above(by_route.clone()), [(1, 150), (2, 90)], "the public route and the account's requests");
    by_route.accounts = Some(vec![account("a", Some(2)), account("b", None)]);
    assert_eq!(above(by_route.clone()), [(0, 90), (1, 150), (2, 90)]);
    by_route.routes[0].shares[0].service = "other".into();
    assert_eq!(above(by_route), [(1, 150), (2, 150)], "a route to another service");
}

/// An older version from a store that was restored from an older copy is not put in force, but confirms the version in
/// force: the store holds nothing newer.
#[test]
fn state_older_version_of_later_era_confirms() {
    let mut state = SiteState::default();
    state.adopt(config(4, &[]), TimePoint::from_millis(1_000), 1);
    assert_eq!(state.adopt(config(3, &[]), TimePoint::from_millis(9_000), 2), ConfigAdoption::Older);
    assert_eq!(state.site().unwrap().version(), 4);
    assert_eq!(state.confirmed_at(), Some(TimePoint::from_millis(9_000)));
    state.adopt(config(5, &[]), TimePoint::from_millis(9_500), 2);
    assert_eq!(state.adopt(config(4, &[]), TimePoint::from_millis(9_900), 2), ConfigAdoption::Older);
    assert_eq!(state.confirmed_at(), Some(TimePoint::from_millis(9_500)));
}

#[test]
fn state_confirmed_for_a_bounded_time() {
    let bound = Duration::from_secs(3);
    let mut state = SiteState::default();
    assert!(!state.is_current(TimePoint::ZERO, bound));
    state.adopt(config(4, &[]), TimePoint::from_millis(1_000), 1);
    assert!(state.is_current(TimePoint::from_millis(3_999), bound));
    assert!(!state.is_current(TimePoint::from_millis(4_000), bound));
    state.confirm(TimePoint::from_millis(2_000));
    // A confirmation that arrives late has an earlier time and changes nothing.
    state.confirm(TimePoint::from_millis(500));
    assert!(state.is_current(TimePoint::from_millis(4_500), bound));
    // A late read of an older version confirms nothing.
    assert_eq!(state.adopt(config(3, &[]), TimePoint::from_millis(9_000), 1), ConfigAdoption::Older);
    assert!(!state.is_current(TimePoint::from_millis(9_000), bound));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// The newest version read so far is in force, in whatever order versions are read.
    #[test]
    fn state_never_goes_back(versions in proptest::collection::vec(0_u64..20, 1..40)) {
        let mut state = SiteState::default();
        let mut newest = None;
        for (step, version) in versions.into_iter().enumerate() {
            state.adopt(config(version, &[]), TimePoint::from_millis(step as u64), 1);
            newest = newest.max(Some(version));
            prop_assert_eq!(state.site().map(|site| site.version()), newest);
        }
    }
}
