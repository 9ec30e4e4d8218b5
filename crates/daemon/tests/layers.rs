//! Checks the layering of the daemon: each layer uses only those below it, and only the top layer
//! has access to the whole daemon.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

use yare::parameterized;

/// The layers, from the lowest up; layers on one line don't use each other.
const LAYERS: [&[&str]; 10] = [
    &["peer"],
    &["base"],
    &["fleet"],
    &["paths"],
    &["view", "crashes", "hints", "rollouts", "budget", "bill"],
    &["membership"],
    &["requests"],
    &["api", "entry"],
    &["daemon"],
    &["operator", "peer_server", "lifecycle"],
];

/// Returns the source files of a layer.
fn files_of(src: &Path, layer: &str) -> Vec<PathBuf> {
    let mut files = vec![src.join(layer).with_extension("rs")];
    let mut folders = vec![src.join(layer)];
    while let Some(folder) = folders.pop() {
        // A layer that is a single file has no folder.
        for entry in fs::read_dir(folder).into_iter().flatten() {
            let path = entry.expect("an entry can be read").path();
            if path.is_dir() { folders.push(path) } else { files.push(path) }
        }
    }
    files
}

/// Returns whether a source text uses the module of this path below the crate.
fn uses(text: &str, layer: &str) -> bool {
    // Grouped imports would not be detected.
    assert!(!text.contains("use crate::{"), "each module needs an import line of its own");
    let path = format!("crate::{layer}");
    let is_whole_name = |rest: &str| !rest.starts_with(|c: char| c.is_alphanumeric() || c == '_');
    text.match_indices(&path).any(|(at, _)| is_whole_name(&text[at + path.len()..]))
}

#[test]
fn no_layer_uses_one_above_it_or_beside_it() {
    let src = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut violations = Vec::new();
    for (level, layers) in LAYERS.iter().enumerate().take(LAYERS.len() - 1) {
        for layer in *layers {
            let above = LAYERS[level..].iter().copied().flatten();
            let forbidden: Vec<&str> = above.copied().filter(|other| other != layer).collect();
            for file in files_of(&src, layer) {
                let text = fs::read_to_string(&file).expect("a source file can be read");
                let used = forbidden.iter().filter(|other| uses(&text, other));
                violations.extend(used.map(|other| format!("{} uses {other}", file.display())));
            }
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Returns the module of each file in a folder, with the modules of the same folder that it uses.
fn uses_within(src: &Path, folder: &str) -> BTreeMap<String, BTreeSet<String>> {
    let entries = fs::read_dir(src.join(folder)).expect("the folder can be read");
    let paths = entries.map(|entry| entry.expect("an entry can be read").path());
    let stem = |path: &Path| path.file_stem().map(|name| name.to_string_lossy().into_owned());
    let files: BTreeMap<String, PathBuf> =
        paths.filter(|path| path.is_file()).filter_map(|path| Some((stem(&path)?, path))).collect();
    let uses_of = |path: &PathBuf| {
        let text = fs::read_to_string(path).expect("a source file can be read");
        let others = files
            .keys()
            .filter(|other| stem(path).as_ref() != Some(*other))
            .filter(|other| uses(&text, &format!("{folder}::{other}")));
        others.cloned().collect()
    };
    files.iter().map(|(name, path)| (name.clone(), uses_of(path))).collect()
}

/// Repeatedly removes the modules that use none of the remaining ones; returns the modules that are
/// left, which depend on a cycle.
fn cyclic_modules(mut uses: BTreeMap<String, BTreeSet<String>>) -> Vec<String> {
    loop {
        let independent: Vec<String> =
            uses.iter().filter(|(_, used)| used.is_empty()).map(|(name, _)| name.clone()).collect();
        if independent.is_empty() {
            return uses.into_keys().collect();
        }
        for name in &independent {
            uses.remove(name);
        }
        uses.values_mut()
            .for_each(|used| independent.iter().for_each(|name| _ = used.remove(name)));
    }
}

#[parameterized(
    api = { "api" },
    base = { "base" },
    bill = { "bill" },
    budget = { "budget" },
    crashes = { "crashes" },
    entry = { "entry" },
    fleet = { "fleet" },
    hints = { "hints" },
    paths = { "paths" },
    peer = { "peer" },
    rollouts = { "rollouts" },
    view = { "view" },
)]
fn the_modules_of_a_layer_have_no_cyclic_dependencies(layer: &str) {
    let src = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let cyclic = cyclic_modules(uses_within(&src, layer));
    assert!(cyclic.is_empty(), "{cyclic:?} form or depend on a cycle");
}
