//! Names in the operator's JSON. They are external and must not change; the doc comments give the terms used in the
//! code.

/// Routes, grouped by virtual host.
pub(crate) const VIRTUAL_HOSTS: &str = "depots";
/// The virtual host of a group of routes.
pub(crate) const VIRTUAL_HOST: &str = "depot";
/// The routes of a group.
pub(crate) const ROUTES_OF_HOST: &str = "lanes";
/// The path prefix of a route.
pub(crate) const PATH_PREFIX: &str = "lane";
/// The limits for clients.
pub(crate) const CLIENT_LIMITS: &str = "sizeLimits";
/// The version of any item.
pub(crate) const VERSION: &str = "edition";
/// What a call sets.
pub(crate) const DELIVER: &str = "deliver";
/// What a call withdraws.
pub(crate) const WITHDRAW: &str = "withdraw";
