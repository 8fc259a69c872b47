//! Decoding of people's JSON that names the field at fault.

use serde::de::DeserializeOwned;
use serde_json::Deserializer;

/// What is wrong with a JSON body.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {text}")]
pub struct Fault {
    /// Path of the field at fault, such as `guarantees[0].name`; `body` for the whole.
    pub field: String,
    /// What is wrong with it.
    pub text: String,
}

/// Decodes a JSON body and refuses fields that the type does not have.
///
/// # Errors
/// The first fault, with its field.
///
/// ```
/// use lavendergauge_wire::job::Spec;
/// use lavendergauge_wire::strict;
/// let fault = strict::from_json::<Spec>(br#"{"account": 5}"#).unwrap_err();
/// assert_eq!(fault.field, "account");
/// let fault = strict::from_json::<Spec>(br#"{"account": "brno"}"#).unwrap_err();
/// assert_eq!((fault.field.as_str(), fault.text.as_str()), ("accelerators", "is missing"));
/// ```
pub fn from_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Fault> {
    let mut ignored = Vec::new();
    let mut track = serde_path_to_error::Track::new();
    let mut deserializer = Deserializer::from_slice(bytes);
    let tracked = serde_path_to_error::Deserializer::new(&mut deserializer, &mut track);
    let decoded = serde_ignored::deserialize(tracked, |path| ignored.push(path.to_string()));
    let value: T = match decoded {
        Ok(value) => value,
        Err(error) => return Err(fault(&track.path().to_string(), &error.to_string())),
    };
    if let Err(error) = deserializer.end() {
        return Err(fault(".", &error.to_string()));
    }
    match ignored.into_iter().next() {
        None => Ok(value),
        Some(path) => Err(Fault { field: path, text: "is no field".to_owned() }),
    }
}

fn fault(path: &str, text: &str) -> Fault {
    // The place in the text is of no use once the field is named.
    let text = text.split(" at line ").next().unwrap_or(text);
    let path = if path == "." { "" } else { path };
    if let Some(name) = text.strip_prefix("missing field `").and_then(|rest| rest.strip_suffix('`'))
    {
        let dot = if path.is_empty() { "" } else { "." };
        return Fault { field: format!("{path}{dot}{name}"), text: "is missing".to_owned() };
    }
    let field = if path.is_empty() { "body" } else { path };
    Fault { field: field.to_owned(), text: text.to_owned() }
}
