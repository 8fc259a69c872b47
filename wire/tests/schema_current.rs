//! The committed border types are those that the schemas generate.
//!
//! With `LAVENDERGAUGE_REGENERATE=1` the test writes them anew instead of comparing.

use std::env;
use std::fs;
use std::path::Path;

use schemars::schema::RootSchema;
use typify::TypeSpace;
use typify::TypeSpaceSettings;

const SCHEMAS: [&str; 7] = ["announce", "api", "config", "gang", "job", "problem", "request"];

/// Generates one module's source from its schema.
fn generate(schema: &str) -> String {
    let schema: RootSchema = serde_json::from_str(schema).expect("schema is JSON");
    let mut settings = TypeSpaceSettings::default();
    settings.with_struct_builder(false).with_derive("PartialEq".to_owned());
    let mut space = TypeSpace::new(&settings);
    space.add_root_schema(schema).expect("schema has types");
    let tree = syn::parse2(space.to_stream()).expect("generated source parses");
    prettyplease::unparse(&tree)
}

#[test]
fn schemas_current() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let regenerate = env::var_os("LAVENDERGAUGE_REGENERATE").is_some();
    for name in SCHEMAS {
        let schema = fs::read_to_string(root.join(format!("schema/{name}.json"))).expect("schema");
        let target = root.join(format!("src/generated/{name}.rs"));
        let fresh = generate(&schema);
        if regenerate {
            fs::create_dir_all(root.join("src/generated")).expect("directory");
            fs::write(&target, fresh).expect("write");
        } else {
            let committed = fs::read_to_string(&target).expect("generated file");
            assert!(committed == fresh, "{name}: run this test with LAVENDERGAUGE_REGENERATE=1");
        }
    }
}
