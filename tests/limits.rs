//! Limits of the director source that reviews rely on.

#[test]
fn director_source_names_its_interface_and_keeps_to_the_line_width() {
    let director = include_str!("../src/director.rs");
    let widest = director.lines().map(|l| l.chars().count()).max().unwrap_or(0);
    assert!(widest <= 110, "a line of {widest} characters");
    let head: String = director.lines().take(5).collect();
    assert!(head.contains("src/interface.rs"), "the head names the interface");
    let deploy = include_str!("../deploy/balancer.toml");
    let policy = deploy.lines().find(|l| l.starts_with("policy")).unwrap_or("");
    assert_eq!(policy.split_once('=').map(|p| p.1.trim()), Some(r#"["src/director.rs"]"#));
}
