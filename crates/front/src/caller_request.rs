//! A caller's request: read completely and checked.

use std::{
    net::IpAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use egret_events::{Code, log_request_event};
use egret_model::Fingerprint;
use egret_routes::{CallerLimits, Homes};
use hyper::{
    HeaderMap, Method, Request, Uri, Version,
    body::Incoming,
    header::{CONTENT_LENGTH, HOST, HeaderValue, TRANSFER_ENCODING},
    http::uri::Authority,
};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    caller_body::read_caller_body,
    clock::now,
    core::Core,
    header_names::{HeaderNames, remove_hop_by_hop},
    sender_watch::SenderWatch,
    sent_to::SentTo,
    timed_io::{ActivityCell, Arrival},
};

/// The deadline of a request that states none.
pub(crate) const DEADLINE_DEFAULT: Duration = Duration::from_secs(30);

/// A caller's request, read completely and checked.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub(crate) id: HeaderValue,
    pub(crate) method: Method,
    /// Path and query, as they are passed on to targets.
    pub(crate) uri: Uri,
    /// The name that the request gives as its host, without the port.
    pub(crate) host: String,
    /// The headers to pass on, without hop-by-hop headers.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) arrived_at: Instant,
    /// Whether this is the first request on the caller's connection.
    pub(crate) is_new_connection: bool,
    /// How long the caller waits, from the request's arrival.
    pub(crate) deadline: Duration,
    /// Identifies equal requests, so that one that crashes targets is recognised.
    pub(crate) fingerprint: Fingerprint,
    /// The targets that the request was sent to from this host.
    pub(crate) sent_to: SentTo,
    /// The regions in which the request must stay.
    pub(crate) homes: Homes,
    /// The host that sent the request to this one, unless its caller did.
    pub(crate) sender: Option<SenderWatch>,
}

/// Why a request could not be read. The names of the variants appear in log details.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestReadError {
    /// The request has no identifier.
    NoId,
    /// The request names no host.
    NoHost,
    /// The length of the body is ambiguous: both a length and chunks, or chunks before HTTP/1.1.
    Framing,
    /// The body is over the limit.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTooSlow,
    /// The body was malformed, or the connection ended before the end of the body.
    BodyBroken,
    /// There is no memory for the body now, or the connection was evicted for lack of memory.
    NoMemory,
}

impl CallerRequest {
    /// Reads and checks a request.
    pub(crate) async fn read(
        core: &Core,
        req: Request<Incoming>,
        limits: CallerLimits,
        arrival: Arrival,
        activity: &ActivityCell,
    ) -> Result<Self, RequestReadError> {
        let names = &core.options.headers;
        let (head, body) = req.into_parts();
        let id = head.headers.get(&names.request_id).cloned().ok_or(RequestReadError::NoId)?;
        if head.headers.contains_key(TRANSFER_ENCODING)
            && (head.headers.contains_key(CONTENT_LENGTH) || head.version != Version::HTTP_11)
        {
            return Err(RequestReadError::Framing);
        }
        let host = requested_host(&head.headers, &head.uri).ok_or(RequestReadError::NoHost)?;
        let deadline = requested_deadline(&head.headers, names);
        let body_timeout = deadline.min(Duration::from_millis(limits.idle_timeout_ms));
        let body = read_caller_body(core, body, limits, body_timeout, activity).await?;
        let mut headers = head.headers;
        // The caller's account decides its homes, so `Connection` must not remove it.
        let accounts: Vec<HeaderValue> = headers.get_all(&names.caller).iter().cloned().collect();
        remove_hop_by_hop(&mut headers);
        headers.remove(&names.caller);
        for account in accounts {
            headers.append(names.caller.clone(), account);
        }
        let uri = origin_form(head.uri);
        let fingerprint = fingerprint_of(&uri, &body);
        Ok(Self {
            id,
            method: head.method,
            uri,
            host,
            headers,
            body,
            arrived_at: arrival.at,
            is_new_connection: arrival.is_new_connection,
            deadline,
            fingerprint,
            sent_to: SentTo::default(),
            homes: Homes::default(),
            sender: None,
        })
    }

    /// Logs an event of this request, with its identifier and age.
    pub(crate) fn log(&self, code: Code, detail: &str) {
        log_request_event(code, self.id_text(), now().saturating_duration_since(self.arrived_at), detail);
    }

    /// Returns the identifier for logs.
    fn id_text(&self) -> &str {
        self.id.to_str().unwrap_or("(not text)")
    }

    /// Returns the address of the host that sent the request on; `None` if its caller is connected to this host.
    pub(crate) fn sent_on_by(&self) -> Option<IpAddr> {
        self.sender.as_ref().and_then(SenderWatch::address)
    }

    /// Returns whether the host that sent the request to this one has given up and may have sent it elsewhere.
    pub(crate) fn is_abandoned(&self) -> bool {
        self.sender.as_ref().is_some_and(SenderWatch::has_given_up)
    }

    /// Returns the path with its query.
    pub(crate) fn path(&self) -> &str {
        self.uri.path_and_query().map_or("/", |path| path.as_str())
    }
}

/// Hashes the path, the query and the body of a request.
pub(crate) fn fingerprint_of(uri: &Uri, body: &[u8]) -> Fingerprint {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    Fingerprint(xxh3_64_with_seed(body, xxh3_64(path.as_bytes())))
}

fn requested_host(headers: &HeaderMap, uri: &Uri) -> Option<String> {
    let named = headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = uri.authority().map(Authority::as_str).or(named)?;
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    Some(name.to_ascii_lowercase())
}

fn requested_deadline(headers: &HeaderMap, names: &HeaderNames) -> Duration {
    let text = headers.get(&names.deadline_ms).and_then(|value| value.to_str().ok());
    let millis: Option<u64> = text.and_then(|text| text.trim().parse().ok());
    millis.map_or(DEADLINE_DEFAULT, Duration::from_millis)
}

/// Converts a URI in absolute form to origin form, as targets get only path and query.
fn origin_form(uri: Uri) -> Uri {
    match uri.path_and_query() {
        Some(path) if uri.authority().is_some() => Uri::from(path.clone()),
        _ => uri,
    }
}
