//! Two machines run, and two are added while the first one stands still.

use std::thread;
use std::time::Duration;

use crate::parts::{Machine, Platform, Record, Store};

/// How long the first machine stands still.
const FREEZE: f64 = 4.0;

/// Starts the machines. The first one is the one that stands still; the last two are added
/// meanwhile, with the first one and themselves as seeds.
pub fn start(record: &Record, store: &Store, trouble: bool) -> (Platform, [Machine; 4]) {
    let mut platform = Platform::new(store.address, &[1, 2]);
    let old = [1, 2].map(|number| platform.start(number, "mcallen", true));
    old.iter().for_each(Machine::wait_ready);
    thread::sleep(Duration::from_secs(4));
    let [frozen, first] = old;
    if trouble {
        record.say(&format!("{} stands still for {FREEZE} s.", frozen.name));
        frozen.signal("-STOP");
        thread::sleep(Duration::from_millis(500));
    }
    record.say("Two machines are added. Their seeds are the first machine and themselves.");
    platform.seeds = vec![1, 3, 4];
    // The site allows one more machine in each zone.
    let added = [(3, "harlingen"), (4, "weslaco")];
    let added = added.map(|(number, zone)| platform.start(number, zone, false));
    added.iter().for_each(Machine::wait_ready);
    thread::sleep(Duration::from_secs_f64(FREEZE - 0.5));
    if trouble {
        frozen.signal("-CONT");
        record.say(&format!("{} goes on.", frozen.name));
    }
    let [second, third] = added;
    (platform, [frozen, first, second, third])
}
