//! Parsing and validation of malformed trees and edits.

use bolero::ValueGenerator;
use bolero::generator::bolero_generator::driver::ByteSliceDriver;
use bolero::generator::bolero_generator::driver::Options;
use bolero::produce;
use jaycrank_settings::Branch;
use jaycrank_settings::Config;
use jaycrank_settings::Edit;
use jaycrank_settings::Tree;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::json;

const SEED: u64 = 19;
const INPUTS: usize = 10_000;

fn tree() -> Tree {
    let digest = "0".repeat(64);
    let service = json!({
        "slots": 3, "connections": 30, "floors": { "urgent": 0.5 }, "weights": { "tunis": 2.0 },
    });
    Tree::new()
        .with_branch("", Branch::new("root-team", json!({})))
        .with_branch("policy", Branch::new("root-team", json!({ "replicas": "reported" })))
        .with_branch("services/reel-history", Branch::new("search", service))
        .with_branch("members/tunis", Branch::new("", json!({ "weight": 1, "tokens": [digest] })))
        .with_branch("operators/ada", Branch::new("", json!({ "teams": ["search"], "tokens": [] })))
        .with_branch("teams/search", Branch::new("search", json!(null)))
        .with_revision(7)
}

/// Guards against input that makes the parser or the checks panic, an accepted tree that changes
/// when it is encoded again, and an error without the value and the accepted range. The inputs are
/// a valid tree with some bytes changed.
#[test]
fn corrupted_trees_are_parsed_or_refused() {
    let valid = serde_json::to_vec(&tree()).unwrap();
    assert!(Config::from_tree(&tree()).is_ok());
    let mut random = StdRng::seed_from_u64(SEED);
    let options = Options::default();
    let changes = produce::<Vec<(u16, u8)>>();
    let mut entropy = [0; 64];
    let (mut parsed, mut accepted) = (0, 0);
    for _ in 0..INPUTS {
        random.fill(&mut entropy[..]);
        let mut driver = ByteSliceDriver::new(&entropy, &options);
        let mut text = valid.clone();
        for (position, byte) in changes.generate(&mut driver).unwrap_or_default().iter().take(3) {
            let position = usize::from(*position) % text.len();
            text[position] = b' ' + byte % 95;
        }
        let _ = serde_json::from_slice::<Edit>(&text);
        let _ = serde_json::from_slice::<Tree>(&entropy);
        let Ok(tree) = serde_json::from_slice::<Tree>(&text) else { continue };
        parsed += 1;
        match Config::from_tree(&tree) {
            Ok(config) => {
                accepted += 1;
                let again = serde_json::to_vec(&tree).unwrap();
                let again: Tree = serde_json::from_slice(&again).unwrap();
                assert_eq!(Config::from_tree(&again), Ok(config));
            }
            Err(error) => assert!(!error.value().is_empty() && !error.accepted().is_empty()),
        }
    }
    // Enough inputs must parse and reach the validation, and some must pass it.
    assert!(parsed > INPUTS / 50 && accepted > 0, "{parsed} parsed, {accepted} accepted");
}
