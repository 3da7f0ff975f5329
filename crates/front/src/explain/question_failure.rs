//! The answer to a question that cannot be explained.

use egret_model::record;

record! {
    /// The answer to a question that cannot be explained. As JSON, it cannot be mistaken for the text of another listener.
    pub struct QuestionFailure {
        /// Why, with the remedy.
        pub error: String,
    }
}
