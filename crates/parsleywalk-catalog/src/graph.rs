//! Dependencies between services.

use parsleywalk_units::ServiceName;

/// Services by index with the indices of the services that each depends on.
#[derive(Debug)]
pub(crate) struct DependencyGraph {
    edges: Vec<Vec<usize>>,
}

/// The order in which services can start, and the cycles that prevent one.
#[derive(Debug, Default)]
pub(crate) struct GraphOrder {
    /// Dependencies first.
    pub(crate) order: Vec<usize>,
    /// Each cycle from its first service to the service that closes it, without repeating the first.
    pub(crate) cycles: Vec<Vec<usize>>,
}

impl DependencyGraph {
    /// Builds the graph of services that are sorted by name; unknown dependencies are left out.
    pub(crate) fn of<'a, T>(
        services: &'a [T],
        name: impl Fn(&'a T) -> &'a ServiceName,
        depends_on: impl Fn(&'a T) -> Vec<&'a ServiceName>,
    ) -> Self {
        let place = |wanted| services.binary_search_by_key(&wanted, &name).ok();
        let edges = services.iter().map(|service| depends_on(service).into_iter().filter_map(place).collect());
        Self { edges: edges.collect() }
    }

    /// Visits every service depth first. It keeps its own stack, since a text may chain thousands of services.
    pub(crate) fn order(&self) -> GraphOrder {
        let mut found = GraphOrder::default();
        let mut state = vec![VisitState::New; self.edges.len()];
        for root in 0..self.edges.len() {
            if state[root] == VisitState::New {
                self.visit(root, &mut state, &mut found);
            }
        }
        found
    }

    fn visit(&self, root: usize, state: &mut [VisitState], found: &mut GraphOrder) {
        let mut path = vec![(root, 0)];
        state[root] = VisitState::OnPath;
        while let Some((place, next)) = path.last_mut() {
            let Some(&dependency) = self.edges[*place].get(*next) else {
                state[*place] = VisitState::Left;
                found.order.push(*place);
                path.pop();
                continue;
            };
            *next += 1;
            match state[dependency] {
                VisitState::New => {
                    state[dependency] = VisitState::OnPath;
                    path.push((dependency, 0));
                }
                VisitState::OnPath => {
                    let start = path.iter().position(|(place, _)| *place == dependency).unwrap_or(0);
                    found.cycles.push(path[start..].iter().map(|(place, _)| *place).collect());
                }
                VisitState::Left => {}
            }
        }
    }

    /// Marks everything that the marked services depend on, directly or not.
    pub(crate) fn mark_dependencies(&self, marked: &mut [bool]) {
        let mut waiting: Vec<usize> = (0..marked.len()).filter(|place| marked[*place]).collect();
        while let Some(place) = waiting.pop() {
            for &dependency in &self.edges[place] {
                if !marked[dependency] {
                    marked[dependency] = true;
                    waiting.push(dependency);
                }
            }
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum VisitState {
    New,
    OnPath,
    Left,
}
