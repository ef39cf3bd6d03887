//! Priority between classes with a guaranteed part for each.

use hollywheel_types::RequestClass;

/// The part of the starts that a waiting class gets whatever waits above it.
const GUARANTEED: [f64; 4] = [0.0, 0.1, 0.1, 0.05];

/// Says which class is next.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassTurns {
    credit: [f64; 4],
}

impl ClassTurns {
    /// Says whether a class is owed a start ahead of those above it.
    pub(crate) const fn is_owed(&self, class: RequestClass) -> bool {
        self.credit[class.index()] >= 1.0
    }

    /// Lists the classes in the order in which they are served next.
    pub(crate) fn order(&self) -> [RequestClass; 4] {
        let mut order = RequestClass::ALL;
        order.sort_by_key(|class| (!self.is_owed(*class), *class));
        order
    }

    /// Tells that a class was served while others waited.
    pub(crate) fn serve(&mut self, served: RequestClass, waiting: [bool; 4]) {
        let own = &mut self.credit[served.index()];
        *own = (*own - 1.0).max(0.0);
        for class in RequestClass::ALL {
            let at = class.index();
            if class > served && waiting[at] {
                self.credit[at] = (self.credit[at] + GUARANTEED[at]).min(2.0);
            }
        }
    }
}
