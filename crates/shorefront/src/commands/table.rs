//! Text tables.

use serde_json::Value;

/// Formats a JSON value as a cell: strings without quotes, and null as `none`.
pub(crate) fn cell_text(value: &Value) -> String {
    match value {
        Value::Null => "none".into(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Formats rows of cells, with each column as wide as its widest cell. Each row ends with a line break.
pub(crate) fn table<const N: usize>(rows: &[[String; N]]) -> String {
    let widths: [usize; N] = std::array::from_fn(|column| {
        let widths = rows.iter().map(|row| row[column].chars().count());
        widths.max().unwrap_or(0)
    });
    let line = |row: &[String; N]| {
        let cells = row.iter().zip(widths);
        let line: String = cells
            .map(|(cell, width)| format!("{cell:width$}  "))
            .collect();
        format!("{}\n", line.trim_end())
    };
    rows.iter().map(line).collect()
}

#[cfg(test)]
mod tests;
