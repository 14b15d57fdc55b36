//! Admission of requests to a service at one entry.

mod queue;
mod rates;
mod request;
mod return_times;

pub use queue::AdmissionQueue;
pub use request::{
    AdmissionDecision, AdmissionInputs, AdmissionRequest, ServiceRoom, Ticket, Verdict,
};
