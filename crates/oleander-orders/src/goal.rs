//! What an engine has to hold, and the orders that bring it there.

use oleander_core::{ModelId, TargetId, value};

value! {
    /// What the engine at an address has to hold.
    pub enum Goal {
        /// Just this model.
        Hold {
            /// Address of the engine.
            address: String,
            /// The model.
            model: ModelId,
        },
        /// None of these models; the target has left the document.
        Drop {
            /// Address of the engine.
            address: String,
            /// Models that it was given.
            models: Vec<ModelId>,
        },
    }

    /// The goal of one target.
    pub struct TargetGoal {
        /// The target.
        pub target: TargetId,
        /// Its goal.
        pub goal: Goal,
    }

    /// One order to an engine.
    pub enum Command {
        /// Load a model.
        Load(ModelId),
        /// Unload a model.
        Unload(ModelId),
    }
}

impl Goal {
    /// Address of the engine.
    #[must_use]
    pub fn address(&self) -> &str {
        match self {
            Self::Hold { address, .. } | Self::Drop { address, .. } => address,
        }
    }

    /// The next order for an engine that holds `models`; `None` if it is as it should be.
    ///
    /// Loads come first, so that an engine with room for both models serves throughout.
    #[must_use]
    pub fn next_command(&self, models: &[ModelId]) -> Option<Command> {
        match self {
            Self::Hold { model, .. } if !models.contains(model) => {
                Some(Command::Load(model.clone()))
            }
            Self::Hold { model, .. } => {
                let extra = models.iter().find(|held| *held != model)?;
                Some(Command::Unload(extra.clone()))
            }
            Self::Drop { models: given, .. } => {
                let left = models.iter().find(|held| given.contains(held))?;
                Some(Command::Unload(left.clone()))
            }
        }
    }

    /// The model to hold, if any.
    #[must_use]
    pub const fn model(&self) -> Option<&ModelId> {
        match self {
            Self::Hold { model, .. } => Some(model),
            Self::Drop { .. } => None,
        }
    }

    pub(crate) const fn is_drop(&self) -> bool {
        matches!(self, Self::Drop { .. })
    }
}
