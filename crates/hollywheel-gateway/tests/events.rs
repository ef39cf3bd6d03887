//! Checks the page of log events against the catalogue in the code.

#[test]
fn events_page_contains_the_catalogue() {
    let page = include_str!("../../../docs/EVENTS.md");
    let table = hollywheel_gateway::events_table();
    assert!(
        page.contains(&table),
        "docs/EVENTS.md needs this table:\n{table}"
    );
}
