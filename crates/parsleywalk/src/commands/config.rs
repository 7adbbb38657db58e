//! `config`: shows the configuration in force.

use parsleywalk_api::ConfigurationView;

use crate::arguments::ConnectionArguments;
use crate::daemon_client::DaemonClient;
use crate::error::Result;
use crate::report::{CommandReport, ExitStatus};

pub(crate) fn run(connection: &ConnectionArguments) -> Result<CommandReport> {
    let view: ConfigurationView = DaemonClient::operator(connection)?.query("/v1/configuration".to_owned())?;
    // The first line is a YAML comment, so that the output can be edited and applied.
    let text = format!(
        "# version {} in force, put there by operation {}, sha256 {}\n{}",
        view.version, view.operation, view.digest, view.text
    );
    CommandReport::new(text, &view, ExitStatus::Success)
}
