//! Restores the decision state that an earlier process of the same sender has passed on.

use super::*;

impl Policy {
    /// Continues this state, passed on by an earlier process, under the settings of this one.
    ///
    /// # Errors
    /// Where the settings are unusable, or have other kinds or fewer classes than the state speaks of.
    pub fn restore(mut self, settings: Settings) -> Result<Policy, SettingsError> {
        settings.check()?;
        let classes = self.messages.values().all(|m| m.class.0 < settings.classes.len());
        let kinds = self.endpoints.values().all(|e| e.kind.0 < settings.kinds.len());
        if !classes || !kinds || self.pays.len() != settings.kinds.len() {
            return Err(SettingsError("classes and kinds: not those of the state that was passed".into()));
        }
        self.set = settings;
        Ok(self)
    }
}
