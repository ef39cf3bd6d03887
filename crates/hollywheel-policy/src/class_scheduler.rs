//! Priority scheduling of classes with a guaranteed minimum share for each.

use hollywheel_types::RequestClass;

/// Minimum fraction of the starts that a queued class gets while higher classes are queued as well;
/// indexed by class.
const GUARANTEED_SHARES: [f64; 4] = [0.0, 0.1, 0.1, 0.05];

/// Decides the order in which queued classes are served.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassScheduler {
    /// The starts that each class has earned while higher classes were served.
    credits: [f64; 4],
}

impl ClassScheduler {
    /// Returns whether a class has earned a start ahead of the higher classes.
    pub(crate) const fn has_credit(&self, class: RequestClass) -> bool {
        self.credits[class.index()] >= 1.0
    }

    /// Lists the classes in the order in which they are served next.
    pub(crate) fn service_order(&self) -> [RequestClass; 4] {
        let mut service_order = RequestClass::ALL;
        service_order.sort_by_key(|class| (!self.has_credit(*class), *class));
        service_order
    }

    /// Records that a request of a class started while the classes in `waiting` had queued
    /// requests.
    pub(crate) fn record_start(&mut self, started: RequestClass, waiting: [bool; 4]) {
        let started_credit = &mut self.credits[started.index()];
        *started_credit = (*started_credit - 1.0).max(0.0);
        for class in RequestClass::ALL {
            let index = class.index();
            if class > started && waiting[index] {
                self.credits[index] = (self.credits[index] + GUARANTEED_SHARES[index]).min(2.0);
            }
        }
    }
}
