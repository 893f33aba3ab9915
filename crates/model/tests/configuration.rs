//! The configuration splits into chunks and comes together again.

use std::sync::Arc;

use gooseberrydyke_model::config::{
    Chunk, ChunkCache, FleetConfig, RetryRule, Route, RouteOptions, Service, Workspace,
};
use gooseberrydyke_model::sizes::{Generation, SlotCount};

fn sample(services: usize, routes: usize, workspaces: usize) -> FleetConfig {
    let mut config = FleetConfig {
        generation: Generation::new(3),
        ..FleetConfig::empty()
    };
    for number in 0..services {
        let id = format!("service-{number}").parse().unwrap();
        config.services.insert(
            format!("service-{number}").parse().unwrap(),
            Arc::new(Service::new(id, SlotCount::new(2))),
        );
    }
    for number in 0..routes {
        let route = Route {
            id: format!("route-{number}").parse().unwrap(),
            host: None,
            prefix: format!("/r{number}").into(),
            methods: Vec::new(),
            service: format!("service-{}", number % services).parse().unwrap(),
            retry_rule: RetryRule::SafeMethods,
            options: RouteOptions::default(),
        };
        config.routes.insert(route.id.clone(), Arc::new(route));
    }
    for number in 0..workspaces {
        let id = format!("space-{number}");
        let space = Workspace {
            id: id.parse().unwrap(),
            limit: None,
        };
        config.workspaces.insert(id.parse().unwrap(), space);
    }
    config
}

fn cache_of(config: &FleetConfig) -> ChunkCache {
    let mut cache = ChunkCache::default();
    for piece in config.split().1 {
        let chunk = Chunk::decode(&piece.hash, &piece.bytes).unwrap();
        cache.insert(piece.hash, chunk);
    }
    cache
}

#[test]
fn a_configuration_comes_back_from_its_chunks() {
    let config = sample(20, 300, 500);
    let (root, _) = config.split();
    assert_eq!(
        FleetConfig::assemble(&root, &cache_of(&config)).unwrap(),
        config
    );
}

#[test]
fn a_change_of_one_service_moves_one_chunk() {
    let before = sample(20, 300, 500);
    let mut after = before.clone();
    let id = "service-7".parse().unwrap();
    Arc::make_mut(after.services.get_mut(&id).unwrap()).floor = SlotCount::new(9);
    let (root, _) = after.split();
    assert_eq!(cache_of(&before).missing(&root).len(), 1);
}

#[test]
fn a_missing_chunk_is_named() {
    let config = sample(3, 3, 3);
    let (root, _) = config.split();
    let wanted = root.services.values().next().unwrap().clone();
    assert_eq!(
        FleetConfig::assemble(&root, &ChunkCache::default()),
        Err(wanted)
    );
}

#[test]
fn damaged_bytes_are_no_chunk() {
    let (_, pieces) = sample(1, 0, 0).split();
    let mut bytes = pieces[0].bytes.to_vec();
    bytes[0] ^= 1;
    assert!(Chunk::decode(&pieces[0].hash, &bytes).is_err());
}

#[test]
fn every_object_of_the_largest_configuration_fits_the_platform() {
    let (root, pieces) = sample(500, 6_500, 49_000).split();
    let largest = pieces.iter().map(|piece| piece.bytes.len()).max().unwrap();
    assert!(largest < 1_048_576, "{largest}");
    assert!(serde_json::to_vec(&root).unwrap().len() < 1_048_576);
}
