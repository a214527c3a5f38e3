//! Parses and validates the head of a client's request, or says why the request is rejected.

use std::time::Duration;

use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode, Uri};
use woodgap::settings::RequestNames;
use woodgap::{Key, Micros, Semantics, Settings};
use xxhash_rust::xxh3::xxh3_64;

use crate::exchange::MAX_BODY_BYTES;

/// Longest `X-Txn`.
const MAX_TXN_BYTES: usize = 128;
/// Headers that the node or servers interpret and that may stand in a request only once: of two, the node
/// might read the first and the server the last.
const UNIQUE_STANDARD_HEADERS: [HeaderName; 3] = [header::HOST, header::CONTENT_LENGTH, header::EXPECT];
const UNIQUE_OTHER_HEADERS: [&str; 8] =
    ["x-txn", "x-lane", "x-org", "x-remaining-ms", "x-resent", "x-estimate", "x-labels", "idempotency-key"];

/// Body of the 400 for a method or a body that requests of the class must not have.
const CLASS_MISMATCH: &str = "the method or the body does not fit the class\n";

/// Why a request is rejected: the status and body of the response.
pub type Rejection = (StatusCode, &'static str);

/// The head of a valid request.
pub struct RequestHead {
    /// Whether requests of the class may run more than once (`Semantics::Safe`); such a request has no body.
    is_safe: bool,
    /// The client's id for the request, from `X-Txn`.
    pub txn: String,
    /// Index of the class in the settings, from `X-Lane`.
    pub class: usize,
    /// Index of the tenant in the settings, from `X-Org`.
    pub tenant: Option<usize>,
    /// How long the client waits, from `X-Remaining-Ms`; at most the deadline of the class.
    pub time_left: Duration,
    /// The request's routing key, from the query.
    pub key: Option<Key>,
    /// The client marked the request as a retry of an earlier one, with `X-Resent: 1`.
    pub is_client_retry: bool,
    /// The client's estimate of the work, from `X-Estimate`.
    pub cost: Option<Micros>,
    /// GET for a safe class, POST for another.
    pub method: Method,
    /// The path and query.
    pub target: Uri,
    /// The headers that are forwarded to servers.
    pub headers: HeaderMap,
}

fn bad_request(why: &'static str) -> Rejection {
    (StatusCode::BAD_REQUEST, why)
}

impl RequestHead {
    /// Parses a head. `min_body_bytes` is a lower bound of the body's length; `is_chunked_only` tells that
    /// `Transfer-Encoding: chunked` is known to be the only framing.
    pub fn parse(
        parts: Parts,
        min_body_bytes: u64,
        is_chunked_only: bool,
        settings: &Settings,
        names: &RequestNames,
    ) -> Result<RequestHead, Rejection> {
        let headers = &parts.headers;
        // hyper drops a Content-Length beside Transfer-Encoding without a trace, so `headers` does not show
        // whether the request had both. A request with both may hide another request in its body.
        if headers.contains_key(header::TRANSFER_ENCODING) && !is_chunked_only {
            return Err((StatusCode::LENGTH_REQUIRED, "send a Content-Length, or chunks and nothing else\n"));
        }
        let is_repeated = |count: usize| count > 1;
        if UNIQUE_STANDARD_HEADERS.iter().any(|name| is_repeated(headers.get_all(name).iter().count()))
            || UNIQUE_OTHER_HEADERS.iter().any(|name| is_repeated(headers.get_all(*name).iter().count()))
        {
            return Err(bad_request("a header stands twice\n"));
        }
        if !headers.contains_key(header::HOST) {
            return Err(bad_request("Host is missing\n"));
        }
        if parts.method != Method::GET && parts.method != Method::POST {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "GET or POST\n"));
        }
        if min_body_bytes > MAX_BODY_BYTES as u64 {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is too long\n"));
        }
        let text = |name: &str| headers.get(name).map(HeaderValue::to_str).transpose();
        let txn = text("x-txn").map_err(|_| bad_request("X-Txn is not text\n"))?.unwrap_or("");
        if txn.is_empty() || txn.len() > MAX_TXN_BYTES {
            return Err(bad_request("X-Txn is missing or too long\n"));
        }
        let class = text("x-lane").ok().flatten().and_then(|name| names.class_index(name));
        let class = class.ok_or(bad_request("X-Lane names no known class\n"))?;
        let tenant = match text("x-org").map_err(|_| bad_request("X-Org is not text\n"))? {
            None => None,
            Some(name) => Some(names.tenant_index(name).ok_or(bad_request("X-Org names no known tenant\n"))?),
        };
        let class_settings = &settings.classes[class];
        let (is_safe, is_keyed) = match class_settings.semantics {
            Semantics::Safe => (true, false),
            Semantics::Deduplicated { .. } => (false, true),
            Semantics::Unsafe => (false, false),
        };
        // Servers go by the method and the idempotency key. A request whose method or key contradicts its
        // class would be retried by the wrong rule.
        if (parts.method == Method::GET) != is_safe || (is_safe && min_body_bytes > 0) {
            return Err(bad_request(CLASS_MISMATCH));
        }
        if headers.contains_key("idempotency-key") != is_keyed {
            return Err(bad_request("Idempotency-Key does not fit the class\n"));
        }
        let class_deadline = Duration::from_micros(class_settings.deadline);
        let remaining = text("x-remaining-ms").map_err(|_| bad_request("X-Remaining-Ms is not text\n"))?;
        let time_left = match remaining {
            None => class_deadline,
            Some(text) => {
                let ms: u64 =
                    text.trim().parse().map_err(|_| bad_request("X-Remaining-Ms is no whole number\n"))?;
                Duration::from_millis(ms).min(class_deadline)
            }
        };
        let key = parts.uri.query().and_then(parse_key);
        let is_client_retry = text("x-resent").ok().flatten() == Some("1");
        let cost = text("x-estimate").ok().flatten().and_then(|text| text.trim().parse().ok());
        let target = parts.uri.path_and_query().cloned().map(Uri::from).ok_or(bad_request("no path\n"))?;
        let txn = txn.to_owned();
        let mut headers = parts.headers;
        remove_hop_by_hop_headers(&mut headers);
        Ok(RequestHead {
            is_safe,
            txn,
            class,
            tenant,
            time_left,
            key,
            is_client_retry,
            cost,
            method: parts.method,
            target,
            headers,
        })
    }

    /// Rejects a safe request that turned out to have a body.
    pub fn check_body(&self, body: &[u8]) -> Result<(), Rejection> {
        match self.is_safe && !body.is_empty() {
            true => Err(bad_request(CLASS_MISMATCH)),
            false => Ok(()),
        }
    }
}

/// Removes the headers that concern one connection only, among them those that `Connection` names, and the
/// framing headers, which hyper writes anew.
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named_by_connection: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named_by_connection {
        headers.remove(name);
    }
    for name in [
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    ] {
        headers.remove(name);
    }
}

/// The key in the query parameter `key`, hashed to a number below 2^53 in the same way on every node.
fn parse_key(query: &str) -> Option<Key> {
    let key = query.split('&').find_map(|pair| pair.strip_prefix("key="))?;
    (!key.is_empty()).then(|| Key(xxh3_64(key.as_bytes()) >> 11))
}
