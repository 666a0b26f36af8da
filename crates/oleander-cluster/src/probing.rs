//! Carries out what membership asks for.

use std::{sync::Arc, time::Duration};

use oleander_core::HostId;
use oleander_host::clock;
use oleander_members::{MemberAction, MemberEvent, Message, MessageKind};
use tokio::time::{self, MissedTickBehavior};

use crate::{
    cluster::Cluster,
    message::{PeerRequest, PeerResponse},
};

/// Time between two ticks of membership.
const TICK: Duration = Duration::from_millis(75);
/// Longest wait for the answer to a probe; it is of no use after the round.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

impl Cluster {
    /// Probes other hosts; never ends.
    pub async fn run_probes(self: Arc<Self>) {
        let mut ticks = time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut told = false;
        loop {
            ticks.tick().await;
            let now = clock::steady();
            let mut actions = self.members.lock().handle(now, MemberEvent::Tick);
            if self.is_leaving() && !told {
                told = true;
                actions.extend(self.members.lock().handle(now, MemberEvent::Leave));
            }
            self.carry_out(actions);
        }
    }

    /// Takes a message and returns what is to be answered to its sender.
    pub(crate) fn hear(&self, peer: &HostId, message: Message) -> Vec<Message> {
        let event = MemberEvent::Received { from: peer.clone(), message };
        let actions = self.members.lock().handle(clock::steady(), event);
        self.note(&actions);
        let answers = actions.into_iter().filter_map(|action| match action {
            MemberAction::Send { to, message } if to == *peer => Some(message),
            MemberAction::Send { to, message } => {
                log::debug!(to:% = to, kind:? = message.kind; "message waits for the next round");
                None
            }
            _ => None,
        });
        answers.collect()
    }

    fn carry_out(self: &Arc<Self>, actions: Vec<MemberAction>) {
        self.note(&actions);
        for action in actions {
            let MemberAction::Send { to, message } = action else { continue };
            let cluster = Arc::clone(self);
            tokio::spawn(async move { cluster.send(to, message).await });
        }
    }

    async fn send(self: Arc<Self>, to: HostId, message: Message) {
        let Some(address) = self.members.lock().address(&to) else { return };
        let is_probe = matches!(message.kind, MessageKind::Probe { .. });
        let call: PeerRequest<()> = PeerRequest::Member(message);
        let answer = self.link.call(&address.to_string(), &call, PROBE_TIMEOUT).await;
        match answer {
            Ok(PeerResponse::<()>::Member(messages)) => {
                for message in messages {
                    let event = MemberEvent::Received { from: to.clone(), message };
                    let actions = self.members.lock().handle(clock::steady(), event);
                    self.carry_out(actions);
                }
            }
            Ok(_) => log::warn!(host:% = to; "answer to another kind of call"),
            // Membership notices a missing answer by itself.
            Err(error) if is_probe => log::debug!(host:% = to, error:% = error; "probe failed"),
            Err(error) => log::debug!(host:% = to, error:% = error; "message was not delivered"),
        }
    }
}
