//! Prints tables for users and JSON for programs.

use serde::Serialize;

/// Prints a table with a heading.
pub(crate) fn table(heading: &[&str], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let cells = rows
            .iter()
            .filter_map(|row| row.get(column))
            .map(|cell| cell.chars().count());
        cells.chain([heading[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..heading.len()).map(width).collect();
    let line = |cells: Vec<&str>| {
        let cells: Vec<String> = cells
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        println!("{}", cells.join("  ").trim_end());
    };
    line(heading.to_vec());
    for row in rows {
        line(row.iter().map(String::as_str).collect());
    }
}

/// Prints a value as JSON.
pub(crate) fn json<T: Serialize>(value: &T) {
    let text = serde_json::to_string_pretty(value).expect("answers serialize to JSON");
    println!("{text}");
}
