//! The platform's file names the parts as they stand.

use std::collections::BTreeSet;
use std::path::Path;

/// Guards against a part that is added and not named: what is judged is what the file names.
#[test]
fn the_deploy_file_names_every_part_of_the_program() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).unwrap();
    let file: toml::Table = text.parse().unwrap();
    let named = |key: &str| {
        let list = file[key].as_array().unwrap();
        list.iter().map(|path| path.as_str().unwrap().to_string()).collect::<BTreeSet<_>>()
    };
    let (node, policy) = (named("node"), named("policy"));
    assert!(node.is_disjoint(&policy));
    // The adapter is not the balancer, and lib.rs only names the parts.
    let others = ["src/bin".to_string(), "src/lib.rs".to_string()].into();
    let all = node.union(&policy).cloned().collect::<BTreeSet<_>>().union(&others).cloned().collect();
    let there: BTreeSet<String> = std::fs::read_dir(root.join("src"))
        .unwrap()
        .map(|entry| format!("src/{}", entry.unwrap().file_name().into_string().unwrap()))
        .collect();
    assert_eq!(there, all);
}
