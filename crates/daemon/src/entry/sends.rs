//! Sends of one request, numbered by address.

use std::collections::HashMap;

use crate::hints::permit::Permit;

/// Sends of one request so far, by the address of the server.
#[derive(Debug, Default)]
pub struct Sends(HashMap<String, usize>);

/// Permit for a send, with the number of earlier sends of the request to the same address.
///
/// A server may repeat its answer to an earlier send at the place of the answer to a later one, where it
/// names the right request. Connections carry sends of one number only, so none carries two sends of a
/// request.
#[derive(Debug)]
pub struct NumberedPermit {
    pub(in crate::entry) permit: Permit,
    pub(in crate::entry) number: usize,
}

impl Sends {
    /// Numbers the next send. A number is not used again, also if the send fails.
    pub fn number(&mut self, permit: Permit) -> NumberedPermit {
        let next = self.0.entry(permit.choice().address.clone()).or_default();
        let number = *next;
        *next += 1;
        NumberedPermit { permit, number }
    }
}
