//! Tables on their way between daemons.

use bankcove_core::Name;
use bankcove_core::table::{Budget, Table};
use bankcoved::peer::packed_table::PackedTable;

fn table() -> Table {
    let budget = |n| Budget::for_workspace(Name::from(format!("b-{n}").as_str()), 1_000, 7);
    Table { revision: 7, budgets: (0..200).map(budget).collect(), ..Table::default() }
}

#[test]
fn a_table_arrives_as_it_was_sent() {
    let packed = PackedTable::pack(&table()).expect("a table can be written");
    assert_eq!(packed.unpack().expect("it can be read"), table());
}

#[test]
fn a_packed_table_is_much_smaller_than_its_json() {
    let json = serde_json::to_vec(&table()).expect("a table can be written");
    let packed = PackedTable::pack(&table()).expect("a table can be written");
    let sent = serde_json::to_vec(&packed).expect("bytes can be written");
    assert!(sent.len() < json.len(), "{} of {}", sent.len(), json.len());
}

#[test]
fn bytes_that_are_no_table_are_told_as_such() {
    let broken: PackedTable = serde_json::from_str(r#"{"bytes":[9,0,0,0,1,2]}"#).expect("bytes");
    assert!(broken.unpack().is_err());
}
