//! Amendments: add items to a configuration, replace items by name, or remove them.
//!
//! The rules are those of `/-/Config.Amend`: `remove` is applied before `upsert`, `limits` is replaced as a whole, and
//! removing an item that doesn't exist is not an error. Fields that this build doesn't know are kept.
//! [`validate`](super::validate) checks whether the result is valid.

use std::fmt;

use serde_json::{Map, Value};

/// Why an amendment can't be applied. The messages are shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AmendmentError {
    /// The current configuration can't be parsed.
    #[error("the current configuration: {reason}")]
    CurrentConfiguration {
        /// The parser's message.
        reason: String,
    },
    /// The body is not a JSON object.
    #[error("expected an object")]
    NotAnObject,
    /// `upsert` or `remove` is not a JSON object.
    #[error("`{section}`: expected an object")]
    SectionNotAnObject {
        /// `upsert` or `remove`.
        section: &'static str,
    },
    /// The body has a field that is not part of an amendment.
    #[error("`{field}`: expected `rev`, `upsert` or `remove`")]
    UnknownField {
        /// The name of the field.
        field: String,
    },
    /// The amendment names a list other than `routes` and `services`.
    #[error("{at}: expected `routes` or `services`")]
    UnknownList {
        /// The path of the unknown list.
        at: ListPath,
    },
    /// The names to remove, or the items to add, are not a JSON array.
    #[error("{at}: expected a list")]
    NotAList {
        /// The position in the amendment.
        at: ListPath,
    },
    /// An item to add has no name, so the item that it replaces can't be determined.
    #[error("{at}: an item without a `name`")]
    ItemWithoutName {
        /// The position in the amendment.
        at: ListPath,
    },
    /// The current configuration contains something other than a list under this name.
    #[error("{at}: not a list in the current configuration")]
    CurrentNotAList {
        /// The position in the amendment.
        at: ListPath,
    },
}

/// The path of a list in the body of an amendment, such as `` `upsert.routes` ``.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListPath {
    /// `upsert` or `remove`.
    pub section: &'static str,
    /// The list's name, as received.
    pub list: String,
}

impl fmt::Display for ListPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}.{}`", self.section, self.list)
    }
}

/// Applies the body of an amendment to the current configuration (JSON, or empty if there is none) and returns the
/// result.
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

/// Returns the list of the configuration that the path names. Inserts an empty list if the configuration has none.
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
