//! Checked access to the fields of one section of an experiment's text. Errors name a field by its path from the top
//! level.

use martenlatch_settings::schema::experiment as schema;
use martenlatch_settings::text::{FieldError, ParsedFile};

use super::rules::{CountRule, NumberRule, SpanRule};
use crate::sampling::Span;

/// A parsed experiment file.
pub type ExperimentFile = ParsedFile<schema::Experiment>;

/// A section of an experiment file.
pub struct Section<'a> {
    file: &'a ExperimentFile,
    /// The path of the section from the top level; empty for the top level itself.
    path: String,
}

impl<'a> Section<'a> {
    pub fn new(file: &'a ExperimentFile, path: impl Into<String>) -> Section<'a> {
        Section {
            file,
            path: path.into(),
        }
    }

    fn path_of(&self, field: &str) -> String {
        if self.path.is_empty() {
            return field.into();
        }
        format!("{}.{field}", self.path)
    }

    /// An error that names a field by its path from the top level.
    pub fn field_error(&self, field: &str, reason: impl Into<String>) -> FieldError {
        self.file.field_error(&self.path_of(field), reason)
    }

    /// Checks that a number is within bounds, and returns it.
    pub fn check_bounds(&self, field: &str, value: f64, bounds: Span) -> Result<f64, FieldError> {
        let path = self.path_of(field);
        self.file
            .check_bounds(&path, value, bounds.least, bounds.most)
    }

    /// A number within its bounds, or its default, which is checked as well.
    pub fn number(
        &self,
        field: &str,
        given: Option<f64>,
        rule: NumberRule,
    ) -> Result<f64, FieldError> {
        self.check_bounds(field, given.unwrap_or(rule.default), rule.bounds)
    }

    /// A count within its bounds, or its default.
    pub fn count(
        &self,
        field: &str,
        given: Option<u32>,
        rule: CountRule,
    ) -> Result<u32, FieldError> {
        let value = given.unwrap_or(rule.default);
        let bounds = Span::new(1.0, rule.max.into());
        self.check_bounds(field, value.into(), bounds)?;
        Ok(value)
    }

    /// A count within bounds; `None` if it is absent.
    pub fn optional_count(
        &self,
        field: &str,
        given: Option<u32>,
        bounds: Span,
    ) -> Result<Option<usize>, FieldError> {
        let Some(value) = given else {
            return Ok(None);
        };
        let checked = self.check_bounds(field, value.into(), bounds)?;
        Ok(Some(checked as usize))
    }

    /// A range within its bounds, or its default. Its upper end must not be below its lower end.
    pub fn span(
        &self,
        field: &str,
        given: Option<schema::Span>,
        rule: SpanRule,
    ) -> Result<Span, FieldError> {
        let Some(given) = given else {
            return Ok(rule.default);
        };
        self.check_bounds(&format!("{field}.least"), given.least, rule.bounds)?;
        let bounds_of_most = Span::new(given.least, rule.bounds.most);
        self.check_bounds(&format!("{field}.most"), given.most, bounds_of_most)?;
        Ok(Span::new(given.least, given.most))
    }

    /// A name, which must not be empty.
    pub fn name(&self, given: &str) -> Result<String, FieldError> {
        if given.is_empty() {
            return Err(self.field_error("name", "a name is required"));
        }
        Ok(given.into())
    }
}
