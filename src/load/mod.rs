//! What an agent measures of the work that its target does.

mod work;

pub use work::{Mark, WorkEstimate, relative_load};
