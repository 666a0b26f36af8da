//! Decides which requests are kept away from targets because they crash them.
//!
//! When a target crashes, the requests that had no output from it yet are suspects. A request is
//! known by its parts: those of its prompt that other requests may share, and its whole content,
//! so that a request that comes again and a part that many requests share are one case. A part is
//! cleared of a crash as soon as any target sends output for a request with that part, since the
//! part may turn bad at any time and older responses prove nothing.
//!
//! Parts that were suspects of several crashes one after the other, without being cleared, are
//! blocked: [`Quarantine::standing`] says that requests with all of them must not be sent. Until
//! then, requests with a suspected part all go to the same target, so that several of them end one
//! target and not several. Crashes at the same moment count once, since a common cause, such as the
//! loss of a rack, ends many targets at once.
//!
//! Hosts exchange [`QuarantineNews`]. What they know of a crash or a block only grows, so the order
//! of messages, losses and repeats do not matter, and no clock of another host is read.

mod block;
mod crash;
mod news;
mod parts;
mod quarantine;

pub use crash::LastCrash;
pub use news::{BlockNews, CrashNews, QuarantineNews};
pub use parts::{PartSet, RequestParts, TargetRun};
pub use quarantine::{Quarantine, Standing};
