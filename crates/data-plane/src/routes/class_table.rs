//! The request classes of a service, by index: one for each route that it ever had, identified by name.
//!
//! Requests don't depend on an index: they share the class that they were accepted with, which is freed with the last of
//! them.

use std::sync::Arc;

use load_balancing::interface::RequestClass;
use protocol::config::Route;
use rustc_hash::{FxHashMap, FxHashSet};

/// Identifies a route across configurations.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct RouteKey {
    name: String,
}

impl RouteKey {
    pub(super) fn of(route: &Route) -> Self {
        Self {
            name: route.name.clone(),
        }
    }
}

/// A class and its index in the table.
pub(super) struct IndexedClass {
    pub(super) index: usize,
    pub(super) class: Arc<RequestClass>,
}

/// The request classes of a service.
#[derive(Default)]
pub(super) struct ClassTable {
    /// By index; retired while their route is not active.
    classes: Vec<Arc<RequestClass>>,
    /// The routes of `classes`, in the same order.
    routes: Vec<RouteKey>,
    index_by_route: FxHashMap<RouteKey, usize>,
    /// Ids are never reused, so that the estimates of one route are not taken for those of another.
    last_id: u64,
}

impl ClassTable {
    /// Returns the classes by index.
    pub(super) fn classes(&self) -> &[Arc<RequestClass>] {
        &self.classes
    }

    /// Retires the classes of all routes but these.
    pub(super) fn retire_all_but(&mut self, active: &FxHashSet<RouteKey>) {
        for (index, class) in self.classes.iter_mut().enumerate() {
            if !active.contains(&self.routes[index]) && !class.retired {
                Arc::make_mut(class).retired = true;
            }
        }
    }

    /// Sets the class of an active route, and returns it with its index. Its id is assigned here.
    pub(super) fn set(&mut self, route: &RouteKey, class: &RequestClass) -> IndexedClass {
        let known = self.index_by_route.get(route).copied();
        let index = known.unwrap_or_else(|| self.assign_index(route, class));
        let id = self.classes[index].id;
        let class = RequestClass {
            id,
            ..class.clone()
        };
        // An unchanged class stays shared with the requests that were accepted with it.
        if *self.classes[index] != class {
            self.classes[index] = Arc::new(class);
        }
        IndexedClass {
            index,
            class: Arc::clone(&self.classes[index]),
        }
    }

    /// Assigns an index to a route.
    fn assign_index(&mut self, route: &RouteKey, class: &RequestClass) -> usize {
        self.last_id += 1;
        let class = Arc::new(RequestClass {
            id: self.last_id,
            ..class.clone()
        });
        let index = self.classes.len();
        self.routes.push(route.clone());
        self.classes.push(class);
        self.index_by_route.insert(route.clone(), index);
        index
    }
}
