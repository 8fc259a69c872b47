//! Border types: decoding never panics, and a round trip is exact.

use std::fmt::Debug;

use lavendergauge_wire::announce;
use lavendergauge_wire::api;
use lavendergauge_wire::codec;
use lavendergauge_wire::config;
use lavendergauge_wire::gang;
use lavendergauge_wire::job;
use lavendergauge_wire::problem;
use lavendergauge_wire::request;
use lavendergauge_wire::strict;
use proptest::collection::vec;
use proptest::prelude::BoxedStrategy;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::sample::Index;
use proptest::sample::select;
use proptest::strategy::Union;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

const CASES: u32 = 256;

/// Makes values that a schema allows.
fn values(schema: &Value, definitions: &Value) -> BoxedStrategy<Value> {
    if let Some(reference) = schema["$ref"].as_str() {
        let name = reference.trim_start_matches("#/definitions/");
        return values(&definitions[name], definitions);
    }
    if let Some(branches) = schema["oneOf"].as_array() {
        let branches = branches.iter().map(|branch| values(branch, definitions));
        return Union::new(branches.collect::<Vec<_>>()).boxed();
    }
    if let Some(words) = schema["enum"].as_array() {
        return select(words.clone()).boxed();
    }
    let kind = schema["type"].as_str().or(schema["type"][0].as_str()).expect("type");
    match kind {
        "string" => any::<String>().prop_map(Value::from).boxed(),
        "boolean" => any::<bool>().prop_map(Value::from).boxed(),
        "integer" => integers(schema),
        "array" => vec(values(&schema["items"], definitions), 0..3).prop_map(Value::from).boxed(),
        "object" => objects(schema, definitions),
        other => panic!("no strategy for {other}"),
    }
}

fn integers(schema: &Value) -> BoxedStrategy<Value> {
    let least = schema["minimum"].as_u64().unwrap_or(0);
    let most = match schema["format"].as_str() {
        Some("uint8") => u64::from(u8::MAX),
        Some("uint16") => u64::from(u16::MAX),
        Some("uint32") => u64::from(u32::MAX),
        _ => u64::MAX,
    };
    (least..=most).prop_map(Value::from).boxed()
}

fn objects(schema: &Value, definitions: &Value) -> BoxedStrategy<Value> {
    let mut strategy = Just(Map::new()).boxed();
    for (name, property) in schema["properties"].as_object().into_iter().flatten() {
        let name = name.clone();
        let required =
            schema["required"].as_array().is_some_and(|names| names.contains(&json!(name)));
        let field = (values(property, definitions), any::<bool>());
        strategy = (strategy, field)
            .prop_map(move |(mut map, (value, present))| {
                if required || present {
                    map.insert(name.clone(), value);
                }
                map
            })
            .boxed();
    }
    strategy.prop_map(Value::from).boxed()
}

/// Checks one border type against the definition it is generated from.
fn check<T>(schema: &str, name: &str)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let schema: Value = serde_json::from_str(schema).expect("schema");
    let definitions = &schema["definitions"];
    let seed = RngSeed::Fixed(6);
    let config =
        Config { cases: CASES, rng_seed: seed, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new(config);
    let damage = vec((any::<Index>(), any::<u8>()), 0..4);
    let strategy = (values(&definitions[name], definitions), damage, vec(any::<u8>(), 0..64));
    let outcome = runner.run(&strategy, |(value, damage, noise)| {
        let text = value.to_string();
        let decoded: T = strict::from_json(text.as_bytes()).expect("the schema allows it");
        let packed = codec::pack(&decoded).expect("packs");
        assert_eq!(codec::unpack::<T>(&packed).expect("unpacks"), decoded);
        let written = codec::to_json(&decoded).expect("writes");
        assert_eq!(codec::from_json::<T>(&written).expect("reads"), decoded);
        for mut bytes in [packed.to_vec(), written.to_vec()] {
            for (index, byte) in &damage {
                let index = index.index(bytes.len());
                bytes[index] = *byte;
            }
            let _ = (codec::unpack::<T>(&bytes), strict::from_json::<T>(&bytes));
        }
        let _ = (codec::unpack::<T>(&noise), strict::from_json::<T>(&noise));
        Ok(())
    });
    outcome.unwrap_or_else(|error| panic!("{name}: {error}"));
}

macro_rules! border {
    ($test:ident, $module:ident, $($name:ident),+) => {
        #[test]
        fn $test() {
            let schema = include_str!(concat!("../schema/", stringify!($module), ".json"));
            $(check::<$module::$name>(schema, stringify!($name));)+
        }
    };
}

border!(announce_types, announce, Frame, Permit, Reply, Task, Load);
border!(api_types, api, DataCentre, Target, Guarantee, Explanation, Preview, Status);
border!(config_types, config, Account, Change, Document, Guarantee, Key, Operation, Policy, Zone);
border!(gang_types, gang, Command, Reply, Step);
border!(job_types, job, Record, Seat, Spec);
border!(problem_types, problem, Detail);
border!(request_types, request, Ticket, Status);
