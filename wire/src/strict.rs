//! Strict decoding of JSON that people write, with errors that name the field.

use serde::de::DeserializeOwned;
use serde_json::Deserializer;

/// The first error in a JSON body.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {text}")]
pub struct Error {
    /// Path of the field, such as `guarantees[0].name`; `body` for the whole body.
    pub field: String,
    /// What is wrong with it.
    pub text: String,
}

/// Decodes a JSON body and rejects fields that the type does not have.
///
/// # Errors
/// The first error, with its field.
///
/// ```
/// use lavendergauge_wire::job::Spec;
/// use lavendergauge_wire::strict;
/// let error = strict::from_json::<Spec>(br#"{"account": 5}"#).unwrap_err();
/// assert_eq!(error.field, "account");
/// let error = strict::from_json::<Spec>(br#"{"account": "brno"}"#).unwrap_err();
/// assert_eq!((error.field.as_str(), error.text.as_str()), ("accelerators", "is missing"));
/// ```
pub fn from_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let mut unknown_fields = Vec::new();
    let mut track = serde_path_to_error::Track::new();
    let mut deserializer = Deserializer::from_slice(bytes);
    let tracked = serde_path_to_error::Deserializer::new(&mut deserializer, &mut track);
    let decoded = serde_ignored::deserialize(tracked, |path| unknown_fields.push(path.to_string()));
    let value: T = match decoded {
        Ok(value) => value,
        Err(error) => return Err(field_error(&track.path().to_string(), &error.to_string())),
    };
    if let Err(error) = deserializer.end() {
        return Err(field_error(".", &error.to_string()));
    }
    match unknown_fields.into_iter().next() {
        None => Ok(value),
        Some(path) => Err(Error { field: path, text: "is not a known field".to_owned() }),
    }
}

/// Makes an error from serde's text, with the path of a missing field completed by its name.
fn field_error(path: &str, text: &str) -> Error {
    // Leaves out the line and column, which are of no use once the field is named.
    let text = text.split(" at line ").next().unwrap_or(text);
    let path = if path == "." { "" } else { path };
    if let Some(name) = text.strip_prefix("missing field `").and_then(|rest| rest.strip_suffix('`'))
    {
        let dot = if path.is_empty() { "" } else { "." };
        return Error { field: format!("{path}{dot}{name}"), text: "is missing".to_owned() };
    }
    let field = if path.is_empty() { "body" } else { path };
    Error { field: field.to_owned(), text: text.to_owned() }
}
