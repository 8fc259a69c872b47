//! Names of entities, as callers and operators see them.

use std::fmt;

use bytes::Bytes;

/// A name that is cheap to clone; its bytes are shared between clones.
#[derive(Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Name(Bytes);

impl Name {
    /// Returns the name as text.
    ///
    /// ```
    /// use lavendergauge_lib::name::Name;
    /// assert_eq!(Name::from("zilina-1").as_str(), "zilina-1");
    /// ```
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or_default()
    }

    /// Tells whether the name is empty.
    ///
    /// ```
    /// use lavendergauge_lib::name::Name;
    /// assert!(Name::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl From<&str> for Name {
    fn from(text: &str) -> Self {
        Name(Bytes::copy_from_slice(text.as_bytes()))
    }
}

impl From<String> for Name {
    fn from(text: String) -> Self {
        Name(Bytes::from(text))
    }
}

impl From<&String> for Name {
    fn from(text: &String) -> Self {
        Name::from(text.as_str())
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self.as_str(), f)
    }
}
