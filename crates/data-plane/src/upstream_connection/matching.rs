//! Determines which request a response answers, by the request id that upstreams echo.

use std::hash::Hasher;

use hyper::header::{HeaderName, HeaderValue};
use hyper::{Method, Response};
use rustc_hash::FxHasher;

/// How many exchanges a connection may carry. All their ids are stored, so this bounds the memory (four bytes each) and
/// the lookup time. With 512, opening new connections increased CPU time by up to a tenth.
pub(super) const MAX_EXCHANGES: usize = 2048;

/// The request id that upstreams echo in their responses.
#[derive(Clone, Copy)]
pub struct EchoedId<'a> {
    /// The header that contains the id, in the request and in the response.
    pub header: &'a HeaderName,
    /// The value of the header in the request; `None` if the client sent none.
    pub value: Option<&'a HeaderValue>,
}

/// The properties of the request by which its response is recognized and parsed.
#[derive(Clone, Copy)]
pub struct AwaitedResponse<'a> {
    /// The request method: a response to `HEAD` has no body.
    pub method: &'a Method,
    /// The id that the response must echo; `None` where upstreams do not echo ids.
    pub echoed_id: Option<EchoedId<'a>>,
}

impl<'a> AwaitedResponse<'a> {
    /// Returns the id of the request, if it has one and upstreams echo it.
    pub(super) fn id(&self) -> Option<&'a HeaderValue> {
        self.echoed_id.and_then(|echoed| echoed.value)
    }
}

/// Which request a response answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseOwner {
    /// The request that was sent last.
    Awaited,
    /// An earlier request, so that this is a surplus response.
    EarlierRequest,
    /// Unknown: the echoed id is missing or repeated, or is another one on the first exchange of a connection.
    Unclear,
}

/// Determines by the echoed id which request a response answers. On the first exchange of a connection there is no
/// earlier request.
pub(super) fn response_owner(
    head: &Response<()>,
    awaited: &AwaitedResponse<'_>,
    is_first_exchange: bool,
) -> ResponseOwner {
    let Some(EchoedId { header, value }) = awaited.echoed_id else {
        return ResponseOwner::Awaited;
    };
    let mut echoes = head.headers().get_all(header).iter();
    match (value, echoes.next(), echoes.next()) {
        (Some(id), Some(echo), None) if echo == id => ResponseOwner::Awaited,
        (None, None, _) if is_first_exchange => ResponseOwner::Awaited,
        (Some(_), Some(_), None) if !is_first_exchange => ResponseOwner::EarlierRequest,
        _ => ResponseOwner::Unclear,
    }
}

/// The ids of all requests that a connection has carried, as hashes. A collision only means that a
/// request is sent on another connection.
#[derive(Debug, Default)]
pub(super) struct CarriedIds(Vec<u32>);

impl CarriedIds {
    fn hash(id: &HeaderValue) -> u32 {
        let mut hasher = FxHasher::default();
        hasher.write(id.as_bytes());
        let hash = hasher.finish();
        (hash >> 32) as u32 ^ hash as u32
    }

    /// Returns whether the id was carried. Compares all entries without an early exit, so that the compiler can
    /// vectorize the loop.
    pub(super) fn contains(&self, id: &HeaderValue) -> bool {
        let hash = Self::hash(id);
        self.0
            .iter()
            .fold(false, |found, known| found | (*known == hash))
    }

    pub(super) fn insert(&mut self, id: &HeaderValue) {
        self.0.push(Self::hash(id));
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(super) fn is_full(&self) -> bool {
        self.0.len() >= MAX_EXCHANGES
    }
}
