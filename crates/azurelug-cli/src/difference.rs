//! Differences between two versions of the configuration, by path.

use azurelug_types::config::Config;
use serde::Serialize;
use serde_json::Value;

use crate::output;

/// A value that differs.
#[derive(Debug, Serialize)]
pub(crate) struct Difference {
    /// Keys from the root to the value.
    path: Vec<String>,
    /// The earlier value; none if the path is new.
    #[serde(skip_serializing_if = "Option::is_none")]
    before: Option<Value>,
    /// The later value; none if the path was removed.
    #[serde(skip_serializing_if = "Option::is_none")]
    after: Option<Value>,
}

/// All differences in the order of their paths, without the version number itself.
pub(crate) fn between(before: &Config, after: &Config) -> Vec<Difference> {
    let tree = |config: &Config| {
        let mut tree = serde_json::to_value(config).expect("a configuration is plain data");
        if let Some(fields) = tree.as_object_mut() {
            fields.remove("version");
        }
        tree
    };
    between_values(&tree(before), &tree(after))
}

/// All differences between two documents in the order of their paths.
pub(crate) fn between_values(before: &Value, after: &Value) -> Vec<Difference> {
    let mut differences = Vec::new();
    compare_values(Some(before), Some(after), &mut Vec::new(), &mut differences);
    differences
}

/// Prints the differences, one line each.
pub(crate) fn print(differences: &[Difference], is_json: bool) {
    if is_json {
        output::json(&differences);
        return;
    }
    if differences.is_empty() {
        println!("no difference");
    }
    for Difference {
        path,
        before,
        after,
    } in differences
    {
        let path = path.join(".");
        match (before, after) {
            (Some(before), Some(after)) => println!("~ {path}: {before} -> {after}"),
            (Some(before), None) => println!("- {path}: {before}"),
            (None, Some(after)) => println!("+ {path}: {after}"),
            (None, None) => {}
        }
    }
}

/// Compares objects key by key, recursively. Arrays are compared as a whole, because the position
/// of an element does not identify it in both versions.
fn compare_values(
    before: Option<&Value>,
    after: Option<&Value>,
    path: &mut Vec<String>,
    differences: &mut Vec<Difference>,
) {
    if before == after {
        return;
    }
    if let (Some(Value::Object(old)), Some(Value::Object(new))) = (before, after) {
        let added = new.keys().filter(|key| !old.contains_key(*key));
        let mut keys: Vec<&String> = old.keys().chain(added).collect();
        keys.sort();
        for key in keys {
            path.push(key.clone());
            compare_values(old.get(key), new.get(key), path, differences);
            path.pop();
        }
        return;
    }
    differences.push(Difference {
        path: path.clone(),
        before: before.cloned(),
        after: after.cloned(),
    });
}
