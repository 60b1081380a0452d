//! Tests of the digests by which gateways recognize a request that comes again.
#![allow(clippy::unwrap_used)]

use azurelug_gateway::quarantine::digest::Digester;
use azurelug_types::id::{AccountName, DaemonName, ZoneName};
use azurelug_wire::handshake::Identity;
use http::Request;
use http::request::Parts;

fn digester(daemon: &str, key: u8) -> Digester {
    Digester::new(&Identity {
        cluster: "test".to_owned(),
        daemon: DaemonName(daemon.to_owned()),
        zone: ZoneName::from("a"),
        incarnation: 1,
        key: vec![key; 32],
    })
}

fn parts(method: &str, uri: &str, id: &str) -> Parts {
    let request = Request::builder().method(method).uri(uri);
    let request = request.header("x-request-attempt-id", id);
    request.body(()).unwrap().into_parts().0
}

/// Guards against a repeat that other gateways take for another request.
#[test]
fn a_repeat_has_the_same_digest_at_every_gateway() {
    let account = AccountName("carts".to_owned());
    let digest = |daemon: &str, id: &str, uri: &str| {
        let parts = parts("POST", uri, id);
        digester(daemon, 7).digest(&parts, Some(&account), b"body")
    };
    let first = digest("gateway-1", "id-1", "/book/x?q=1");
    assert_eq!(first, digest("gateway-2", "id-2", "/book/x?q=1"));
    let absolute = "http://carts.example/book/x?q=1";
    assert_eq!(first, digest("gateway-1", "id-3", absolute));
}

/// Guards against sound requests that are refused together with one that differs in one field, or
/// whose digest a client can compute.
#[test]
fn requests_that_differ_in_one_field_have_different_digests() {
    let (own, other) = (
        AccountName("carts".to_owned()),
        AccountName("cart".to_owned()),
    );
    let digester_7 = digester("gateway-1", 7);
    let digest = |method: &str, uri: &str, account: Option<&AccountName>, body: &[u8]| {
        digester_7.digest(&parts(method, uri, "id"), account, body)
    };
    let digests = [
        digest("POST", "/book/x", Some(&own), b"body"),
        digest("PUT", "/book/x", Some(&own), b"body"),
        digest("POST", "/book/x?", Some(&own), b"body"),
        digest("POST", "/book/x?q=1", Some(&own), b"body"),
        digest("POST", "/book/x", Some(&other), b"body"),
        digest("POST", "/book/x", Some(&other), b"sbody"),
        digest("POST", "/book/x", None, b"body"),
        digest("POST", "/book/x", Some(&own), b"bodY"),
        digest("POST", "/book/x", Some(&own), b""),
        digester("gateway-1", 8).digest(&parts("POST", "/book/x", "id"), Some(&own), b"body"),
    ];
    for (position, digest) in digests.iter().enumerate() {
        assert!(!digests[..position].contains(digest), "digest {position}");
    }
}
