//! Small numbers that the state assigns, so that commands and records stay compact.

use parsleywalk_units::number_type;

number_type! {
    /// One registration of a worker: a worker id together with an incarnation.
    ///
    /// Every registration gets a number of its own and no number is used twice, so a command that names an earlier
    /// registration is recognized without carrying the id and the incarnation.
    WorkerNumber(u32)
}

number_type! {
    /// The position of a job in the order of submissions.
    JobNumber(u32)
}
