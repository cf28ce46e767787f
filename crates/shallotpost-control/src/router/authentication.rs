//! Authentication of requests by API key, and the rights of keys.

use shallotpost_protocol::interface::Request;
use shallotpost_protocol::key;
use shallotpost_protocol::resource::{Kind, Resource, Right};

use super::{Router, acts_for, forbidden, stale_configuration};
use crate::prelude::*;

/// Name of the key for the initial set-up. It is valid only until an operator's key exists.
pub const BOOTSTRAP_KEY: &str = "bootstrap";

impl Router {
    /// Verifies an API key against the configuration, which must be confirmed as fresh.
    pub(super) fn authenticate(
        &self,
        context: &Context,
        api_key: &str,
    ) -> Result<Identity, Problem> {
        match self.configuration_lease_until {
            Some(until) if context.now < until => {}
            _ => return Err(stale_configuration()),
        }
        let Some((name, secret)) = key::split(api_key) else {
            return Err(unauthorized("No key of the form <name>.<secret> came with the request."));
        };
        let found = self.snapshot.key(name).filter(|key| key::matches(secret, &key.digest));
        match found {
            Some(key) if key.expires_unix_ms.is_some_and(|expires| expires <= context.unix_ms) => {
                Err(unauthorized("The key has expired."))
            }
            Some(key) => Ok(Identity { key: name.to_owned(), right: key.right.clone() }),
            None if name == BOOTSTRAP_KEY && self.is_bootstrap_secret(secret) => {
                Ok(Identity { key: name.to_owned(), right: Right::Operator })
            }
            None => Err(unauthorized("The key is unknown, withdrawn or wrong.")),
        }
    }

    /// Whether `secret` is that of the bootstrap key, and no operator's key exists yet.
    fn is_bootstrap_secret(&self, secret: &str) -> bool {
        let keys = self.snapshot.names(Kind::Key).filter_map(|name| self.snapshot.key(name));
        let operator_exists = keys.into_iter().any(|key| key.right == Right::Operator);
        let digest = self.settings.bootstrap_digest.as_deref();
        !operator_exists && digest.is_some_and(|digest| key::matches(secret, digest))
    }
}

/// Checks whether the identity may make the request. The service that handles the request checks the rights that depend
/// on stored records.
///
/// # Errors
/// Returns `Forbidden` if it may not, and `Malformed` for a key with the reserved name `bootstrap`.
pub fn check_right(identity: &Identity, request: &Request) -> Result<(), Problem> {
    let allowed = match request {
        Request::Ready | Request::Submit(_) => true,
        // Only the record shows whether this key submitted the work to an open queue of another team.
        Request::Status(_) | Request::Cancel(_) | Request::Explain(_) | Request::Wait { .. } => {
            true
        }
        Request::List { team, .. } => acts_for(identity, team),
        Request::Object { name, .. } => {
            name.split_once('/').is_some_and(|(team, _)| acts_for(identity, team))
        }
        Request::Get { kind: Kind::Team, name } => acts_for(identity, name),
        Request::Put { name, resource, .. }
            if name == BOOTSTRAP_KEY && matches!(resource, Resource::Key(_)) =>
        {
            let message = format!("The name {BOOTSTRAP_KEY:?} is reserved for the first set-up.");
            return Err(Problem::new(ProblemKind::Malformed, message));
        }
        _ => identity.right == Right::Operator,
    };
    match allowed {
        true => Ok(()),
        false => Err(forbidden(identity)),
    }
}

fn unauthorized(message: &str) -> Problem {
    Problem::new(ProblemKind::Unauthorized, message)
}
