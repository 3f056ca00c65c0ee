//! Plain text tables.

/// Aligns rows under their headings, with two spaces between columns.
pub(super) fn table(headings: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = headings
        .iter()
        .map(|heading| heading.chars().count())
        .collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let headings = headings.iter().map(ToString::to_string).collect();
    let lines = std::iter::once(&headings).chain(rows);
    let lines: Vec<String> = lines.map(|row| line(row, &widths)).collect();
    lines.join("\n")
}

fn line(row: &[String], widths: &[usize]) -> String {
    let cells = row.iter().zip(widths);
    let cells: Vec<String> = cells
        .map(|(cell, width)| format!("{cell:width$}"))
        .collect();
    cells.join("  ").trim_end().to_owned()
}
