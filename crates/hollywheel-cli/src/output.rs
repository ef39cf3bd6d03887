//! Output formats and text tables.

use std::fmt;
use std::str::FromStr;

use hollywheel_types::IdError;

/// Identifies the format in which results are printed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum OutputFormat {
    /// Text in aligned columns.
    #[default]
    Text,
    /// One JSON document, for programs.
    Json,
}

impl fmt::Display for OutputFormat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Text => "text",
            Self::Json => "json",
        })
    }
}

impl FromStr for OutputFormat {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(IdError::UnknownName {
                kind: "output format",
                given: text.to_owned(),
                expected: "text or json",
            }),
        }
    }
}

/// Renders rows in aligned columns.
///
/// # Examples
///
/// ```
/// use hollywheel_cli::TextTable;
///
/// let mut table = TextTable::new(&["HOST", "STATE"]);
/// table.add([String::from("medeu-1"), String::from("alive")]);
/// assert_eq!(table.to_string(), "HOST     STATE\nmedeu-1  alive\n");
/// ```
#[derive(Clone, Debug, Default)]
pub struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// The number of spaces between two columns.
    const COLUMN_GAP: usize = 2;

    /// Creates a table with a header row.
    pub fn new(header: &[&str]) -> Self {
        let cells = header.iter().map(|cell| (*cell).to_owned()).collect();
        Self { rows: vec![cells] }
    }

    /// Adds a row.
    pub fn add(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    fn column_widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        (0..columns).map(width).collect()
    }
}

impl fmt::Display for TextTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.column_widths();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line.push_str(cell);
                let pad = width - cell.chars().count() + Self::COLUMN_GAP;
                line.extend(std::iter::repeat_n(' ', pad));
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
