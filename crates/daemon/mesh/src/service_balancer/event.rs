//! What happens to a request that waits.
use crate::peer_connection::ExchangeOutcome;
use silvercross_facade::Step;

/// What happens to a request that waits.
pub(crate) enum RequestEvent {
    /// The module wants this done.
    Step(Step<()>),
    /// The attempt with this number has ended.
    AttemptEnded(u32, ExchangeOutcome),
}
