//! Splitting the configuration into chunks and assembling it again.

use std::sync::Arc;

use gooseberrydyke_model::config::{
    Chunk, ChunkCache, FleetConfig, RetryRule, Route, RouteOptions, Service, Workspace,
};
use gooseberrydyke_model::sizes::{Generation, SlotCount};

fn sample_config(services: usize, routes: usize, workspaces: usize) -> FleetConfig {
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
            service: Some(format!("service-{}", number % services).parse().unwrap()),
            retry_rule: RetryRule::SafeMethods,
            options: RouteOptions::default(),
        };
        config.routes.insert(route.id.clone(), Arc::new(route));
    }
    for number in 0..workspaces {
        let id = format!("space-{number}");
        let workspace = Workspace {
            id: id.parse().unwrap(),
            limit: None,
        };
        config.workspaces.insert(id.parse().unwrap(), workspace);
    }
    config
}

fn cache_chunks(config: &FleetConfig) -> ChunkCache {
    let mut cache = ChunkCache::default();
    for encoded in config.split().1 {
        let chunk = Chunk::decode(&encoded.hash, &encoded.bytes).unwrap();
        cache.insert(encoded.hash, chunk);
    }
    cache
}

#[test]
fn a_configuration_is_assembled_from_its_chunks() {
    let config = sample_config(20, 300, 500);
    let (root, _) = config.split();
    assert_eq!(
        FleetConfig::assemble(&root, &cache_chunks(&config)).unwrap(),
        config
    );
}

#[test]
fn a_change_of_one_service_changes_one_chunk() {
    let before = sample_config(20, 300, 500);
    let mut after = before.clone();
    let id = "service-7".parse().unwrap();
    Arc::make_mut(after.services.get_mut(&id).unwrap()).floor = SlotCount::new(9);
    let (root, _) = after.split();
    assert_eq!(cache_chunks(&before).missing(&root).len(), 1);
}

#[test]
fn assembling_reports_the_missing_chunk() {
    let config = sample_config(3, 3, 3);
    let (root, _) = config.split();
    let missing = root.services.values().next().unwrap().clone();
    assert_eq!(
        FleetConfig::assemble(&root, &ChunkCache::default()),
        Err(missing)
    );
}

#[test]
fn corrupt_chunks_are_rejected() {
    let (_, chunks) = sample_config(1, 0, 0).split();
    let mut bytes = chunks[0].bytes.to_vec();
    bytes[0] ^= 1;
    assert!(Chunk::decode(&chunks[0].hash, &bytes).is_err());
}

#[test]
fn every_object_of_the_largest_configuration_is_below_the_platforms_size_limit() {
    let (root, chunks) = sample_config(500, 6_500, 49_000).split();
    let largest = chunks.iter().map(|chunk| chunk.bytes.len()).max().unwrap();
    assert!(largest < 1_048_576, "the largest chunk has {largest} bytes");
    let root_size = serde_json::to_vec(&root).unwrap().len();
    assert!(root_size < 1_048_576, "the root has {root_size} bytes");
}
