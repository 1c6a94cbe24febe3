//! The ids of open requests.

use std::cell::RefCell;

use hyper::header::HeaderValue;
use rustc_hash::FxHashSet;

/// Which ids are in use.
#[derive(Default)]
pub(super) struct OpenIds {
    ids: RefCell<FxHashSet<HeaderValue>>,
}

/// The id of a request that is open, in use for as long as this lives.
pub(super) struct OpenId<'a> {
    ids: &'a OpenIds,
    id: HeaderValue,
}

impl OpenIds {
    /// Takes an id into use; `None` where it already is.
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
