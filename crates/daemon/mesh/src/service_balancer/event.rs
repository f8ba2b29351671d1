//! Events of open requests.
use crate::peer_connection::ExchangeOutcome;
use silvercross_facade::Step;

/// An event of an open request.
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
