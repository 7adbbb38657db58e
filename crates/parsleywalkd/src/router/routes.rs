//! Conversion of a configuration's services to routes.

use parsleywalk_catalog::Catalog;
use parsleywalk_routing::ServiceRoute;

/// Returns a route for each service. A dependency of a latency-critical service is routed as latency-critical.
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
