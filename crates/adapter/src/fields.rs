//! Splits an input line into its fields, which are separated by single spaces.

use std::str::FromStr;

use crate::error::LineError;

/// Value of an optional field that is absent.
const ABSENT: &str = "-";

/// The fields of a line that have not been read, in order.
pub struct Fields<'line> {
    rest: Option<&'line str>,
}

impl<'line> Fields<'line> {
    /// Starts at the first field of a line.
    pub fn new(line: &'line str) -> Fields<'line> {
        Fields { rest: Some(line) }
    }

    /// Reads the next field, which is required; `name` is its name in the error.
    pub fn text(&mut self, name: &'static str) -> Result<&'line str, LineError> {
        let rest = self.rest.ok_or(LineError::Missing(name))?;
        let value = match rest.split_once(' ') {
            Some((value, remainder)) => {
                self.rest = Some(remainder);
                value
            }
            None => {
                self.rest = None;
                rest
            }
        };
        if value.is_empty() {
            return Err(LineError::Missing(name));
        }
        Ok(value)
    }

    /// Reads the next field. Returns `None` if it is missing, empty or `-`.
    pub fn optional_text(&mut self) -> Option<&'line str> {
        self.text("an optional field")
            .ok()
            .filter(|value| *value != ABSENT)
    }

    /// Reads the next field, which has to be a number.
    pub fn number<T: FromStr>(&mut self, name: &'static str) -> Result<T, LineError> {
        parse_number(self.text(name)?, name)
    }

    /// Reads the next field as a flag: `1` or `0`.
    pub fn flag(&mut self, name: &'static str) -> Result<bool, LineError> {
        match self.text(name)? {
            "1" => Ok(true),
            "0" => Ok(false),
            _ => Err(LineError::NotAllowed {
                field: name,
                allowed: "1 or 0",
            }),
        }
    }

    /// Reads the rest of the line, spaces included.
    pub fn remainder(&mut self, name: &'static str) -> Result<&'line str, LineError> {
        self.rest.take().ok_or(LineError::Missing(name))
    }

    /// Skips the next field, which is required.
    pub fn skip(&mut self, name: &'static str) -> Result<(), LineError> {
        self.text(name).map(|_| ())
    }

    /// Reads the next field, which has to be this keyword.
    pub fn keyword(&mut self, keyword: &'static str) -> Result<(), LineError> {
        if self.text(keyword)? == keyword {
            Ok(())
        } else {
            Err(LineError::Missing(keyword))
        }
    }
}

/// Parses a number; `name` is the name of the field in the error.
pub fn parse_number<T: FromStr>(text: &str, name: &'static str) -> Result<T, LineError> {
    text.parse().map_err(|_| LineError::NotANumber(name))
}
