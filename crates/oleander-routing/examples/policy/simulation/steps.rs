//! Steps of the engines, and the way of their output to the hosts and callers.

use oleander_core::Tokens;
use oleander_routing::{Class, Observation};

use super::{
    Simulation,
    state::{Call, Event, Work},
};
use crate::engine::StepOutput;

/// Number of tokens between two observations of a stream.
const TOKENS_PER_OUTPUT: u32 = 8;

impl Simulation {
    /// Starts a step of an idle engine.
    pub(super) fn start_step(&mut self, target: usize) {
        let engine = &mut self.engines[target];
        if engine.busy {
            return;
        }
        if let Some(took) = engine.start_step(&self.settings.engine) {
            self.schedule_after(took, Event::FinishStep { target });
        }
        let load = self.engines[target].load();
        self.outcome.max_at_engine = self.outcome.max_at_engine.max((load.0 + load.1) as usize);
    }

    /// Sends the output of a step to the hosts and starts the next one.
    pub(super) fn finish_step(&mut self, target: usize) {
        let outputs = self.engines[target].finish_step();
        for output in outputs {
            if self.is_measured() {
                match output.class {
                    Class::Online => self.outcome.online_tokens += 1,
                    Class::Batch => self.outcome.batch_tokens += 1,
                }
            }
            if output.first || output.done || output.produced % TOKENS_PER_OUTPUT == 0 {
                let Some(run) = self.runs.get(&output.run) else { continue };
                let host = self.hosts[run.host].zone;
                let delay = self.link_delay(host, target);
                self.schedule_after(delay, Event::Output { output });
            }
        }
        self.start_step(target);
    }

    /// Passes output to the router of the host that receives it.
    pub(super) fn observe_output(&mut self, output: StepOutput) {
        let Some(run) = self.runs.get_mut(&output.run) else { return };
        let (host, lease) = (run.host, run.lease);
        let tokens = Tokens(u64::from(output.produced.saturating_sub(run.observed)));
        run.observed = output.produced;
        let router = &mut self.hosts[host].router;
        if output.first {
            router.observe(self.now, lease, Observation::FirstOutput);
        } else {
            router.observe(self.now, lease, Observation::Output { tokens });
        }
        if let Work::Call(call) = run.work {
            self.record_latency(call, output);
        }
        if output.done {
            self.hosts[host].router.observe(self.now, lease, Observation::Done);
            self.runs.remove(&output.run);
            self.retry_waiting(host);
        }
    }

    /// Records the latency that the caller sees.
    fn record_latency(&mut self, call: usize, output: StepOutput) {
        if !self.is_measured() {
            return;
        }
        let Call { arrival, sent_at, .. } = self.calls[call];
        let took = (self.now + self.settings.caller_delay).since(sent_at).0;
        if output.first {
            self.outcome.first_token.saturating_record(took);
        }
        if output.done {
            self.outcome.response.saturating_record(took);
            self.outcome.completed_tokens += u64::from(arrival.length);
        }
    }
}
