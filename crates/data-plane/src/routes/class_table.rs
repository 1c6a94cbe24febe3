//! The request classes of a service, by index: one for each of its routes, identified by host and path prefix.
//!
//! A route keeps its index, and with it the estimates and breakers of the engine, while it stays at the service, whatever
//! else changes about it. The name does not matter, since a configuration may give it to another route. The index of a
//! route that has left the service may be given to another one, so that there are no more indexes than routes that were
//! ever active at the same time. Requests don't depend on an index: they share the class that they were accepted with,
//! which is freed with the last of them.

use std::sync::Arc;

use load_balancing::interface::RequestClass;
use protocol::config::Route;
use rustc_hash::{FxHashMap, FxHashSet};

/// Identifies a route across configurations. No two routes of a configuration have the same key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct RouteKey {
    /// In lower case.
    host: String,
    path_prefix: String,
}

impl RouteKey {
    pub(super) fn of(route: &Route) -> Self {
        Self {
            host: route.host.to_ascii_lowercase(),
            path_prefix: route.path_prefix.clone(),
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
    /// The indexes of retired classes, which may be given to other routes.
    retired: Vec<usize>,
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
        self.retired.clear();
        for (index, class) in self.classes.iter_mut().enumerate() {
            if active.contains(&self.routes[index]) {
                continue;
            }
            self.retired.push(index);
            if !class.retired {
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

    /// Assigns an index to a route: that of a retired class if there is one.
    fn assign_index(&mut self, route: &RouteKey, class: &RequestClass) -> usize {
        self.last_id += 1;
        let class = Arc::new(RequestClass {
            id: self.last_id,
            ..class.clone()
        });
        let index = if let Some(index) = self.retired.pop() {
            self.index_by_route.remove(&self.routes[index]);
            self.routes[index] = route.clone();
            self.classes[index] = class;
            index
        } else {
            self.routes.push(route.clone());
            self.classes.push(class);
            self.classes.len() - 1
        };
        self.index_by_route.insert(route.clone(), index);
        index
    }
}
