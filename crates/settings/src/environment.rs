//! A copy of the environment variables, which tests can replace.

/// A sorted copy of environment variables.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    pairs: Vec<(String, String)>,
}

impl Environment {
    /// Copies the environment variables of this process.
    #[must_use]
    pub fn from_process() -> Self {
        let text = |os: std::ffi::OsString| os.to_string_lossy().into_owned();
        Self::from_pairs(std::env::vars_os().map(|(name, value)| (text(name), text(value))))
    }

    /// Creates an environment from pairs of name and value.
    pub fn from_pairs(pairs: impl IntoIterator<Item = (impl Into<String>, impl Into<String>)>) -> Self {
        let mut pairs: Vec<_> = pairs.into_iter().map(|(name, value)| (name.into(), value.into())).collect();
        pairs.sort();
        Self { pairs }
    }

    /// Returns a variable's value, if it is set.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        let at = self.pairs.binary_search_by(|(n, _)| n.as_str().cmp(name)).ok()?;
        Some(&self.pairs[at].1)
    }
}
