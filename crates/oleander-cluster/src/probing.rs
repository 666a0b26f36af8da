//! Runs the membership protocol: ticks, messages and their delivery.

use std::{sync::Arc, time::Duration};

use oleander_core::HostId;
use oleander_host::clock;
use oleander_link::LinkError;
use oleander_members::{MemberAction, MemberEvent, Message, MessageKind};
use tokio::time::{self, MissedTickBehavior};

use crate::{
    cluster::Cluster,
    message::{PeerRequest, PeerResponse},
};

/// Time between two ticks of the membership protocol.
const TICK_INTERVAL: Duration = Duration::from_millis(75);
/// Maximum wait for the response to a message; a later one misses the probe round.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(400);

impl Cluster {
    /// Probes other hosts; never returns.
    pub async fn run_probes(self: Arc<Self>) {
        let mut ticks = time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut announced = false;
        loop {
            ticks.tick().await;
            let now = clock::steady();
            let mut actions = self.members.lock().handle(now, MemberEvent::Tick);
            if self.is_leaving() && !announced {
                announced = true;
                actions.extend(self.members.lock().handle(now, MemberEvent::Leave));
            }
            self.execute(actions);
        }
    }

    /// Handles a message and returns the replies to its sender.
    pub(crate) fn handle_message(&self, peer: &HostId, message: Message) -> Vec<Message> {
        let event = MemberEvent::Received { from: peer.clone(), message };
        let actions = self.members.lock().handle(clock::steady(), event);
        self.apply_changes(&actions);
        let replies = actions.into_iter().filter_map(|action| match action {
            MemberAction::Send { to, message } if to == *peer => Some(message),
            MemberAction::Send { to, message } => {
                log::debug!(to:% = to, kind:? = message.kind;
                    "message to another host was dropped");
                None
            }
            _ => None,
        });
        replies.collect()
    }

    pub(crate) fn execute(self: &Arc<Self>, actions: Vec<MemberAction>) {
        self.apply_changes(&actions);
        for action in actions {
            let MemberAction::Send { to, message } = action else { continue };
            let cluster = Arc::clone(self);
            tokio::spawn(async move { cluster.send(to, message).await });
        }
    }

    async fn send(self: Arc<Self>, to: HostId, message: Message) {
        let Some(address) = self.members.lock().address(&to) else { return };
        let is_probe = matches!(message.kind, MessageKind::Probe { .. });
        let request: PeerRequest<()> = PeerRequest::Member(message);
        let response = self.link.call(&address.to_string(), &request, MESSAGE_TIMEOUT).await;
        match response {
            Ok(PeerResponse::<()>::Member(messages)) => {
                for message in messages {
                    let event = MemberEvent::Received { from: to.clone(), message };
                    let actions = self.members.lock().handle(clock::steady(), event);
                    self.execute(actions);
                }
            }
            Ok(_) => log::warn!(host:% = to; "unexpected kind of response"),
            // The membership protocol detects a missing response of a running host by itself.
            Err(error) if is_probe => {
                log::debug!(host:% = to, error:% = error; "probe failed");
                let is_refused = matches!(error, LinkError::Refused(_));
                let event = MemberEvent::Unanswered { host: to, is_refused };
                let actions = self.members.lock().handle(clock::steady(), event);
                self.execute(actions);
            }
            Err(error) => log::debug!(host:% = to, error:% = error; "message was not delivered"),
        }
    }
}
