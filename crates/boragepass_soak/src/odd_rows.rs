//! Rows that another writer may leave among those of the endpoints.

/// Entries that name no endpoint, one a line. `NESTED` stands for a deeply nested list.
const ENTRIES: &str = include_str!("../../../platform/tests/fixtures/odd-endpoints.txt");
/// Levels of a deeply nested list.
const LEVELS: usize = 20_000;

/// Keys that are no ids or mean something in a query.
pub const ODD_KEYS: [&str; 5] = ["i odd", "i&limit=1#", "i%zz", "zürich", "zz\u{1}"];

/// Entries that name no endpoint.
pub fn odd_entries() -> Vec<Vec<u8>> {
    let nested = format!("{}{}", "[".repeat(LEVELS), "]".repeat(LEVELS));
    let entries = ENTRIES.lines().map(|entry| entry.replace("NESTED", &nested).into_bytes());
    entries.chain([vec![0xff, 0xfe, 0x00], Vec::new()]).collect()
}
