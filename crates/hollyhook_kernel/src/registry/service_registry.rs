use std::any::Any;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, PoisonError, RwLock};

use hollyhook_core::{Error, ErrorKind, Name, Result};

type ServiceHandle = Arc<dyn Any + Send + Sync>;

/// The services of one process, by name.
///
/// A service is any shareable value: a [`Mailbox`](super::Mailbox), a table behind a lock, a struct of closures.
///
/// ```
/// use hollyhook_kernel::ServiceRegistry;
///
/// let registry = ServiceRegistry::default();
/// registry.register("greeting", String::from("hello"))?;
/// assert_eq!(*registry.find::<String>("greeting")?, "hello");
/// # Ok::<(), hollyhook_core::Error>(())
/// ```
#[derive(Clone, Default)]
pub struct ServiceRegistry {
    services: Arc<RwLock<BTreeMap<Name, ServiceHandle>>>,
}

impl ServiceRegistry {
    /// Registers a service and returns a shared handle to it.
    ///
    /// # Errors
    ///
    /// `Conflict` if a service is registered under the name already.
    pub fn register<S: Send + Sync + 'static>(&self, name: impl Into<Name>, service: S) -> Result<Arc<S>> {
        let name = name.into();
        let service = Arc::new(service);
        let mut services = self.services.write().unwrap_or_else(PoisonError::into_inner);
        if services.contains_key(&name) {
            return Err(Error::new(ErrorKind::Conflict, format!("a service named `{name}` is registered already")));
        }
        let handle = Arc::<S>::clone(&service);
        services.insert(name, handle);
        Ok(service)
    }

    /// Finds a service by its name and type.
    ///
    /// # Errors
    ///
    /// `Internal` if no service has the name, or the service is of another type.
    pub fn find<S: Send + Sync + 'static>(&self, name: &str) -> Result<Arc<S>> {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        let handle = services
            .get(name)
            .map(Arc::clone)
            .ok_or_else(|| Error::new(ErrorKind::Internal, format!("no service is named `{name}`")))?;
        handle.downcast::<S>().map_err(|_handle| {
            let expected = std::any::type_name::<S>();
            Error::new(ErrorKind::Internal, format!("the service `{name}` is not a `{expected}`"))
        })
    }

    /// The names of all services in ascending order.
    pub fn names(&self) -> Vec<Name> {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        services.keys().map(Name::clone).collect()
    }
}

impl fmt::Debug for ServiceRegistry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(self.names()).finish()
    }
}
