//! The clocks of holders, as their voters hear them.

use std::collections::BTreeMap;
use std::time::Duration;

use model::ids;

model::quantity! {
    /// Time since the process of a holder started, in milliseconds, by its own clock. The clock
    /// counts the time for which the machine is suspended.
    HolderTime, u64, 0, u64::MAX, "milliseconds"
}

impl HolderTime {
    /// The time after a duration since the start; parts of a millisecond are cut off.
    pub fn since_start(duration: Duration) -> Self {
        Self::new(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }

    /// This time and a duration.
    #[must_use]
    pub fn saturating_add(self, duration: Duration) -> Self {
        Self::new(self.get().saturating_add(Self::since_start(duration).get()))
    }
}

/// How much lower a stated time is at least if it is that of another process under the same name.
/// Replies that overtake each other differ by less, since they are dropped after a time-out.
const RESTART_GAP: Duration = Duration::from_secs(1);

/// The last time that a node heard from each holder. A vote returns it to the holder, which
/// learns from it that the vote was cast after that time, however long it took to arrive.
#[derive(Debug, Default)]
pub struct HolderTimes {
    times: BTreeMap<ids::NodeId, HolderTime>,
}

impl HolderTimes {
    /// Records the time that a holder stated; returns whether it is the first one of its process.
    ///
    /// A process that restarts under the same name states lower times. Votes that return the
    /// former ones would not count until it has run for as long as its predecessor; votes that
    /// return lower ones only count for a shorter time.
    pub fn hear(&mut self, holder: &ids::NodeId, time: HolderTime) -> bool {
        let heard = self.times.get_mut(holder);
        let is_first = heard
            .as_ref()
            .is_none_or(|heard| time.saturating_add(RESTART_GAP) < **heard);
        match heard {
            Some(heard) if !is_first => *heard = time.max(*heard),
            Some(heard) => *heard = time,
            None => drop(self.times.insert(holder.clone(), time)),
        }
        is_first
    }

    /// The last time of a holder; `None` before it stated one.
    pub fn last(&self, holder: &ids::NodeId) -> Option<HolderTime> {
        self.times.get(holder).copied()
    }

    /// Forgets the holders that are not among these.
    pub fn retain(&mut self, is_kept: impl Fn(&ids::NodeId) -> bool) {
        self.times.retain(|holder, _| is_kept(holder));
    }
}
