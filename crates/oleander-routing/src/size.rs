//! The running mean of the sizes of requests.

/// A new size enters the mean with the inverse of this as its weight.
const WEIGHT_DIVISOR: u64 = 32;

/// Running mean of the sizes of requests, in output tokens.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct MeanSize {
    /// The mean times [`WEIGHT_DIVISOR`].
    sum: u64,
}

impl MeanSize {
    /// Adds the size of a request, if known.
    pub(crate) fn record(&mut self, size: Option<u32>) {
        let Some(size) = size else { return };
        self.sum = self.sum - self.sum / WEIGHT_DIVISOR + u64::from(size);
    }

    /// Whether a size is not below the mean; one that is not known is taken for the mean.
    pub(crate) fn is_reached_by(&self, size: Option<u32>) -> bool {
        size.is_none_or(|size| u64::from(size) >= self.sum / WEIGHT_DIVISOR)
    }
}
