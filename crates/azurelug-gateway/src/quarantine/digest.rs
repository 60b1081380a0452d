//! Digests by which all gateways recognize a request that a client sends again.

use std::fmt;
use std::hash::Hasher;

use azurelug_types::id::AccountName;
use azurelug_wire::handshake::Identity;
use http::request::Parts;
use http::uri::PathAndQuery;
use siphasher::sip::SipHasher24;

/// Computes digests of requests with the cluster's secret, so that a client can't craft a request
/// with the digest of another one.
pub struct Digester(SipHasher24);

impl fmt::Debug for Digester {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Digester")
    }
}

impl Digester {
    /// Uses a key that all gateways of the cluster derive.
    #[must_use]
    pub fn new(identity: &Identity) -> Self {
        let secret = identity.derive_key("request digest");
        let key = secret.first_chunk().expect("the secret is longer");
        Self(SipHasher24::new_with_key(key))
    }

    /// Digest of what identifies a request: method, path with query, client account and body. The
    /// request id differs between repeats, and an account may have several API keys.
    #[must_use]
    pub fn digest(&self, parts: &Parts, account: Option<&AccountName>, body: &[u8]) -> u64 {
        let mut hasher = self.0;
        let path = parts.uri.path_and_query().map_or("", PathAndQuery::as_str);
        let account_name = account.map_or("", AccountName::as_str);
        let fields = [
            parts.method.as_str().as_bytes(),
            path.as_bytes(),
            account_name.as_bytes(),
            body,
        ];
        hasher.write_u8(u8::from(account.is_some()));
        for field in fields {
            // The lengths keep different fields with the same concatenation apart.
            hasher.write_u64(field.len() as u64);
            hasher.write(field);
        }
        hasher.finish()
    }
}
