//! Amendments: items that are added to a configuration, replaced by name, or removed.
//!
//! The rules are those of `/-/Config.Amend`: `remove` is carried out before `upsert`, `limits` is replaced as a whole,
//! an item that is to be removed and is not there is no error. Whatever the configuration holds that this build doesn't
//! know is kept. Whether the result is valid is checked by [`validate`](super::validate).

use std::fmt;

use serde_json::{Map, Value};

/// Why an amendment can't be carried out. Operators read the texts.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AmendmentError {
    /// The configuration that is to be amended can't be read.
    #[error("the current configuration: {reason}")]
    CurrentConfiguration {
        /// What the parser says.
        reason: String,
    },
    /// The body is no JSON object.
    #[error("expected an object")]
    NotAnObject,
    /// `upsert` or `remove` is no JSON object.
    #[error("`{section}`: expected an object")]
    SectionNotAnObject {
        /// `upsert` or `remove`.
        section: &'static str,
    },
    /// The body has another field than those of an amendment.
    #[error("`{field}`: expected `rev`, `upsert` or `remove`")]
    UnknownField {
        /// The field.
        field: String,
    },
    /// Only routes and services are amended by name.
    #[error("{at}: expected `routes` or `services`")]
    UnknownList {
        /// What was named instead.
        at: ListPath,
    },
    /// The names that are to be removed, or the items that are to be added, are no JSON array.
    #[error("{at}: expected a list")]
    NotAList {
        /// Where.
        at: ListPath,
    },
    /// An item that is to be added has no name, so that it can't be told which one it replaces.
    #[error("{at}: an item without a `name`")]
    ItemWithoutName {
        /// Where.
        at: ListPath,
    },
    /// The current configuration holds something else than a list there.
    #[error("{at}: not a list in the current configuration")]
    CurrentNotAList {
        /// Where.
        at: ListPath,
    },
}

/// A list in the body of an amendment, such as `` `upsert.routes` ``.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListPath {
    /// `upsert` or `remove`.
    pub section: &'static str,
    /// The list's name, as it was sent.
    pub list: String,
}

impl fmt::Display for ListPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}.{}`", self.section, self.list)
    }
}

/// The current configuration (JSON, or empty for none) with the changes of an amendment's body.
pub(crate) fn amend(current: &str, body: Value) -> Result<Value, AmendmentError> {
    let mut config: Map<String, Value> = if current.is_empty() {
        Map::new()
    } else {
        serde_json::from_str(current).map_err(|e| AmendmentError::CurrentConfiguration {
            reason: e.to_string(),
        })?
    };
    let Value::Object(mut body) = body else {
        return Err(AmendmentError::NotAnObject);
    };
    let revision = body.remove("rev").unwrap_or_default();
    let removals = take_section(&mut body, "remove")?;
    let additions = take_section(&mut body, "upsert")?;
    if let Some(field) = body.keys().next().cloned() {
        return Err(AmendmentError::UnknownField { field });
    }
    for (list, names) in removals {
        remove_items(&mut config, list, &names)?;
    }
    for (list, items) in additions {
        if list == "limits" {
            config.insert(list, items);
        } else {
            upsert_items(&mut config, list, items)?;
        }
    }
    config.insert("rev".into(), revision);
    Ok(Value::Object(config))
}

fn take_section(
    body: &mut Map<String, Value>,
    section: &'static str,
) -> Result<Map<String, Value>, AmendmentError> {
    match body.remove(section) {
        None => Ok(Map::new()),
        Some(Value::Object(lists)) => Ok(lists),
        Some(_) => Err(AmendmentError::SectionNotAnObject { section }),
    }
}

fn remove_items(
    config: &mut Map<String, Value>,
    list: String,
    names: &Value,
) -> Result<(), AmendmentError> {
    let section = "remove";
    let at = ListPath { section, list };
    let Value::Array(names) = names else {
        return Err(AmendmentError::NotAList { at });
    };
    items_at(config, &at)?.retain(|item| !names.iter().any(|name| item.get("name") == Some(name)));
    Ok(())
}

fn upsert_items(
    config: &mut Map<String, Value>,
    list: String,
    new_items: Value,
) -> Result<(), AmendmentError> {
    let section = "upsert";
    let at = ListPath { section, list };
    let Value::Array(new_items) = new_items else {
        return Err(AmendmentError::NotAList { at });
    };
    let items = items_at(config, &at)?;
    for new_item in new_items {
        let Some(name) = new_item.get("name").filter(|name| name.is_string()) else {
            return Err(AmendmentError::ItemWithoutName { at });
        };
        match items.iter_mut().find(|item| item.get("name") == Some(name)) {
            Some(item) => *item = new_item,
            None => items.push(new_item),
        }
    }
    Ok(())
}

/// A list of the configuration, empty where the configuration has none.
fn items_at<'a>(
    config: &'a mut Map<String, Value>,
    at: &ListPath,
) -> Result<&'a mut Vec<Value>, AmendmentError> {
    if at.list != "routes" && at.list != "services" {
        return Err(AmendmentError::UnknownList { at: at.clone() });
    }
    let entry = config
        .entry(at.list.as_str())
        .or_insert_with(|| Value::Array(Vec::new()));
    entry
        .as_array_mut()
        .ok_or_else(|| AmendmentError::CurrentNotAList { at: at.clone() })
}
