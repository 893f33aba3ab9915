//! Which requests a connection may carry.

use std::collections::BTreeSet;

use gooseberrydyke_policy::exchange::CarriedIds;
use quickcheck::quickcheck;

quickcheck! {
    fn a_connection_carries_each_id_once(ids: Vec<Vec<u8>>) -> bool {
        let mut carried = CarriedIds::default();
        let mut before = BTreeSet::new();
        ids.into_iter().all(|id| {
            let admitted = carried.admits(&id);
            if admitted {
                carried.record(&id);
            }
            admitted == before.insert(id)
        })
    }
}

#[test]
fn a_connection_that_can_remember_no_more_ids_carries_no_more_requests() {
    let mut carried = CarriedIds::default();
    let count = (0_u64..100_000)
        .map(u64::to_le_bytes)
        .take_while(|id| {
            let admitted = carried.admits(id);
            carried.record(id);
            admitted
        })
        .count();
    assert!((100..1_000).contains(&count), "{count}");
}
