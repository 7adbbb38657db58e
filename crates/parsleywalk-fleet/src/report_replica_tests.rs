//! Tests of the choice of the replica to which a worker reports.

use parsleywalk_batch::SortedMap;
use parsleywalk_units::{VmNumber, WorkerId, ZoneName};

use super::choose;

fn zones() -> SortedMap<VmNumber, ZoneName> {
    let mut zones = SortedMap::default();
    for (vm, zone) in [(1, "zone-a"), (2, "zone-b"), (3, "zone-b"), (4, "zone-c")] {
        zones.insert(VmNumber::new(vm), zone.parse().expect("a zone"));
    }
    zones
}

fn chosen(zone: &str, followers: &[u32]) -> Vec<u32> {
    let followers: Vec<VmNumber> = followers.iter().copied().map(VmNumber::new).collect();
    let workers = (0..20).map(|index| format!("worker-{index}").parse::<WorkerId>().expect("a name"));
    let chosen = workers.filter_map(|worker| choose(&worker, &zone.parse().expect("a zone"), &followers, &zones()));
    let mut chosen: Vec<u32> = chosen.map(VmNumber::get).collect();
    chosen.sort_unstable();
    chosen.dedup();
    chosen
}

#[test]
fn workers_report_within_their_zone() {
    assert_eq!(chosen("zone-a", &[1, 2, 3, 4]), [1]);
    assert_eq!(chosen("zone-b", &[1, 2, 3, 4]), [2, 3]);
}

/// Guards against workers without a replica while their zone's replica is away.
#[test]
fn workers_of_a_zone_without_followers_use_all_others() {
    assert_eq!(chosen("zone-a", &[2, 4]), [2, 4]);
    assert!(chosen("zone-a", &[]).is_empty());
}
