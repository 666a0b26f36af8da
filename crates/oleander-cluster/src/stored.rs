//! Reads all that is stored below a prefix, once.

use oleander_core::Time;
use oleander_host::clock;
use oleander_platform::{FollowEvent, Follower, Object, ObjectStore, PlatformError, SHORT_WAIT};

/// All objects below a prefix.
pub(crate) struct Stored {
    pub(crate) objects: Vec<(String, Object)>,
    /// No object was read before this time.
    pub(crate) since: Time,
}

/// Reads all objects below `prefix`; repeats what fails, and keeps the pages that it has read.
pub(crate) async fn read_all<S: ObjectStore>(
    store: &S,
    prefix: &str,
    log_failure: impl Fn(&PlatformError),
) -> Stored {
    let mut follow = Follower::new(store.clone(), prefix, SHORT_WAIT);
    let start = clock::now();
    loop {
        let call = clock::now();
        match follow.next().await {
            FollowEvent::Snapshot(objects) => {
                let since = if follow.is_current() { call } else { start };
                return Stored { objects, since };
            }
            FollowEvent::Changes(_) => {}
            FollowEvent::Failed(error) => log_failure(&error),
        }
    }
}
