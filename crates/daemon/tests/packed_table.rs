//! Encoding of tables for transfer between daemons.

use bankcove_core::Name;
use bankcove_core::table::{Budget, Table};
use bankcoved::peer::packed_table::PackedTable;

fn table() -> Table {
    let budget = |n| Budget::for_workspace(Name::from(format!("b-{n}").as_str()), 1_000, 7);
    Table { revision: 7, budgets: (0..200).map(budget).collect(), ..Table::default() }
}

#[test]
fn unpacking_restores_the_packed_table() {
    let packed = PackedTable::pack(&table()).expect("the table can be packed");
    assert_eq!(packed.unpack().expect("the table can be unpacked"), table());
}

#[test]
fn a_packed_table_is_smaller_than_its_json() {
    let json = serde_json::to_vec(&table()).expect("the table can be serialized");
    let packed = PackedTable::pack(&table()).expect("the table can be packed");
    let sent = serde_json::to_vec(&packed).expect("the packed table can be serialized");
    assert!(sent.len() < json.len(), "{} of {} bytes", sent.len(), json.len());
}

#[test]
fn unpacking_invalid_bytes_fails() {
    let broken: PackedTable =
        serde_json::from_str(r#"{"bytes":[9,0,0,0,1,2]}"#).expect("the JSON is valid");
    assert!(broken.unpack().is_err());
}
