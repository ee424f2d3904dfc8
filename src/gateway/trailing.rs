use serde::{Deserialize, Deserializer};

/// Reads the last field of a message, which ends before it if the sender is of an earlier release.
pub(in crate::gateway) fn or_default<'de, T, D>(deserializer: D) -> Result<T, D::Error>
where
    T: Deserialize<'de> + Default,
    D: Deserializer<'de>,
{
    Ok(T::deserialize(deserializer).unwrap_or_default())
}
