//! Generated from the JSON Schema; do not edit.
#![allow(missing_docs, dead_code, clippy::all)]

/// Error types.
pub mod error {
    /// Error from a `TryFrom` or `FromStr` implementation.
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
///Membership and configuration.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    ///Time after which a lease expires, in milliseconds
    #[serde(default = "defaults::default_u64::<u64, 10000>")]
    pub lease_ms: u64,
    ///Interval at which a poller reads the table, in milliseconds
    #[serde(default = "defaults::default_u64::<u64, 500>")]
    pub poll_ms: u64,
    ///Number of daemons in each availability zone that poll the table
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 2>")]
    pub pollers_per_zone: ::std::num::NonZeroU32,
    ///Time without a response after which a host counts as unreachable, in milliseconds
    #[serde(default = "defaults::default_u64::<u64, 3000>")]
    pub suspect_ms: u64,
    ///Interval at which a daemon synchronizes with random peers, in milliseconds
    #[serde(default = "defaults::default_u64::<u64, 1000>")]
    pub sync_ms: u64,
}
impl ::std::default::Default for Control {
    fn default() -> Self {
        Self {
            lease_ms: defaults::default_u64::<u64, 10000>(),
            poll_ms: defaults::default_u64::<u64, 500>(),
            pollers_per_zone: defaults::default_nzu64::<::std::num::NonZeroU32, 2>(),
            suspect_ms: defaults::default_u64::<u64, 3000>(),
            sync_ms: defaults::default_u64::<u64, 1000>(),
        }
    }
}
///One daemon process.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Daemon {
    ///IP address and port at which other daemons reach this one; defaults to `listen`
    #[serde(default)]
    pub advertise: ::std::string::String,
    ///Base URL of the backend server; hosts only
    #[serde(default)]
    pub backend_url: ::std::string::String,
    ///IP address and port to listen on for callers; entries only
    #[serde(default)]
    pub caller_listen: ::std::string::String,
    pub listen: rw_protocol::Name,
    pub operator_listen: rw_protocol::Name,
    ///Role of the daemon
    pub role: DaemonRole,
    ///Service that the backend server provides; hosts only
    #[serde(default)]
    pub service: ::std::string::String,
    pub zone: rw_protocol::Name,
}
///Role of the daemon
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum DaemonRole {
    #[serde(rename = "entry")]
    Entry,
    #[serde(rename = "host")]
    Host,
}
impl ::std::fmt::Display for DaemonRole {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Entry => f.write_str("entry"),
            Self::Host => f.write_str("host"),
        }
    }
}
impl ::std::str::FromStr for DaemonRole {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "entry" => Ok(Self::Entry),
            "host" => Ok(Self::Host),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for DaemonRole {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for DaemonRole {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for DaemonRole {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Limits on requests.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    ///Deadline of a call without the header `x-deadline-ms`, in milliseconds
    #[serde(default = "defaults::default_u64::<u64, 30000>")]
    pub default_deadline_ms: u64,
    ///Maximum time to drain calls before a shutdown or a version switch, in milliseconds
    #[serde(default = "defaults::default_u64::<u64, 60000>")]
    pub drain_ms: u64,
    ///Maximum size of a request body in bytes
    #[serde(default = "defaults::default_u64::<u64, 1048576>")]
    pub max_body_bytes: u64,
    ///Maximum number of open caller connections per entry
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 4000>")]
    pub max_connections: ::std::num::NonZeroU32,
    ///Maximum size of a request head in bytes
    #[serde(default = "defaults::default_u64::<u64, 16384>")]
    pub max_header_bytes: u64,
    ///Maximum time for which an entry queues a call, in milliseconds; calls that would wait longer are refused immediately
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU64, 700>")]
    pub max_wait_ms: ::std::num::NonZeroU64,
    ///Maximum number of queued calls per team and entry
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 256>")]
    pub queue_per_team: ::std::num::NonZeroU32,
    ///Retries allowed per first attempt
    #[serde(default = "defaults::limits_retry_ratio")]
    pub retry_ratio: f64,
    ///Routing policy; all except `affinity` are baselines for benchmarks
    #[serde(default = "defaults::limits_routing")]
    pub routing: LimitsRouting,
    ///Maximum number of hosts per service that an entry connects to
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 64>")]
    pub subset: ::std::num::NonZeroU32,
}
impl ::std::default::Default for Limits {
    fn default() -> Self {
        Self {
            default_deadline_ms: defaults::default_u64::<u64, 30000>(),
            drain_ms: defaults::default_u64::<u64, 60000>(),
            max_body_bytes: defaults::default_u64::<u64, 1048576>(),
            max_connections: defaults::default_nzu64::<::std::num::NonZeroU32, 4000>(),
            max_header_bytes: defaults::default_u64::<u64, 16384>(),
            max_wait_ms: defaults::default_nzu64::<::std::num::NonZeroU64, 700>(),
            queue_per_team: defaults::default_nzu64::<::std::num::NonZeroU32, 256>(),
            retry_ratio: defaults::limits_retry_ratio(),
            routing: defaults::limits_routing(),
            subset: defaults::default_nzu64::<::std::num::NonZeroU32, 64>(),
        }
    }
}
///Routing policy; all except `affinity` are baselines for benchmarks
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum LimitsRouting {
    #[serde(rename = "affinity")]
    Affinity,
    #[serde(rename = "least_loaded")]
    LeastLoaded,
    #[serde(rename = "round_robin")]
    RoundRobin,
    #[serde(rename = "random")]
    Random,
}
impl ::std::fmt::Display for LimitsRouting {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Affinity => f.write_str("affinity"),
            Self::LeastLoaded => f.write_str("least_loaded"),
            Self::RoundRobin => f.write_str("round_robin"),
            Self::Random => f.write_str("random"),
        }
    }
}
impl ::std::str::FromStr for LimitsRouting {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "affinity" => Ok(Self::Affinity),
            "least_loaded" => Ok(Self::LeastLoaded),
            "round_robin" => Ok(Self::RoundRobin),
            "random" => Ok(Self::Random),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for LimitsRouting {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for LimitsRouting {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for LimitsRouting {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::default::Default for LimitsRouting {
    fn default() -> Self {
        LimitsRouting::Affinity
    }
}
///Level and format of logs.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Log {
    ///Log format: `key=value` lines or JSON lines
    #[serde(default = "defaults::log_format")]
    pub format: LogFormat,
    ///Minimum level of logged messages
    #[serde(default = "defaults::log_level")]
    pub level: LogLevel,
}
impl ::std::default::Default for Log {
    fn default() -> Self {
        Self {
            format: defaults::log_format(),
            level: defaults::log_level(),
        }
    }
}
///Log format: `key=value` lines or JSON lines
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum LogFormat {
    #[serde(rename = "text")]
    Text,
    #[serde(rename = "json")]
    Json,
}
impl ::std::fmt::Display for LogFormat {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Text => f.write_str("text"),
            Self::Json => f.write_str("json"),
        }
    }
}
impl ::std::str::FromStr for LogFormat {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for LogFormat {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for LogFormat {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for LogFormat {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::default::Default for LogFormat {
    fn default() -> Self {
        LogFormat::Text
    }
}
///Minimum level of logged messages
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum LogLevel {
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "warn")]
    Warn,
    #[serde(rename = "info")]
    Info,
    #[serde(rename = "debug")]
    Debug,
}
impl ::std::fmt::Display for LogLevel {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Error => f.write_str("error"),
            Self::Warn => f.write_str("warn"),
            Self::Info => f.write_str("info"),
            Self::Debug => f.write_str("debug"),
        }
    }
}
impl ::std::str::FromStr for LogLevel {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "error" => Ok(Self::Error),
            "warn" => Ok(Self::Warn),
            "info" => Ok(Self::Info),
            "debug" => Ok(Self::Debug),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for LogLevel {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for LogLevel {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for LogLevel {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::default::Default for LogLevel {
    fn default() -> Self {
        LogLevel::Info
    }
}
///Connection to the platform.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    pub origin_url: rw_protocol::Name,
    ///Time limit of one platform call in milliseconds
    #[serde(default = "defaults::default_u64::<u64, 2000>")]
    pub timeout_ms: u64,
    pub url: rw_protocol::Name,
}
///`RagworttackSettings`
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(transparent)]
pub struct RagworttackSettings(pub ::serde_json::Value);
impl ::std::ops::Deref for RagworttackSettings {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<RagworttackSettings> for ::serde_json::Value {
    fn from(value: RagworttackSettings) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for RagworttackSettings {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
///One region.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    ///Whether the region contains the origin and the platform's store
    #[serde(default)]
    pub home: bool,
    ///Rate of each inter-region link in bits per second
    #[serde(default = "defaults::default_u64::<u64, 20000000>")]
    pub link_bits_per_s: u64,
}
impl ::std::default::Default for Region {
    fn default() -> Self {
        Self {
            home: Default::default(),
            link_bits_per_s: defaults::default_u64::<u64, 20000000>(),
        }
    }
}
///One service that callers reach.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    ///Maximum number of calls that one backend server runs concurrently
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 8>")]
    pub concurrency: ::std::num::NonZeroU32,
    ///Whether the engine checks fencing numbers
    #[serde(default)]
    pub fencing: bool,
    ///Operations of a plain service that may be retried
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub idempotent: ::std::vec::Vec<rw_protocol::Name>,
    ///Model engine or plain service
    pub kind: ServiceKind,
    ///Maximum number of calls queued at one host
    #[serde(default = "defaults::default_u64::<u32, 4>")]
    pub queue: u32,
}
///Model engine or plain service
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum ServiceKind {
    #[serde(rename = "engine")]
    Engine,
    #[serde(rename = "plain")]
    Plain,
}
impl ::std::fmt::Display for ServiceKind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Engine => f.write_str("engine"),
            Self::Plain => f.write_str("plain"),
        }
    }
}
impl ::std::str::FromStr for ServiceKind {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "engine" => Ok(Self::Engine),
            "plain" => Ok(Self::Plain),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ServiceKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for ServiceKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ServiceKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///One team of callers.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    ///Maximum number of the team's calls in progress per entry
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 1000>")]
    pub max_in_flight: ::std::num::NonZeroU32,
    ///Share of capacity relative to other teams
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 1>")]
    pub weight: ::std::num::NonZeroU32,
}
impl ::std::default::Default for Team {
    fn default() -> Self {
        Self {
            max_in_flight: defaults::default_nzu64::<::std::num::NonZeroU32, 1000>(),
            weight: defaults::default_nzu64::<::std::num::NonZeroU32, 1>(),
        }
    }
}
///Distribution of weights.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    ///Base timeout of a chunk request, in milliseconds; a source that delivers nothing for twice this time is avoided
    #[serde(default = "defaults::default_u64::<u64, 4000>")]
    pub chunk_timeout_ms: u64,
    ///Download limit of a host in bytes per second; 0 means unlimited
    #[serde(default)]
    pub downlink_bytes_per_s: u64,
    ///How soon an overdue chunk is also requested from a second source: early (`time`) or late (`origin`)
    #[serde(default = "defaults::weights_goal")]
    pub goal: WeightsGoal,
    ///Distribution policy; all except `tree` are baselines for benchmarks
    #[serde(default = "defaults::weights_policy")]
    pub policy: WeightsPolicy,
    ///Upload limit of a host in bytes per second; 0 means unlimited
    #[serde(default)]
    pub uplink_bytes_per_s: u64,
    ///Maximum wait for the hosts of earlier rollout waves, in milliseconds
    #[serde(default = "defaults::default_u64::<u64, 30000>")]
    pub wave_timeout_ms: u64,
    ///Maximum number of chunks that a host requests concurrently
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 32>")]
    pub window: ::std::num::NonZeroU32,
}
impl ::std::default::Default for Weights {
    fn default() -> Self {
        Self {
            chunk_timeout_ms: defaults::default_u64::<u64, 4000>(),
            downlink_bytes_per_s: Default::default(),
            goal: defaults::weights_goal(),
            policy: defaults::weights_policy(),
            uplink_bytes_per_s: Default::default(),
            wave_timeout_ms: defaults::default_u64::<u64, 30000>(),
            window: defaults::default_nzu64::<::std::num::NonZeroU32, 32>(),
        }
    }
}
///How soon an overdue chunk is also requested from a second source: early (`time`) or late (`origin`)
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum WeightsGoal {
    #[serde(rename = "time")]
    Time,
    #[serde(rename = "origin")]
    Origin,
}
impl ::std::fmt::Display for WeightsGoal {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Time => f.write_str("time"),
            Self::Origin => f.write_str("origin"),
        }
    }
}
impl ::std::str::FromStr for WeightsGoal {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "time" => Ok(Self::Time),
            "origin" => Ok(Self::Origin),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for WeightsGoal {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for WeightsGoal {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for WeightsGoal {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::default::Default for WeightsGoal {
    fn default() -> Self {
        WeightsGoal::Origin
    }
}
///Distribution policy; all except `tree` are baselines for benchmarks
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum WeightsPolicy {
    #[serde(rename = "tree")]
    Tree,
    #[serde(rename = "origin")]
    Origin,
    #[serde(rename = "chain")]
    Chain,
    #[serde(rename = "random")]
    Random,
}
impl ::std::fmt::Display for WeightsPolicy {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Tree => f.write_str("tree"),
            Self::Origin => f.write_str("origin"),
            Self::Chain => f.write_str("chain"),
            Self::Random => f.write_str("random"),
        }
    }
}
impl ::std::str::FromStr for WeightsPolicy {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "tree" => Ok(Self::Tree),
            "origin" => Ok(Self::Origin),
            "chain" => Ok(Self::Chain),
            "random" => Ok(Self::Random),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for WeightsPolicy {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for WeightsPolicy {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for WeightsPolicy {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::default::Default for WeightsPolicy {
    fn default() -> Self {
        WeightsPolicy::Tree
    }
}
///One availability zone.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    pub region: rw_protocol::Name,
}
/// Generation of default values for serde.
pub mod defaults {
    pub(super) fn default_i64<T, const V: i64>() -> T
    where
        T: ::std::convert::TryFrom<i64>,
        <T as ::std::convert::TryFrom<i64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
    }
    pub(super) fn default_u64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<u64>,
        <T as ::std::convert::TryFrom<u64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
    }
    pub(super) fn default_nzu64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<::std::num::NonZeroU64>,
        <T as ::std::convert::TryFrom<::std::num::NonZeroU64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(::std::num::NonZeroU64::try_from(V).unwrap()).unwrap()
    }
    pub(super) fn limits_retry_ratio() -> f64 {
        0.2_f64
    }
    pub(super) fn limits_routing() -> super::LimitsRouting {
        super::LimitsRouting::Affinity
    }
    pub(super) fn log_format() -> super::LogFormat {
        super::LogFormat::Text
    }
    pub(super) fn log_level() -> super::LogLevel {
        super::LogLevel::Info
    }
    pub(super) fn weights_goal() -> super::WeightsGoal {
        super::WeightsGoal::Origin
    }
    pub(super) fn weights_policy() -> super::WeightsPolicy {
        super::WeightsPolicy::Tree
    }
}
