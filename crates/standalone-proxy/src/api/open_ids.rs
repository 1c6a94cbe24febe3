//! Ids of the requests in progress.

use std::cell::RefCell;

use hyper::header::HeaderValue;
use rustc_hash::FxHashSet;

/// Set of the request ids in use.
#[derive(Default)]
pub(super) struct OpenIds {
    ids: RefCell<FxHashSet<HeaderValue>>,
}

/// Guard for a request id, which is in use until the guard is dropped.
pub(super) struct OpenId<'a> {
    ids: &'a OpenIds,
    id: HeaderValue,
}

impl OpenIds {
    /// Registers an id; returns `None` if it is already in use.
    pub(super) fn open(&self, id: &HeaderValue) -> Option<OpenId<'_>> {
        let is_new = self.ids.borrow_mut().insert(id.clone());
        is_new.then(|| OpenId {
            ids: self,
            id: id.clone(),
        })
    }
}

impl Drop for OpenId<'_> {
    fn drop(&mut self) {
        self.ids.ids.borrow_mut().remove(&self.id);
    }
}
