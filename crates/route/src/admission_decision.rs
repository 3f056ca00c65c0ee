//! Results of admission.

use crate::{Refusal, TicketKey};

/// Decision on a submitted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request may run now. [`Admission::release`](crate::Admission::release)
    /// ends it.
    Admitted(TicketKey),
    /// The request is queued until a later
    /// [`Admission::advance`](crate::Admission::advance) admits or refuses it.
    Queued(TicketKey),
    /// The request is refused.
    Refused(Refusal),
}

/// Decisions on queued requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QueueUpdate {
    /// Requests that may run now.
    pub admitted: Vec<TicketKey>,
    /// Requests that were shed in favour of others, or whose wait expired.
    pub refused: Vec<(TicketKey, Refusal)>,
}
