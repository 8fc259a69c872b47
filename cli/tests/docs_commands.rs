//! Every command of the docs is one that the command line takes.

use std::fs;

use lavendergauge_cli::commands;

#[test]
fn commands_taken() {
    let mut count = 0;
    for page in ["README.md", "docs/OPERATIONS.md"] {
        let path = format!("{}/../{page}", env!("CARGO_MANIFEST_DIR"));
        let text = fs::read_to_string(path).expect("readable");
        for line in text.lines().filter_map(|line| line.strip_prefix("    lavendergauge ")) {
            let words = ["lavendergauge"].into_iter().chain(line.split_whitespace());
            let taken = commands::command().try_get_matches_from(words);
            assert!(taken.is_ok(), "{page}: lavendergauge {line}: {:?}", taken.err());
            count += 1;
        }
    }
    assert!(15 < count, "{count} commands");
}
