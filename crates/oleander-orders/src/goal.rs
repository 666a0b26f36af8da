//! Desired state of an engine, and the commands that bring the engine to it.

use oleander_core::{ModelId, TargetId, value};

value! {
    /// Desired state of the engine at an address.
    pub enum Goal {
        /// Has exactly this model loaded.
        Hold {
            /// Address of the engine.
            address: String,
            /// The model.
            model: ModelId,
        },
        /// Has none of these models loaded; the goal of a target removed from the document.
        Drop {
            /// Address of the engine.
            address: String,
            /// Models assigned to the target before its removal.
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

    /// What an order tells an engine to do.
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

    /// The next command for an engine that has `loaded` models; `None` if the goal is reached.
    ///
    /// Loads come before unloads, so that an engine with room for both models keeps serving.
    #[must_use]
    pub fn next_command(&self, loaded: &[ModelId]) -> Option<Command> {
        match self {
            Self::Hold { model, .. } if !loaded.contains(model) => {
                Some(Command::Load(model.clone()))
            }
            Self::Hold { model, .. } => {
                let extra = loaded.iter().find(|other| *other != model)?;
                Some(Command::Unload(extra.clone()))
            }
            Self::Drop { models, .. } => {
                let extra = loaded.iter().find(|model| models.contains(model))?;
                Some(Command::Unload(extra.clone()))
            }
        }
    }

    /// The model to have loaded, if any.
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
