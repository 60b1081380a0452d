//! Compares the tables of a documentation page about settings with the structs that deserialize
//! them.

use std::collections::BTreeSet;
use std::fmt::Debug;

use serde::de::value::Error;
use serde::de::{DeserializeOwned, Deserializer, Error as _, Visitor};
use serde::forward_to_deserialize_any;
use serde_json::Value;

/// One row of a table: a key, its description and its default.
struct Row {
    key: String,
    description: String,
    default: String,
}

/// Checks that the table under `## heading` and the struct `T` have the same keys, the same
/// required keys and the same defaults. `example` must be an object that deserializes to `T`.
///
/// # Panics
/// If the page differs from the struct.
pub fn assert_matches_struct<T: DeserializeOwned + Debug>(
    page: &str,
    heading: &str,
    example: &Value,
) {
    let rows = parse_rows(page, heading);
    let documented: BTreeSet<&str> = rows.iter().map(|row| row.key.as_str()).collect();
    let read: BTreeSet<&str> = fields::<T>().iter().copied().collect();
    assert_eq!(
        documented, read,
        "the documented keys under '{heading}' differ from those of the struct"
    );
    for Row { key, default, .. } in &rows {
        let mut settings = example.clone();
        settings
            .as_object_mut()
            .expect("the example is an object")
            .remove(key);
        let absent =
            serde_json::from_value::<T>(settings.clone()).map_err(|error| error.to_string());
        if default == "required" {
            assert!(
                absent.is_err(),
                "{key} is documented as required, but is optional"
            );
            continue;
        }
        let absent = absent.unwrap_or_else(|error| {
            panic!("{key} is documented as optional, but is required: {error}")
        });
        if let Some(literal) = default
            .strip_prefix('`')
            .and_then(|rest| rest.strip_suffix('`'))
        {
            let number = literal.parse::<u64>();
            settings[key] = number.map_or_else(|_| Value::from(literal), Value::from);
            let stated: T =
                serde_json::from_value(settings).expect("the documented default is valid");
            let (stated, absent) = (format!("{stated:?}"), format!("{absent:?}"));
            assert_eq!(stated, absent, "the default of {key} is not {literal}");
        }
    }
}

/// Compares the keys in backticks in the description of `key` with the fields of the element type
/// `T`.
///
/// # Panics
/// If the page differs from the struct.
pub fn assert_elements_match_struct<T: DeserializeOwned>(page: &str, heading: &str, key: &str) {
    let rows = parse_rows(page, heading);
    let row = rows
        .iter()
        .find(|row| row.key == key)
        .expect("the table has a row for the key");
    let documented: BTreeSet<&str> = quoted(&row.description).collect();
    let read: BTreeSet<&str> = fields::<T>().iter().copied().collect();
    assert_eq!(
        documented, read,
        "the documented keys of the elements of {key} differ from those of the struct"
    );
}

fn parse_rows(page: &str, heading: &str) -> Vec<Row> {
    let start = format!("\n## {heading}\n");
    let section = page.split_once(&start).expect("the page has the heading").1;
    let section = section.split("\n## ").next().unwrap_or_default();
    let mut rows = Vec::new();
    for line in section.lines() {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        let [_, keys, description, default, _] = cells[..] else {
            continue;
        };
        rows.extend(quoted(keys).map(|key| Row {
            key: key.to_owned(),
            description: description.to_owned(),
            default: default.to_owned(),
        }));
    }
    rows
}

fn quoted(text: &str) -> impl Iterator<Item = &str> {
    text.split('`').skip(1).step_by(2)
}

/// The field names that a derived `Deserialize` accepts.
fn fields<T: DeserializeOwned>() -> &'static [&'static str] {
    let mut fields: &'static [&'static str] = &[];
    // This deserializer records the field names and then always fails.
    let _ = T::deserialize(FieldRecorder(&mut fields));
    fields
}

struct FieldRecorder<'a>(&'a mut &'static [&'static str]);

impl<'de> Deserializer<'de> for FieldRecorder<'_> {
    type Error = Error;

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        fields: &'static [&'static str],
        _: V,
    ) -> Result<V::Value, Error> {
        *self.0 = fields;
        Err(Error::custom("only the field names are read"))
    }

    fn deserialize_any<V: Visitor<'de>>(self, _: V) -> Result<V::Value, Error> {
        Err(Error::custom("not a struct with named fields"))
    }

    forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string bytes byte_buf option
        unit unit_struct newtype_struct seq tuple tuple_struct map enum identifier ignored_any
    }
}
