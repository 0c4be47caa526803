use crate::{AccountName, Name};

/// A client account and the API keys that name it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AccountConfig {
    /// The account's name, which endpoints are told.
    pub name: AccountName,
    /// Its API keys, which endpoints are never told.
    pub keys: Vec<Name>,
    /// The rank of all its requests, 0 first; none leaves the rank to the route.
    pub priority: Option<u8>,
}
