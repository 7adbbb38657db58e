//! The services of a configuration as the router sees them.

use parsleywalk_catalog::Catalog;
use parsleywalk_routing::ServiceRoute;

/// The services as the router sees them. A dependency of a latency-critical service is routed as latency-critical.
pub(crate) fn service_routes(catalog: &Catalog) -> Vec<ServiceRoute> {
    let routes = catalog.services.iter().map(|service| ServiceRoute {
        service: service.name.clone(),
        class: catalog.effective_class(&service.name).unwrap_or(service.class),
        repeatable: service.repeatable,
        deadline: service.deadline.as_duration(),
        depends_on: service.depends_on.clone(),
        slots_limit: service.slots.min(service.connections),
    });
    routes.collect()
}
