//! Differences between two configurations, field by field.

use std::collections::BTreeMap;

use lavendergauge_derive::value;
use serde::Serialize;
use serde_json::Value;

/// A field with different values in two configurations.
#[value]
#[derive(Serialize)]
pub struct Difference {
    /// Path of the field. Items of a list appear by their names or identifiers.
    pub path: String,
    /// Value in the old configuration as JSON; `None` when the field is added.
    pub old: Option<String>,
    /// Value in the new configuration as JSON; `None` when the field is removed.
    pub new: Option<String>,
}

/// Compares two configurations and returns their differences, sorted by path.
///
/// ```
/// use lavendergauge_cli::difference;
/// use serde_json::json;
/// let old = json!({"accounts": [{"name": "brno", "weight": 1}]});
/// let new = json!({"accounts": [{"name": "brno", "weight": 2}]});
/// let differences = difference::compare(&old, &new);
/// assert_eq!(difference::render(&differences), "~ accounts.brno.weight: 1 -> 2\n");
/// ```
pub fn compare(old: &Value, new: &Value) -> Vec<Difference> {
    let (mut old_fields, mut new_fields) = (BTreeMap::new(), BTreeMap::new());
    flatten("", old, &mut old_fields);
    flatten("", new, &mut new_fields);
    let paths: BTreeMap<&String, ()> =
        old_fields.keys().chain(new_fields.keys()).map(|path| (path, ())).collect();
    paths
        .into_keys()
        .filter(|path| old_fields.get(*path) != new_fields.get(*path))
        .map(|path| Difference {
            path: path.clone(),
            old: old_fields.get(path).cloned(),
            new: new_fields.get(path).cloned(),
        })
        .collect()
}

/// Returns one line for each difference: `+` for an added field, `-` for a removed one, and `~` for
/// a changed one.
pub fn render(differences: &[Difference]) -> String {
    let line = |difference: &Difference| match (&difference.old, &difference.new) {
        (Some(old), Some(new)) => format!("~ {}: {old} -> {new}\n", difference.path),
        (Some(old), None) => format!("- {}: {old}\n", difference.path),
        (None, new) => format!("+ {}: {}\n", difference.path, new.as_deref().unwrap_or_default()),
    };
    differences.iter().map(line).collect()
}

/// Collects the fields of a value by their paths, with their values as JSON. An empty list counts
/// as an absent field.
fn flatten(path: &str, value: &Value, fields_by_path: &mut BTreeMap<String, String>) {
    let join =
        |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                // The name or identifier of an item is part of the path already.
                if name != "name" && name != "id" {
                    flatten(&join(name), field, fields_by_path);
                }
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            for item in items {
                let name = item["name"].as_str().or(item["id"].as_str()).unwrap_or("?");
                flatten(&join(name), item, fields_by_path);
            }
        }
        Value::Array(items) if items.is_empty() => {}
        other => {
            fields_by_path.insert(path.to_owned(), other.to_string());
        }
    }
}
