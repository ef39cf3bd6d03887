//! The order machine of one host.

use hollywheel_types::MonoTime;

use crate::message::{OrderInput, OrderOutput, OrderSettings};

/// Reconciles the models that engines hold with those that the objects ask for.
#[derive(Debug)]
pub struct OrderMachine {
    settings: OrderSettings,
}

impl OrderMachine {
    /// Creates a machine without objects.
    pub const fn new(settings: OrderSettings) -> Self {
        Self { settings }
    }

    /// Takes an input and returns what follows from it.
    pub fn handle(&mut self, _now: MonoTime, _input: OrderInput) -> Vec<OrderOutput> {
        Vec::new()
    }

    /// Returns the point at which [`OrderInput::Tick`] is due.
    pub const fn next_wake(&self) -> Option<MonoTime> {
        None
    }

    /// Returns the settings.
    pub const fn settings(&self) -> &OrderSettings {
        &self.settings
    }
}
