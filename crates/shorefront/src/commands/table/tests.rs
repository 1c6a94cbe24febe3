//! Tests of text tables.

use super::*;

#[test]
fn columns_are_aligned() {
    let rows = [["A", "BB"], ["long", "x"]].map(|r| r.map(String::from));
    assert_eq!(table(&rows), "A     BB\nlong  x\n");
}
