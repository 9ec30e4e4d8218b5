//! The layers of the daemon: what holds state calls nothing that serves callers or puts the
//! daemon together.

use std::fs;
use std::path::{Path, PathBuf};

/// Layers that hold state.
const LOWER: [&str; 7] = ["peer", "budget", "bill", "view", "fleet", "crashes", "limits"];

/// What stands above them.
const UPPER: [&str; 5] = ["api", "entry", "operator", "peer_server", "controller"];

fn files_below(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a layer is a folder") {
        let path = entry.expect("an entry can be read").path();
        if path.is_dir() { files_below(&path, files) } else { files.push(path) }
    }
}

#[test]
fn no_layer_uses_one_above_it() {
    let src = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut upward = Vec::new();
    for layer in LOWER {
        let mut files = vec![src.join(layer).with_extension("rs")];
        files_below(&src.join(layer), &mut files);
        for file in files {
            let text = fs::read_to_string(&file).expect("a source file can be read");
            let uses = |upper: &&&str| {
                let path = format!("crate::{upper}");
                let ends =
                    |rest: &str| !rest.starts_with(|c: char| c.is_alphanumeric() || c == '_');
                text.match_indices(&path).any(|(at, _)| ends(&text[at + path.len()..]))
            };
            let above = UPPER.iter().filter(uses);
            upward.extend(above.map(|upper| format!("{} uses {upper}", file.display())));
        }
    }
    assert!(upward.is_empty(), "{upward:#?}");
}

/// A layer that is built from what it needs is not handed the whole daemon.
#[test]
fn limits_are_built_from_parts() {
    let src = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut files = vec![src.join("limits.rs")];
    files_below(&src.join("limits"), &mut files);
    for file in files {
        let text = fs::read_to_string(&file).expect("a source file can be read");
        assert!(!text.contains("crate::daemon"), "{} uses the daemon", file.display());
    }
}
