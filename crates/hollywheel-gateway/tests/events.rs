//! The catalogue of events and its page.

#[test]
fn the_page_lists_the_catalogue() {
    let page = include_str!("../../../docs/EVENTS.md");
    let table = hollywheel_gateway::events_table();
    assert!(
        page.contains(&table),
        "docs/EVENTS.md needs this table:\n{table}"
    );
}
