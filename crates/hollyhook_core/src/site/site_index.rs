use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use super::{
    AccountConfig, AccountPriorities, CallerLimits, RequestKind, RouteConfig, ServiceConfig, ServicePriorities,
    SiteConfig,
};
use crate::{Error, ErrorKind, Name, Result};

/// One version of the site configuration, indexed for lookups.
#[derive(Debug)]
pub struct SiteIndex {
    version: u64,
    limits: CallerLimits,
    /// Routes by host, longest prefix first.
    routes: HashMap<Name, Vec<Arc<RouteConfig>>>,
    services: HashMap<Name, ServiceConfig>,
    /// The priorities of the requests of each service that a route leads to.
    priorities: HashMap<Name, Arc<ServicePriorities>>,
    /// Accounts by API key; `None` if the site uses no API keys.
    accounts: Option<HashMap<Name, Arc<AccountConfig>>>,
}

impl SiteIndex {
    /// The version number; a newer version has a greater one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Limits on what callers may send.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// The number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// The service with the given name.
    pub fn service(&self, name: &str) -> Option<&ServiceConfig> {
        self.services.get(name)
    }

    /// The names of all services.
    pub fn services(&self) -> impl Iterator<Item = &Name> {
        self.services.keys()
    }

    /// The services of model engines that a route of resumable streams leads to.
    pub fn resumable_services(&self) -> BTreeSet<&Name> {
        let routes =
            self.routes.values().flatten().filter(|route| route.kind == RequestKind::Stream { is_resumable: true });
        let services = routes.flat_map(|route| &route.shares).map(|share| &share.service);
        services.filter(|service| self.service(service).is_some_and(|known| known.engine.is_some())).collect()
    }

    /// The priorities that requests of a service may have; `None` if no route leads to the service.
    pub fn priorities(&self, service: &str) -> Option<Arc<ServicePriorities>> {
        self.priorities.get(service).map(Arc::clone)
    }

    /// The route of `host` with the longest prefix that matches `path`.
    ///
    /// # Errors
    ///
    /// `UnknownPath` if the host has no route for the path.
    pub fn route(&self, host: &str, path: &str) -> Result<Arc<RouteConfig>> {
        let host = normalize_host(host);
        let routes = self.routes.get(host.as_str());
        let found = routes.into_iter().flatten().find(|route| path.starts_with(&*route.prefix));
        found.map(Arc::clone).ok_or_else(|| {
            Error::new(ErrorKind::UnknownPath, format!("no route of `{host}` takes the path `{path}`")).param("path")
        })
    }

    /// The account that an API key identifies; `None` if the route is public or the site uses no API keys.
    ///
    /// # Errors
    ///
    /// `MissingKey` if the route requires a key and `key` is `None`; `UnknownKey` if no account has this key.
    pub fn account(&self, route: &RouteConfig, key: Option<&str>) -> Result<Option<Arc<AccountConfig>>> {
        let Some(accounts) = &self.accounts else {
            return Ok(None);
        };
        if route.is_public {
            return Ok(None);
        }
        let Some(key) = key else {
            return Err(Error::new(ErrorKind::MissingKey, "the route asks for an API key and none came"));
        };
        let account = accounts.get(key).map(Arc::clone);
        account.map(Some).ok_or_else(|| Error::new(ErrorKind::UnknownKey, "no client account holds this API key"))
    }
}

impl From<SiteConfig> for SiteIndex {
    fn from(config: SiteConfig) -> Self {
        let priorities = index_priorities(&config);
        let mut routes: HashMap<Name, Vec<Arc<RouteConfig>>> = HashMap::new();
        for route in config.routes {
            routes.entry(Name::clone(&route.host)).or_default().push(Arc::new(route));
        }
        for routes in routes.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = config.services.into_iter().map(|service| (Name::clone(&service.name), service)).collect();
        let accounts = config.accounts.map(index_accounts);
        Self { version: config.version, limits: config.limits, routes, services, priorities, accounts }
    }
}

fn index_priorities(config: &SiteConfig) -> HashMap<Name, Arc<ServicePriorities>> {
    let accounts = AccountPriorities::new(config.accounts.as_deref());
    let mut index: HashMap<Name, ServicePriorities> = HashMap::new();
    for route in &config.routes {
        for share in &route.shares {
            index.entry(Name::clone(&share.service)).or_default().add_route(route, &accounts);
        }
    }
    index.into_iter().map(|(service, priorities)| (service, Arc::new(priorities))).collect()
}

fn index_accounts(accounts: Vec<AccountConfig>) -> HashMap<Name, Arc<AccountConfig>> {
    let mut index = HashMap::new();
    for account in accounts {
        let account = Arc::new(account);
        for key in &account.keys {
            index.insert(Name::clone(key), Arc::clone(&account));
        }
    }
    index
}

/// Normalizes a host name to the form used in routes: lower case, without a port.
fn normalize_host(host: &str) -> String {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    name.to_ascii_lowercase()
}
