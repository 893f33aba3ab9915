//! The memory that bodies take. Whatever holds a part of a body charges it to the budget of the
//! process, and releases the charge when it is dropped.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use model::sizes::HeldBytes;
use policy::memory::{MemoryBounds, MemoryLevel};
use telemetry::metrics::NodeMetrics;
use tokio::time::{self, MissedTickBehavior};

/// How often the level is logged if it has changed.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// A handle to the budget of the process. The default one has no bounds.
#[derive(Debug, Clone, Default)]
pub struct MemoryBudget(Arc<BudgetState>);

#[derive(Debug, Default)]
struct BudgetState {
    held: AtomicU64,
    bounds: Option<MemoryBounds>,
}

impl MemoryBudget {
    /// A budget with these bounds.
    pub fn new(bounds: Option<MemoryBounds>) -> Self {
        Self(Arc::new(BudgetState {
            held: AtomicU64::new(0),
            bounds,
        }))
    }

    /// Whether the process has bounds at all.
    pub fn is_bounded(&self) -> bool {
        self.0.bounds.is_some()
    }

    /// All that is charged now.
    pub fn held(&self) -> HeldBytes {
        HeldBytes::new(self.0.held.load(Ordering::Relaxed))
    }

    /// How short memory is now.
    pub fn level(&self) -> MemoryLevel {
        let bounds = self.0.bounds;
        bounds.map_or(MemoryLevel::Ample, |bounds| bounds.level(self.held()))
    }

    /// Charges bytes until the result is dropped.
    pub fn charge(&self, size: HeldBytes) -> MemoryCharge {
        let mut charge = MemoryCharge {
            budget: self.clone(),
            size: HeldBytes::default(),
        };
        charge.grow(size);
        charge
    }

    /// A copy of data that is charged until its last reference is dropped. What the HTTP library
    /// hands out may keep a larger buffer alive; a copy keeps only itself.
    pub fn copy(&self, data: &[u8]) -> Bytes {
        let charge = self.charge(HeldBytes::of(data));
        charge.attach(data.to_vec())
    }
}

/// Bytes that are charged to a budget until this is dropped.
#[derive(Debug)]
pub struct MemoryCharge {
    budget: MemoryBudget,
    size: HeldBytes,
}

impl MemoryCharge {
    /// Charges more bytes.
    pub fn grow(&mut self, size: HeldBytes) {
        self.budget.0.held.fetch_add(size.get(), Ordering::Relaxed);
        self.size = HeldBytes::new(self.size.get() + size.get());
    }

    /// Keeps the charge as long as the data is referenced anywhere.
    pub fn attach(self, data: Vec<u8>) -> Bytes {
        if data.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(ChargedData {
            data,
            _charge: self,
        })
    }
}

impl Drop for MemoryCharge {
    fn drop(&mut self) {
        let size = self.size.get();
        self.budget.0.held.fetch_sub(size, Ordering::Relaxed);
    }
}

struct ChargedData {
    data: Vec<u8>,
    _charge: MemoryCharge,
}

impl AsRef<[u8]> for ChargedData {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

/// Publishes what is held, and logs when a level is entered or left. Returns at once if the
/// budget has no bounds.
pub async fn watch(budget: MemoryBudget, metrics: Arc<NodeMetrics>) {
    let Some(bounds) = budget.0.bounds else {
        return;
    };
    let mut level = MemoryLevel::Ample;
    let mut ticks = time::interval(WATCH_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let held = budget.held();
        metrics.set_held_bytes(held.get());
        let next = bounds.next_level(level, held);
        if next == level {
            continue;
        }
        log::warn!(
            target: "memory",
            held_bytes = held.get(), from:% = level, to:% = next;
            "The memory for bodies is {next}."
        );
        level = next;
    }
}
