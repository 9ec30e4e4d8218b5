//! The layers of the daemon: each uses those below it alone, and none but the uppermost is handed
//! the whole daemon.

use std::fs;
use std::path::{Path, PathBuf};

/// The layers, the lowest first; those of one line don't use each other.
const LAYERS: [&[&str]; 7] = [
    &["peer"],
    &["base"],
    &["fleet"],
    &["view", "crashes", "hints", "budget", "bill"],
    &["membership"],
    &["daemon"],
    &["api", "entry", "operator", "peer_server", "open_request", "dump", "controller"],
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
