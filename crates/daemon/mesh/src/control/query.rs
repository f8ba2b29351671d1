//! The query of a call's target.

/// The value of a parameter in the query of a target.
pub(super) fn query_parameter<'t>(target: &'t str, name: &str) -> Option<&'t str> {
    let (_, query) = target.split_once('?')?;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}
