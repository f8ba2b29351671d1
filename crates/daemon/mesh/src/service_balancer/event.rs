//! What happens to a request that waits.
use crate::peer_connection::ExchangeOutcome;
use silvercross_facade::Step;

/// What happens to a request that waits.
pub(crate) enum RequestEvent {
    /// The module wants this done.
    Step(Step<()>),
    /// An attempt has ended.
    AttemptEnded {
        /// The attempt's number within the request.
        number: u32,
        /// How it ended.
        outcome: ExchangeOutcome,
    },
}
