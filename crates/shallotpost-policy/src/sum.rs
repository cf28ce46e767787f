//! Exact sums of sizes. `Size` saturates, so subtraction would not undo the addition of extreme sizes.

use shallotpost_protocol::size::Size;

/// Sum of sizes; may be negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Sum([i128; 4]);

impl Sum {
    pub(crate) fn add(&mut self, size: &Size) {
        self.0.iter_mut().zip(size.parts()).for_each(|(sum, part)| *sum += i128::from(part));
    }

    pub(crate) fn subtract(&mut self, size: &Size) {
        self.0.iter_mut().zip(size.parts()).for_each(|(sum, part)| *sum -= i128::from(part));
    }

    pub(crate) fn minus(&self, other: &Sum) -> Sum {
        Sum(std::array::from_fn(|index| self.0[index] - other.0[index]))
    }

    pub(crate) fn plus(&self, other: &Sum) -> Sum {
        Sum(std::array::from_fn(|index| self.0[index] + other.0[index]))
    }

    /// Returns whether `size` is at most this sum in every resource.
    pub(crate) fn holds(&self, size: &Size) -> bool {
        size.parts().iter().zip(self.0).all(|(need, have)| i128::from(*need) <= have)
    }

    /// Returns whether some resource is negative.
    pub(crate) fn has_negative(&self) -> bool {
        self.0.iter().any(|part| *part < 0)
    }

    /// Returns the sum as a size, clamped to 0 and `u64::MAX` in each resource.
    pub(crate) fn size(&self) -> Size {
        Size::from_parts(self.0.map(|part| u64::try_from(part.max(0)).unwrap_or(u64::MAX)))
    }
}

impl From<&Size> for Sum {
    fn from(size: &Size) -> Sum {
        Sum(size.parts().map(i128::from))
    }
}
