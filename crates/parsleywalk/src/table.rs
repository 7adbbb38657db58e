//! Text tables.

/// A table whose cells are padded to the width of their column.
#[derive(Debug)]
pub(crate) struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    pub(crate) fn new(header: &[&str]) -> Self {
        Self { rows: vec![header.iter().map(|&cell| cell.to_owned()).collect()] }
    }

    /// Creates a table without a header.
    pub(crate) const fn plain() -> Self {
        Self { rows: Vec::new() }
    }

    /// Adds a row. Line feeds in cells become spaces.
    pub(crate) fn add(&mut self, cells: &[String]) {
        self.rows.push(cells.iter().map(|cell| cell.replace('\n', " ")).collect());
    }

    pub(crate) fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            self.rows.iter().filter_map(|row| row.get(column)).map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        let mut text = String::new();
        for row in &self.rows {
            let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
            text.push_str(cells.collect::<Vec<_>>().join("  ").trim_end());
            text.push('\n');
        }
        text
    }
}
