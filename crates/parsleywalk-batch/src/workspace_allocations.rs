//! The resources allocated to the placed runs of each workspace.

use parsleywalk_units::{AcceleratorCount, MemoryBytes, MilliCores, ResourceSize, WorkspaceName};

use crate::SortedMap;

/// A sum of sizes that is exact, so that removing a size restores the sum before it was added. The sum in a
/// `ResourceSize` could overflow, because callers choose the sizes of tasks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct SizeTotal {
    runs: u64,
    millicores: u64,
    memory_bytes: u128,
    accelerators: u64,
}

impl SizeTotal {
    fn add(&mut self, size: &ResourceSize) {
        self.runs += 1;
        self.millicores += u64::from(size.cores.get());
        self.memory_bytes += u128::from(size.memory.get());
        self.accelerators += u64::from(size.accelerators.get());
    }

    fn subtract(&mut self, size: &ResourceSize) {
        self.runs -= 1;
        self.millicores -= u64::from(size.cores.get());
        self.memory_bytes -= u128::from(size.memory.get());
        self.accelerators -= u64::from(size.accelerators.get());
    }

    /// Returns the sum as a size. A component that it cannot hold is the highest one, which exceeds every limit.
    fn size(&self) -> ResourceSize {
        let cores = MilliCores::new(u32::try_from(self.millicores).unwrap_or(u32::MAX));
        let memory = MemoryBytes::new(u64::try_from(self.memory_bytes).unwrap_or(u64::MAX));
        let accelerators = u16::try_from(self.accelerators).unwrap_or(u16::MAX);
        ResourceSize::new(cores, memory).with_accelerators(AcceleratorCount::new(accelerators))
    }
}

/// The resources allocated to the placed runs of each workspace. Best-effort runs count with their cores.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct WorkspaceAllocations {
    /// The workspaces that have placed runs.
    totals: SortedMap<WorkspaceName, SizeTotal>,
}

impl WorkspaceAllocations {
    /// Adds a run that has been placed. A run of a job without a workspace changes nothing.
    pub(crate) fn charge(&mut self, workspace: Option<&WorkspaceName>, size: &ResourceSize) {
        if let Some(workspace) = workspace {
            self.totals.entry(workspace.clone(), SizeTotal::default).add(size);
        }
    }

    /// Removes a run that was added with the same workspace and size.
    pub(crate) fn refund(&mut self, workspace: Option<&WorkspaceName>, size: &ResourceSize) {
        let Some(workspace) = workspace else { return };
        let Some(total) = self.totals.get_mut(workspace) else { return };
        total.subtract(size);
        if total.runs == 0 {
            self.totals.remove(workspace);
        }
    }

    /// Returns the resources allocated to a workspace.
    pub(crate) fn allocated(&self, workspace: &WorkspaceName) -> ResourceSize {
        self.totals.get(workspace).map_or_else(ResourceSize::default, SizeTotal::size)
    }
}
