//! The operators' page lists every event that the router logs.

#[test]
fn the_operators_page_lists_every_event() {
    let source =
        [include_str!("../src/events/mod.rs"), include_str!("../src/events/terminations.rs")]
            .concat();
    let page = include_str!("../../../docs/OPERATIONS.md");
    let names: Vec<&str> =
        source.split("event = \"").skip(1).filter_map(|rest| rest.split('"').next()).collect();
    assert!(names.len() >= 9, "{names:?}");
    for name in names {
        assert!(page.contains(&format!("| `{name}` |")), "{name} is not listed");
    }
}
