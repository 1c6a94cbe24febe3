//! The differences between two configurations, as `shorefront config diff` prints them.

use std::collections::BTreeMap;

use serde_json::Value;

use super::table::cell_text;

/// Lists of the configuration whose items have names.
const NAMED_LISTS: [&str; 2] = ["services", "routes"];

/// Returns one line for each item that is added (`+`), changed (`~`) or removed (`-`), and one for changed `limits`.
pub(crate) fn diff(current: &Value, next: &Value) -> Vec<String> {
    let mut lines = Vec::new();
    for list in NAMED_LISTS {
        let (old, new) = (items_by_name(current, list), items_by_name(next, list));
        for (name, item) in &new {
            match old.get(name) {
                None => lines.push(format!("+ {list} {name}: {item}")),
                Some(known) if known != item => {
                    let fields = changed_fields(known, item);
                    lines.push(format!("~ {list} {name}: {fields}"));
                }
                Some(_) => {}
            }
        }
        for name in old.keys().filter(|name| !new.contains_key(*name)) {
            lines.push(format!("- {list} {name}"));
        }
    }
    if current["limits"] != next["limits"] {
        let fields = changed_fields(&current["limits"], &next["limits"]);
        lines.push(format!("~ limits: {fields}"));
    }
    lines
}

fn items_by_name<'a>(config: &'a Value, list: &str) -> BTreeMap<String, &'a Value> {
    let items = config[list].as_array().into_iter().flatten();
    items.map(|item| (cell_text(&item["name"]), item)).collect()
}

/// Lists the fields in which two items differ, with both values.
fn changed_fields(old: &Value, new: &Value) -> String {
    let names = |item: &Value| -> Vec<String> {
        item.as_object()
            .map(|fields| fields.keys().cloned().collect())
            .unwrap_or_default()
    };
    let mut all = names(old);
    all.extend(names(new).into_iter().filter(|n| old.get(n).is_none()));
    let text = |value: Option<&Value>| value.map_or("none".to_string(), Value::to_string);
    let changes: Vec<String> = all
        .iter()
        .filter(|name| old.get(*name) != new.get(*name))
        .map(|name| {
            let (before, after) = (text(old.get(name)), text(new.get(name)));
            format!("{name} {before} -> {after}")
        })
        .collect();
    changes.join(", ")
}

#[cfg(test)]
mod tests;
