//! Keys and rights.

use shallotpost_protocol::interface::Request;
use shallotpost_protocol::key;
use shallotpost_protocol::resource::{Kind, Resource, Right};

use super::{Router, acts_for, forbidden, stale};
use crate::prelude::*;

/// Name of the key of the first set-up. It works only until an operator's key exists.
pub const BOOTSTRAP_KEY: &str = "bootstrap";

impl Router {
    /// Verifies a presented key against the configuration, which must be fresh.
    pub(super) fn authenticate(
        &self,
        context: &Context,
        presented: &str,
    ) -> Result<Identity, Problem> {
        match self.fresh_until {
            Some(until) if context.now < until => {}
            _ => return Err(stale()),
        }
        let Some((name, secret)) = key::split(presented) else {
            return Err(unauthorized("No key of the form <name>.<secret> came with the request."));
        };
        let found = self.snapshot.key(name).filter(|key| key::matches(secret, &key.digest));
        match found {
            Some(key) if key.expires_unix_ms.is_some_and(|expires| expires <= context.unix_ms) => {
                Err(unauthorized("The key has expired."))
            }
            Some(key) => Ok(Identity { key: name.to_owned(), right: key.right.clone() }),
            None if name == BOOTSTRAP_KEY && self.is_bootstrap(secret) => {
                Ok(Identity { key: name.to_owned(), right: Right::Operator })
            }
            None => Err(unauthorized("The key is unknown, withdrawn or wrong.")),
        }
    }

    fn is_bootstrap(&self, secret: &str) -> bool {
        let operators = self.snapshot.names(Kind::Key).filter_map(|name| self.snapshot.key(name));
        let set_up = operators.into_iter().any(|key| key.right == Right::Operator);
        let digest = self.settings.bootstrap_digest.as_deref();
        !set_up && digest.is_some_and(|digest| key::matches(secret, digest))
    }
}

/// Checks that the identity may make the request at all; the handling service checks the rest.
pub fn check_right(identity: &Identity, request: &Request) -> Result<(), Problem> {
    let allowed = match request {
        Request::Ready | Request::Submit(_) => true,
        // Only the record tells whether this key submitted the work to an open queue of another team.
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
