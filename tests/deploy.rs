//! The deployment file lists the parts of the source tree.

use std::collections::BTreeSet;
use std::path::Path;

/// Guards against a source file or folder that is added but not listed: only listed parts are assessed.
#[test]
fn the_deploy_file_lists_every_top_level_source_file_and_folder() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).unwrap();
    let file: toml::Table = text.parse().unwrap();
    let listed = |key: &str| {
        let list = file[key].as_array().unwrap();
        list.iter().map(|path| path.as_str().unwrap().to_string()).collect::<BTreeSet<_>>()
    };
    let (node, policy) = (listed("node"), listed("policy"));
    assert!(node.is_disjoint(&policy));
    // The adapter is not part of the balancer, and lib.rs only declares the modules.
    let others = ["src/bin".to_string(), "src/lib.rs".to_string()].into();
    let all: BTreeSet<String> =
        node.union(&policy).cloned().collect::<BTreeSet<_>>().union(&others).cloned().collect();
    let entries = |folder: &str| -> Vec<String> {
        let entries = std::fs::read_dir(root.join(folder)).unwrap();
        entries.map(|e| format!("{folder}/{}", e.unwrap().file_name().into_string().unwrap())).collect()
    };
    // The policy is listed file by file: a folder that is not listed itself must have each of its entries listed.
    let expand = |entry: String| match root.join(&entry).is_dir() && !all.contains(&entry) {
        true => entries(&entry),
        false => vec![entry],
    };
    let present: BTreeSet<String> = entries("src").into_iter().flat_map(expand).collect();
    assert_eq!(present, all);
}
