//! Tests of the messages on the documentation pages.

use std::fs;
use std::path::Path;

use parsleywalk_api::{
    AnnounceReply, AnnounceRequest, ConfigurationApply, ConfigurationView, JobExplanation, JobResult, JobStatus,
    JobSubmission, OperationReply, Refusal, ReplicaCommand, SystemStatus, WorkerReply, WorkerReport, WorkspaceList,
    ZoneCommand,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Checks that decoding a message into its type and encoding it again yields the same message.
fn check<T: DeserializeOwned + Serialize>(name: &str, text: &str) {
    let message: T = serde_json::from_str(text).unwrap_or_else(|error| panic!("{name}: {error}\n{text}"));
    let expected: Value = serde_json::from_str(text).unwrap();
    assert_eq!(serde_json::to_value(&message).unwrap(), expected, "{name}");
}

/// Guards against documented messages that the daemon would refuse.
#[test]
fn every_message_of_the_interface_page_is_of_its_type() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/API.md");
    let page = fs::read_to_string(path).unwrap();
    let mut count = 0;
    for (before, after) in page.match_indices("```json\n").map(|(index, fence)| page.split_at(index + fence.len())) {
        let name = before.rsplit('`').find(|part| part.starts_with(char::is_uppercase)).unwrap();
        let text = after.split("```").next().unwrap();
        count += 1;
        match name {
            "Refusal" => check::<Refusal>(name, text),
            "JobSubmission" => check::<JobSubmission>(name, text),
            "JobStatus" => check::<JobStatus>(name, text),
            "JobResult" => check::<JobResult>(name, text),
            "AnnounceRequest" => check::<AnnounceRequest>(name, text),
            "AnnounceReply" => check::<AnnounceReply>(name, text),
            "WorkerReport" => check::<WorkerReport>(name, text),
            "WorkerReply" => check::<WorkerReply>(name, text),
            "ConfigurationApply" => check::<ConfigurationApply>(name, text),
            "ConfigurationView" => check::<ConfigurationView>(name, text),
            "ZoneCommand" => check::<ZoneCommand>(name, text),
            "ReplicaCommand" => check::<ReplicaCommand>(name, text),
            "OperationReply" => check::<OperationReply>(name, text),
            "SystemStatus" => check::<SystemStatus>(name, text),
            "JobExplanation" => check::<JobExplanation>(name, text),
            "WorkspaceList" => check::<WorkspaceList>(name, text),
            other => panic!("no type for the message {other}"),
        }
    }
    assert_eq!(count, 18, "messages on the page");
}
