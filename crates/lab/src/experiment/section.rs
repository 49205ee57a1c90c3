//! Checked access to the fields of one section of an experiment's text. Errors name the field by its path from the
//! top.

use martenlatch_settings::schema::experiment as schema;
use martenlatch_settings::text::{FieldError, ParsedFile};

use super::rules::{CountRule, NumberRule, SpanRule};
use crate::sampling::Span;

/// The text of an experiment as read.
pub type Text = ParsedFile<schema::Experiment>;

/// A section of the text.
pub struct Section<'a> {
    text: &'a Text,
    /// From the top; empty for the top itself.
    path: String,
}

impl<'a> Section<'a> {
    pub fn new(text: &'a Text, path: impl Into<String>) -> Section<'a> {
        Section {
            text,
            path: path.into(),
        }
    }

    fn path_of(&self, field: &str) -> String {
        if self.path.is_empty() {
            return field.into();
        }
        format!("{}.{field}", self.path)
    }

    /// The fault of a field.
    pub fn fault(&self, field: &str, reason: impl Into<String>) -> FieldError {
        self.text.field_error(&self.path_of(field), reason)
    }

    /// A number within bounds.
    pub fn checked(&self, field: &str, value: f64, bounds: Span) -> Result<f64, FieldError> {
        let path = self.path_of(field);
        self.text
            .check_bounds(&path, value, bounds.least, bounds.most)
    }

    /// A number within its bounds, or its default; the default is checked too.
    pub fn number(
        &self,
        field: &str,
        given: Option<f64>,
        rule: NumberRule,
    ) -> Result<f64, FieldError> {
        self.checked(field, given.unwrap_or(rule.default), rule.bounds)
    }

    /// A count within its bounds, or its default.
    pub fn count(
        &self,
        field: &str,
        given: Option<u32>,
        rule: CountRule,
    ) -> Result<u32, FieldError> {
        let value = given.unwrap_or(rule.default);
        let bounds = Span::new(1.0, rule.most.into());
        self.checked(field, value.into(), bounds)?;
        Ok(value)
    }

    /// A count within bounds, if it is given.
    pub fn optional_count(
        &self,
        field: &str,
        given: Option<u32>,
        bounds: Span,
    ) -> Result<Option<usize>, FieldError> {
        let Some(value) = given else {
            return Ok(None);
        };
        let checked = self.checked(field, value.into(), bounds)?;
        Ok(Some(checked as usize))
    }

    /// A range within its bounds, or its default.
    pub fn span(
        &self,
        field: &str,
        given: Option<schema::Span>,
        rule: SpanRule,
    ) -> Result<Span, FieldError> {
        let Some(given) = given else {
            return Ok(rule.default);
        };
        self.checked(&format!("{field}.least"), given.least, rule.bounds)?;
        let from_least = Span::new(given.least, rule.bounds.most);
        self.checked(&format!("{field}.most"), given.most, from_least)?;
        Ok(Span::new(given.least, given.most))
    }

    /// The name of what the section describes, which must not be empty.
    pub fn name(&self, given: &str) -> Result<String, FieldError> {
        if given.is_empty() {
            return Err(self.fault("name", "a name is wanted"));
        }
        Ok(given.into())
    }
}
