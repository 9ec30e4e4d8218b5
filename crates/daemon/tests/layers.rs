//! The layers of the daemon: each uses those below it alone, and none but the uppermost is handed
//! the whole daemon.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

use yare::parameterized;

/// The layers, the lowest first; those of one line don't use each other.
const LAYERS: [&[&str]; 9] = [
    &["peer"],
    &["base"],
    &["fleet"],
    &["view", "crashes", "hints", "budget", "bill"],
    &["membership"],
    &["requests"],
    &["api", "entry"],
    &["daemon"],
    &["operator", "peer_server", "lifecycle"],
];

fn files_of(src: &Path, layer: &str) -> Vec<PathBuf> {
    let mut files = vec![src.join(layer).with_extension("rs")];
    let mut folders = vec![src.join(layer)];
    while let Some(folder) = folders.pop() {
        // A layer of one file has no folder.
        for entry in fs::read_dir(folder).into_iter().flatten() {
            let path = entry.expect("an entry can be read").path();
            if path.is_dir() { folders.push(path) } else { files.push(path) }
        }
    }
    files
}

fn uses(text: &str, layer: &str) -> bool {
    // Imports of several at once would not be seen.
    assert!(!text.contains("use crate::{"), "a line for each module");
    let path = format!("crate::{layer}");
    let ends = |rest: &str| !rest.starts_with(|c: char| c.is_alphanumeric() || c == '_');
    text.match_indices(&path).any(|(at, _)| ends(&text[at + path.len()..]))
}

#[test]
fn no_layer_uses_one_above_it_or_beside_it() {
    let src = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut wrong = Vec::new();
    for (level, layers) in LAYERS.iter().enumerate().take(LAYERS.len() - 1) {
        for layer in *layers {
            let above = LAYERS[level..].iter().copied().flatten();
            let forbidden: Vec<&str> = above.copied().filter(|other| other != layer).collect();
            for file in files_of(&src, layer) {
                let text = fs::read_to_string(&file).expect("a source file can be read");
                let used = forbidden.iter().filter(|other| uses(&text, other));
                wrong.extend(used.map(|other| format!("{} uses {other}", file.display())));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// The files of a folder that each uses, by the names of their modules.
fn uses_within(src: &Path, folder: &str) -> BTreeMap<String, BTreeSet<String>> {
    let entries = fs::read_dir(src.join(folder)).expect("the folder is there");
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

/// Takes away, again and again, the files that use none of those that are left.
fn ring(mut uses: BTreeMap<String, BTreeSet<String>>) -> Vec<String> {
    loop {
        let free: Vec<String> =
            uses.iter().filter(|(_, used)| used.is_empty()).map(|(name, _)| name.clone()).collect();
        if free.is_empty() {
            return uses.into_keys().collect();
        }
        for name in &free {
            uses.remove(name);
        }
        uses.values_mut().for_each(|used| free.iter().for_each(|name| _ = used.remove(name)));
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
    peer = { "peer" },
    view = { "view" },
)]
fn the_files_of_a_layer_use_each_other_in_one_direction(layer: &str) {
    let src = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let ring = ring(uses_within(&src, layer));
    assert!(ring.is_empty(), "{ring:?} use each other in a ring");
}
