//! Which request a response answers, by the request id that upstreams echo.

use std::hash::Hasher;

use hyper::header::{HeaderName, HeaderValue};
use hyper::{Method, Response};
use rustc_hash::FxHasher;

/// A connection ends after so many exchanges: the ids of all of them are remembered, and this bounds the memory
/// (four bytes each) and the time of a look-up. With 512, new connections took up to a tenth more processor time.
pub(super) const MAX_EXCHANGES: usize = 2048;

/// The id of a request, where upstreams echo one in their responses.
#[derive(Clone, Copy)]
pub struct EchoedId<'a> {
    /// The header that bears it, in the request and in the response.
    pub header: &'a HeaderName,
    /// Its value in the request; `None` if the client sent none.
    pub value: Option<&'a HeaderValue>,
}

/// What is known of a response before it comes.
#[derive(Clone, Copy)]
pub struct AwaitedResponse<'a> {
    /// The method of its request: a response to `HEAD` has no body.
    pub method: &'a Method,
    /// The id that it must echo; `None` where upstreams echo nothing.
    pub echoed_id: Option<EchoedId<'a>>,
}

impl<'a> AwaitedResponse<'a> {
    /// The id of the request, if it has one and upstreams echo it.
    pub(super) fn id(&self) -> Option<&'a HeaderValue> {
        self.echoed_id.and_then(|echoed| echoed.value)
    }
}

/// Which request a response answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseOwner {
    /// The request that was sent last.
    Awaited,
    /// An earlier one: a surplus response.
    EarlierRequest,
    /// It may be the awaited one, but does not say so in the one way that counts: its echo is missing, stands twice,
    /// or is another's where there was no other request.
    Unclear,
}

/// Decides by the echoed id which request a response answers. On the first exchange there was no other request.
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

/// The ids of all requests that a connection has carried, as hashes: a collision costs a connection and no more.
#[derive(Debug, Default)]
pub(super) struct CarriedIds(Vec<u32>);

impl CarriedIds {
    fn hash(id: &HeaderValue) -> u32 {
        let mut hasher = FxHasher::default();
        hasher.write(id.as_bytes());
        let hash = hasher.finish();
        (hash >> 32) as u32 ^ hash as u32
    }

    /// Looks at all of them without an early exit, so that the compiler can vectorize it.
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
