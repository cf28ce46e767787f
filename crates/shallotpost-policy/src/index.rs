//! Segment tree over resource amounts that finds the first position whose amounts are all within a bound.

/// One value for each resource.
pub(crate) type Amounts = [u64; 4];

/// Value of an empty position.
pub(crate) const ABSENT: Amounts = [u64::MAX; 4];

/// Amounts by position. Each inner node holds the minimum of its children, by resource.
///
/// An empty position matches a bound of `u64::MAX` in every resource, so callers check the result.
#[derive(Clone, Debug)]
pub(crate) struct Index {
    width: usize,
    nodes: Vec<Amounts>,
}

impl Default for Index {
    fn default() -> Index {
        Index { width: 1, nodes: vec![ABSENT; 2] }
    }
}

impl Index {
    /// Returns the amounts of a position, or `ABSENT` past the end.
    pub(crate) fn get(&self, position: usize) -> Amounts {
        if position < self.width { self.nodes[self.width + position] } else { ABSENT }
    }

    /// Returns the minimum over all positions, by resource.
    pub(crate) fn root(&self) -> &Amounts {
        &self.nodes[1]
    }

    /// Sets the amounts of a position, and grows the tree if necessary. Updates inner nodes only until one is
    /// unchanged.
    pub(crate) fn set(&mut self, position: usize, value: Amounts) {
        if position >= self.width {
            self.grow(position + 1);
        }
        let mut node = self.width + position;
        if self.nodes[node] == value {
            return;
        }
        self.nodes[node] = value;
        while node > 1 {
            node /= 2;
            let lowest = minimum(&self.nodes[2 * node], &self.nodes[2 * node + 1]);
            if self.nodes[node] == lowest {
                return;
            }
            self.nodes[node] = lowest;
        }
    }

    /// Returns the first position at or after `from` whose amounts are all at most those of `bound`.
    pub(crate) fn first(&self, from: usize, bound: &Amounts) -> Option<usize> {
        self.search(1, 0, self.width, from, bound)
    }

    fn search(
        &self,
        node: usize,
        low: usize,
        width: usize,
        from: usize,
        bound: &Amounts,
    ) -> Option<usize> {
        if low + width <= from || !within(&self.nodes[node], bound) {
            return None;
        }
        if width == 1 {
            return Some(low);
        }
        let half = width / 2;
        self.search(2 * node, low, half, from, bound)
            .or_else(|| self.search(2 * node + 1, low + half, half, from, bound))
    }

    fn grow(&mut self, needed: usize) {
        let leaves: Vec<Amounts> = self.nodes[self.width..].to_vec();
        self.width = needed.next_power_of_two();
        self.nodes = vec![ABSENT; 2 * self.width];
        self.nodes[self.width..self.width + leaves.len()].copy_from_slice(&leaves);
        for node in (1..self.width).rev() {
            self.nodes[node] = minimum(&self.nodes[2 * node], &self.nodes[2 * node + 1]);
        }
    }
}

fn minimum(left: &Amounts, right: &Amounts) -> Amounts {
    std::array::from_fn(|index| left[index].min(right[index]))
}

fn within(value: &Amounts, bound: &Amounts) -> bool {
    value.iter().zip(bound).all(|(value, bound)| value <= bound)
}
