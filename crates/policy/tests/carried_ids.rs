//! Which requests a connection may carry.

use std::collections::BTreeSet;

use gooseberrydyke_policy::exchange::{CarriedId, CarriedIds};
use quickcheck::quickcheck;

quickcheck! {
    fn a_connection_carries_each_id_once(ids: Vec<Vec<u8>>) -> bool {
        let mut carried = CarriedIds::default();
        let mut before = BTreeSet::new();
        ids.into_iter().all(|id| {
            let carried_id = CarriedId::of_bytes(&id);
            let admitted = carried.admits(carried_id);
            if admitted {
                carried.record(carried_id);
            }
            admitted == before.insert(id)
        })
    }
}

#[test]
fn a_connection_that_can_remember_no_more_ids_carries_no_more_requests() {
    let mut carried = CarriedIds::default();
    let mut count = 0;
    while !carried.is_full() {
        let id = CarriedId::of_bytes(&u64::to_le_bytes(count));
        assert!(carried.admits(id));
        carried.record(id);
        count += 1;
    }
    assert_eq!(count, 512);
    assert!(!carried.admits(CarriedId::of_bytes(b"another")));
}
