//! Resource amounts of tasks and workers.

use serde::{Deserialize, Serialize};

/// Amount of each resource that can be booked on a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Processors, in thousandths of a core.
    #[serde(default)]
    pub processors_milli: u64,
    #[serde(default)]
    pub memory_mib: u64,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u64,
    /// Task slots. A task takes one.
    #[serde(default = "default_slots")]
    pub slots: u64,
}

fn default_slots() -> u64 {
    1
}

impl Size {
    pub const ZERO: Size = Size { processors_milli: 0, memory_mib: 0, accelerators: 0, slots: 0 };

    /// Returns the amounts in the order processors, memory, accelerators, slots.
    pub fn parts(&self) -> [u64; 4] {
        [self.processors_milli, self.memory_mib, self.accelerators, self.slots]
    }

    /// Builds a size from amounts in the order of [`Size::parts`].
    pub fn from_parts([processors_milli, memory_mib, accelerators, slots]: [u64; 4]) -> Size {
        Size { processors_milli, memory_mib, accelerators, slots }
    }

    /// Returns whether every amount is at most that of `available`.
    pub fn fits_in(&self, available: &Size) -> bool {
        self.parts().iter().zip(available.parts()).all(|(need, have)| *need <= have)
    }

    /// Adds each amount, saturating at `u64::MAX`.
    pub fn plus(&self, other: &Size) -> Size {
        self.combine(other, u64::saturating_add)
    }

    /// Subtracts each amount, saturating at zero.
    pub fn minus(&self, other: &Size) -> Size {
        self.combine(other, u64::saturating_sub)
    }

    /// Multiplies each amount by `count`, saturating at `u64::MAX`.
    pub fn times(&self, count: u64) -> Size {
        Size::from_parts(self.parts().map(|amount| amount.saturating_mul(count)))
    }

    /// Returns the larger value of each amount.
    pub fn max(&self, other: &Size) -> Size {
        self.combine(other, u64::max)
    }

    /// Returns the smaller value of each amount.
    pub fn min(&self, other: &Size) -> Size {
        self.combine(other, u64::min)
    }

    /// Returns the largest fraction of `total` that this size takes in any one resource. Resources of which `total` has
    /// none do not count.
    pub fn dominant_share(&self, total: &Size) -> f64 {
        let fraction =
            |(need, have): (&u64, u64)| if have == 0 { 0.0 } else { *need as f64 / have as f64 };
        self.parts().iter().zip(total.parts()).map(fraction).fold(0.0, f64::max)
    }

    fn combine(&self, other: &Size, operation: fn(u64, u64) -> u64) -> Size {
        let (left, right) = (self.parts(), other.parts());
        Size::from_parts(std::array::from_fn(|index| operation(left[index], right[index])))
    }
}
