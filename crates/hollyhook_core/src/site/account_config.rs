use crate::{AccountName, Name};

/// A client account and the API keys that identify it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AccountConfig {
    /// The account's name, which is sent to endpoints.
    pub name: AccountName,
    /// The account's API keys, which are never sent to endpoints.
    pub keys: Vec<Name>,
    /// The priority of all requests of the account, 0 being the highest; if `None`, the route's priority applies.
    pub priority: Option<u8>,
}
