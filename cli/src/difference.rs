//! What two configurations differ in, entity by entity.

use std::collections::BTreeMap;

use lavendergauge_derive::value;
use serde::Serialize;
use serde_json::Value;

/// One difference.
#[value]
#[derive(Serialize)]
pub struct Difference {
    /// Path of the field, with entities by their names.
    pub path: String,
    /// What it is; `None` when it is not there.
    pub old: Option<String>,
    /// What it becomes; `None` when it is removed.
    pub new: Option<String>,
}

/// Compares two configurations.
///
/// ```
/// use lavendergauge_cli::difference;
/// use serde_json::json;
/// let old = json!({"accounts": [{"name": "brno", "weight": 1}]});
/// let new = json!({"accounts": [{"name": "brno", "weight": 2}]});
/// let differences = difference::compare(&old, &new);
/// assert_eq!(difference::write(&differences), "~ accounts.brno.weight: 1 -> 2\n");
/// ```
pub fn compare(old: &Value, new: &Value) -> Vec<Difference> {
    let (mut olds, mut news) = (BTreeMap::new(), BTreeMap::new());
    flatten("", old, &mut olds);
    flatten("", new, &mut news);
    let paths: BTreeMap<&String, ()> = olds.keys().chain(news.keys()).map(|p| (p, ())).collect();
    paths
        .into_keys()
        .filter(|path| olds.get(*path) != news.get(*path))
        .map(|path| Difference {
            path: path.clone(),
            old: olds.get(path).cloned(),
            new: news.get(path).cloned(),
        })
        .collect()
}

/// Writes differences as lines that begin with `+`, `-` or `~`.
pub fn write(differences: &[Difference]) -> String {
    let line = |difference: &Difference| match (&difference.old, &difference.new) {
        (Some(old), Some(new)) => format!("~ {}: {old} -> {new}\n", difference.path),
        (Some(old), None) => format!("- {}: {old}\n", difference.path),
        (None, new) => format!("+ {}: {}\n", difference.path, new.as_deref().unwrap_or_default()),
    };
    differences.iter().map(line).collect()
}

fn flatten(path: &str, value: &Value, found: &mut BTreeMap<String, String>) {
    let join =
        |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                // The name is in the path already.
                if name != "name" && name != "id" {
                    flatten(&join(name), field, found);
                }
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            for item in items {
                let name = item["name"].as_str().or(item["id"].as_str()).unwrap_or("?");
                flatten(&join(name), item, found);
            }
        }
        Value::Array(items) if items.is_empty() => {}
        other => {
            found.insert(path.to_owned(), other.to_string());
        }
    }
}
