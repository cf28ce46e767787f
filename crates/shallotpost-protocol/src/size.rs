//! Sizes of tasks and workers.

use serde::{Deserialize, Serialize};

/// An amount of each resource that is booked on a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Processors, in thousandths of a core.
    #[serde(default)]
    pub processors_milli: u64,
    /// Memory, in MiB.
    #[serde(default)]
    pub memory_mib: u64,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u64,
    /// Task slots; a task takes one.
    #[serde(default = "one_slot")]
    pub slots: u64,
}

fn one_slot() -> u64 {
    1
}

impl Size {
    /// No resources at all.
    pub const ZERO: Size = Size { processors_milli: 0, memory_mib: 0, accelerators: 0, slots: 0 };

    /// The four amounts: processors, memory, accelerators, slots.
    pub fn parts(&self) -> [u64; 4] {
        [self.processors_milli, self.memory_mib, self.accelerators, self.slots]
    }

    /// The size with these four amounts.
    pub fn from_parts([processors_milli, memory_mib, accelerators, slots]: [u64; 4]) -> Size {
        Size { processors_milli, memory_mib, accelerators, slots }
    }

    /// Whether every amount is at most that of `room`.
    pub fn fits_in(&self, room: &Size) -> bool {
        self.parts().iter().zip(room.parts()).all(|(need, have)| *need <= have)
    }

    /// Sum by amount; saturates.
    pub fn plus(&self, other: &Size) -> Size {
        self.combine(other, u64::saturating_add)
    }

    /// Difference by amount, at least zero.
    pub fn minus(&self, other: &Size) -> Size {
        self.combine(other, u64::saturating_sub)
    }

    /// Each amount times `count`; saturates.
    pub fn times(&self, count: u64) -> Size {
        Size::from_parts(self.parts().map(|amount| amount.saturating_mul(count)))
    }

    /// The larger of both, by amount.
    pub fn max(&self, other: &Size) -> Size {
        self.combine(other, u64::max)
    }

    /// The smaller of both, by amount.
    pub fn min(&self, other: &Size) -> Size {
        self.combine(other, u64::min)
    }

    /// The largest part that this size takes of any amount of `total`; amounts that `total` lacks do not count.
    pub fn dominant_part(&self, total: &Size) -> f64 {
        let part =
            |(need, have): (&u64, u64)| if have == 0 { 0.0 } else { *need as f64 / have as f64 };
        self.parts().iter().zip(total.parts()).map(part).fold(0.0, f64::max)
    }

    fn combine(&self, other: &Size, operation: fn(u64, u64) -> u64) -> Size {
        let (left, right) = (self.parts(), other.parts());
        Size::from_parts(std::array::from_fn(|index| operation(left[index], right[index])))
    }
}
