//! Admission of requests to a service at one entry.

mod queue;
mod rates;
mod return_times;

pub use queue::{
    AdmissionDecision, AdmissionInputs, AdmissionQueue, AdmissionRequest, ServiceRoom, Ticket,
    Verdict,
};
