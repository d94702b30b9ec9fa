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
    let all = node.union(&policy).cloned().collect::<BTreeSet<_>>().union(&others).cloned().collect();
    let present: BTreeSet<String> = std::fs::read_dir(root.join("src"))
        .unwrap()
        .map(|entry| format!("src/{}", entry.unwrap().file_name().into_string().unwrap()))
        .collect();
    assert_eq!(present, all);
}
