//! Signals that a relay collects for the nodes of its data centre.

use std::collections::BTreeSet;

use model::ids;

use super::signal::SuspicionSignal;

/// Signals in a batch; further ones are dropped, since suspicion decays within seconds.
const SIGNALS_MAX: usize = 4_096;

/// Where a signal was raised.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SignalSource {
    /// At a node of this data centre, which has applied it already.
    Local(ids::NodeId),
    /// In another data centre.
    Remote,
}

/// Signals that wait to be sent on, in the order of their arrival.
#[derive(Debug, Default)]
pub struct SignalBatch {
    signals: Vec<(SignalSource, SuspicionSignal)>,
}

impl SignalBatch {
    /// Adds the signals of one source. Returns how many did not fit.
    pub fn add(&mut self, source: &SignalSource, signals: Vec<SuspicionSignal>) -> usize {
        let room = SIGNALS_MAX.saturating_sub(self.signals.len());
        let dropped = signals.len().saturating_sub(room);
        let added = signals.into_iter().take(room);
        self.signals
            .extend(added.map(|signal| (source.clone(), signal)));
        dropped
    }

    /// Whether there is nothing to send.
    pub const fn is_empty(&self) -> bool {
        self.signals.is_empty()
    }

    /// The nodes of this data centre that raised signals of the batch. Each gets the signals of
    /// the others; all other nodes get the whole batch.
    pub fn local_sources(&self) -> BTreeSet<&ids::NodeId> {
        let sources = self.signals.iter();
        sources
            .filter_map(|(source, _)| match source {
                SignalSource::Local(node) => Some(node),
                SignalSource::Remote => None,
            })
            .collect()
    }

    /// The signals for a node of this data centre: all but its own.
    pub fn for_node(&self, node: &ids::NodeId) -> Vec<SuspicionSignal> {
        self.select(|source| !matches!(source, SignalSource::Local(from) if from == node))
    }

    /// The signals for the other data centres: those raised in this one.
    pub fn for_other_data_centres(&self) -> Vec<SuspicionSignal> {
        self.select(|source| *source != SignalSource::Remote)
    }

    /// All signals.
    pub fn all(&self) -> Vec<SuspicionSignal> {
        self.select(|_| true)
    }

    fn select(&self, accepts: impl Fn(&SignalSource) -> bool) -> Vec<SuspicionSignal> {
        let accepted = self.signals.iter().filter(|(source, _)| accepts(source));
        accepted.map(|(_, signal)| signal.clone()).collect()
    }
}
