//! The table of ended flows.

use super::*;

fn end(process: usize) -> LogLine {
    let text = format!(
        "node-{process} {{\"timestamp\":\"2026-01-01T00:00:00+00:00\",\"message\":\"decision\",\
         \"kvs\":{{\"reason\":\"flow_lost\",\"caller\":\"100.64.0.7:1024\"}}}}"
    );
    LogLine::parse(&text, "file").unwrap()
}

// Guards against memory that grows with the logs, and against ends that go without_row because of the
// bound.
#[test]
fn rows_are_bounded_and_further_ends_are_counted() {
    let mut table = EndTable::default();
    for process in 0..MAX_ROWS + 2 {
        table.add(&end(process));
    }
    table.add(&end(0));
    assert_eq!(table.rows.len(), MAX_ROWS);
    assert_eq!(table.without_row, 2);
    assert_eq!(table.total(|_| true), MAX_ROWS as u64 + 1);
}
