//! The dependency graph of the services.

use parsleywalk_units::ServiceName;

/// A graph of services, which are identified by their index.
#[derive(Debug)]
pub(crate) struct DependencyGraph {
    /// For each service, the services that it depends on.
    edges: Vec<Vec<usize>>,
}

/// A start order of the services, and the cycles that make one impossible.
#[derive(Debug, Default)]
pub(crate) struct GraphOrder {
    /// All services, each after its dependencies unless they form a cycle.
    pub(crate) order: Vec<usize>,
    /// Each cycle from its first service to the service that depends on the first, which is not repeated.
    pub(crate) cycles: Vec<Vec<usize>>,
}

impl DependencyGraph {
    /// Builds the graph of services that are sorted by name. Unknown dependencies are left out.
    pub(crate) fn new<'a, T>(
        services: &'a [T],
        name: impl Fn(&'a T) -> &'a ServiceName,
        depends_on: impl Fn(&'a T) -> Vec<&'a ServiceName>,
    ) -> Self {
        let index_of = |wanted| services.binary_search_by_key(&wanted, &name).ok();
        let edges = services.iter().map(|service| depends_on(service).into_iter().filter_map(index_of).collect());
        Self { edges: edges.collect() }
    }

    /// Sorts the services topologically by depth-first search. The search uses an explicit stack, because a chain of
    /// thousands of services would overflow the call stack.
    pub(crate) fn order(&self) -> GraphOrder {
        let mut result = GraphOrder::default();
        let mut state = vec![VisitState::Unvisited; self.edges.len()];
        for root in 0..self.edges.len() {
            if state[root] == VisitState::Unvisited {
                self.visit(root, &mut state, &mut result);
            }
        }
        result
    }

    /// Visits `root` and the services that it depends on, directly or transitively.
    fn visit(&self, root: usize, state: &mut [VisitState], result: &mut GraphOrder) {
        let mut path = vec![(root, 0)];
        state[root] = VisitState::OnPath;
        while let Some((service, next_edge)) = path.last_mut() {
            let Some(&dependency) = self.edges[*service].get(*next_edge) else {
                state[*service] = VisitState::Finished;
                result.order.push(*service);
                path.pop();
                continue;
            };
            *next_edge += 1;
            match state[dependency] {
                VisitState::Unvisited => {
                    state[dependency] = VisitState::OnPath;
                    path.push((dependency, 0));
                }
                VisitState::OnPath => {
                    let start = path.iter().position(|(service, _)| *service == dependency).unwrap_or(0);
                    result.cycles.push(path[start..].iter().map(|(service, _)| *service).collect());
                }
                VisitState::Finished => {}
            }
        }
    }

    /// Marks all services that the marked ones depend on, directly or transitively.
    pub(crate) fn mark_dependencies(&self, marked: &mut [bool]) {
        let mut pending: Vec<usize> = (0..marked.len()).filter(|service| marked[*service]).collect();
        while let Some(service) = pending.pop() {
            for &dependency in &self.edges[service] {
                if !marked[dependency] {
                    marked[dependency] = true;
                    pending.push(dependency);
                }
            }
        }
    }
}

/// The state of a service in the depth-first search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum VisitState {
    Unvisited,
    OnPath,
    Finished,
}
