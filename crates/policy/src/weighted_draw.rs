//! Weighted random choice.

/// Returns the index that `random`, from 0 to 1, selects in proportion to the weights.
///
/// Weights that are negative or not finite count as zero; without any positive
/// weight the result is `None`.
#[must_use]
pub fn weighted_draw(weights: impl IntoIterator<Item = f64> + Clone, random: f64) -> Option<usize> {
    let usable = |weight: f64| if weight.is_finite() && weight > 0.0 { weight } else { 0.0 };
    let total: f64 = weights.clone().into_iter().map(usable).sum();
    let mut left = random * total;
    let mut last = None;
    for (at, weight) in weights.into_iter().map(usable).enumerate() {
        if weight > 0.0 {
            last = Some(at);
            left -= weight;
            if left < 0.0 {
                break;
            }
        }
    }
    last
}
