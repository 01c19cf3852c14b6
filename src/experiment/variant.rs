//! Policies to compare: the baseline and its variants.

use anyhow::Context;
use serde_json::Value;

use crate::policy::{Mechanism, Policy};

/// A named policy.
#[derive(Clone, Debug, PartialEq)]
pub struct Variant {
    /// How it differs from the baseline.
    pub name: String,
    /// Policy to simulate.
    pub policy: Policy,
}

impl Variant {
    /// The default policy.
    #[must_use]
    pub fn baseline() -> Self {
        Self { name: "baseline".to_string(), policy: Policy::default() }
    }

    /// The default policy with `mechanism` switched off.
    #[must_use]
    pub fn without(mechanism: Mechanism) -> Self {
        let mut policy = Policy::default();
        mechanism.disable(&mut policy);
        Self { name: format!("without {mechanism}"), policy }
    }

    /// The default policy with one field overridden, given as `FIELD=VALUE`, for
    /// example `steer.answer=60`.
    ///
    /// # Errors
    ///
    /// Fails if the text has no `=`, the field does not exist, or the value has
    /// the wrong type or is out of range.
    pub fn with_override(text: &str) -> anyhow::Result<Self> {
        let (field, value) = text
            .split_once('=')
            .with_context(|| format!("override `{text}` is not FIELD=VALUE"))?;
        let value: Value =
            serde_json::from_str(value).unwrap_or_else(|_| Value::String(value.to_string()));
        let mut root = serde_json::to_value(Policy::default())?;
        let mut node = &mut root;
        for part in field.split('.') {
            let known = field_names(node);
            node = node.get_mut(part).with_context(|| {
                format!("field `{field}`: unknown field `{part}`; known fields: {known}")
            })?;
        }
        *node = value;
        let policy: Policy = serde_path_to_error::deserialize(root)
            .map_err(|e| anyhow::anyhow!("field `{}`: {}", e.path(), e.inner()))?;
        policy.check()?;
        Ok(Self { name: text.to_string(), policy })
    }
}

/// Comma-separated field names of a JSON object.
fn field_names(object: &Value) -> String {
    let names: Vec<&str> =
        object.as_object().into_iter().flatten().map(|(name, _)| name.as_str()).collect();
    names.join(", ")
}
