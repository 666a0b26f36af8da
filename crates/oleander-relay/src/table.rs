//! Route lookup by host and path.

use std::{collections::HashMap, sync::Arc};

use crate::route::Route;

/// All routes of one version of the configuration, found by host and longest matching prefix.
///
/// A lookup costs one hash per slash in the path, independent of the number of routes.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    /// Version of the configuration.
    pub version: u64,
    hosts: HashMap<String, HashMap<String, Arc<Route>>>,
}

impl RouteTable {
    /// Builds a table of `routes`.
    #[must_use]
    pub fn new(version: u64, routes: Vec<Route>) -> Self {
        let mut hosts: HashMap<String, HashMap<String, Arc<Route>>> = HashMap::new();
        for route in routes {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().insert(route.prefix.clone(), Arc::new(route));
        }
        Self { version, hosts }
    }

    /// Finds the route with the longest prefix of `path`, which may include a query.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(host).or_else(|| self.hosts.get(&host.to_ascii_lowercase()))?;
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.into_iter().find_map(|end| routes.get(&path[..end]))
    }
}
