//! What happens to a request that waits.
use crate::peer_connection::ExchangeOutcome;
use silvercross_facade::Step;

/// What happens to a request that waits.
pub(crate) enum RequestEvent {
    /// A step of the module to be carried out.
    Step(Step<()>),
    /// An attempt has ended.
    AttemptEnded {
        /// The number of the attempt within the request.
        number: u32,
        /// The outcome of the attempt.
        outcome: ExchangeOutcome,
    },
}
