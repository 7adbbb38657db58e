//! Small numbers that the state assigns, which keep commands and records compact.

use parsleywalk_units::number_type;

number_type! {
    /// Identifies one registration of a worker, that is a worker id with an incarnation.
    ///
    /// No number is used twice, so a command that names an ended registration is refused although it does not
    /// contain the id and the incarnation.
    WorkerNumber(u32)
}

number_type! {
    /// Identifies a job by its position in the order of submission.
    JobNumber(u32)
}
