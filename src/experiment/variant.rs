//! Policies to compare: the baseline, and variants of it.

use anyhow::Context;
use serde_json::Value;

use crate::policy::{Mechanism, Policy};

/// A named policy.
#[derive(Clone, Debug, PartialEq)]
pub struct Variant {
    /// Its name: what differs from the baseline.
    pub name: String,
    /// The policy.
    pub policy: Policy,
}

impl Variant {
    /// The baseline.
    #[must_use]
    pub fn baseline() -> Self {
        Self { name: "baseline".to_string(), policy: Policy::default() }
    }

    /// The baseline without `mechanism`.
    #[must_use]
    pub fn without(mechanism: Mechanism) -> Self {
        let mut policy = Policy::default();
        mechanism.disable(&mut policy);
        Self { name: format!("without {mechanism}"), policy }
    }

    /// The baseline with one field changed, as `FIELD=VALUE`, for example
    /// `steer.answer=60`.
    ///
    /// # Errors
    ///
    /// Fails when the text has no `=`, and names a field that does not exist or
    /// a value that does not fit it.
    pub fn with_override(text: &str) -> anyhow::Result<Self> {
        let (field, value) = text.split_once('=').context("a change is FIELD=VALUE")?;
        let value: Value =
            serde_json::from_str(value).unwrap_or_else(|_| Value::String(value.to_string()));
        let mut all = serde_json::to_value(Policy::default())?;
        let mut place = &mut all;
        for part in field.split('.') {
            let known = field_names(place);
            place = place.get_mut(part).with_context(|| {
                format!("field `{field}`: there is no `{part}`; known: {known}")
            })?;
        }
        *place = value;
        let policy: Policy = serde_path_to_error::deserialize(all)
            .map_err(|e| anyhow::anyhow!("field `{}`: {}", e.path(), e.inner()))?;
        policy.check()?;
        Ok(Self { name: text.to_string(), policy })
    }
}

/// The fields of a table.
fn field_names(table: &Value) -> String {
    let names: Vec<&str> =
        table.as_object().into_iter().flatten().map(|(name, _)| name.as_str()).collect();
    names.join(", ")
}
