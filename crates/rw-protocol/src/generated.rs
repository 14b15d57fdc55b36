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
///Accepted.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Ack {
    pub head: u64,
}
///One host's part in an intent.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Assignment {
    pub host: crate::Name,
    ///Hosts of a lower wave switch first.
    pub wave: u32,
}
///One frame of an answer.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
pub enum CallFrame {
    Started(Started),
    Data(Data),
    End(End),
    NotRun(NotRun),
    Failed(Failed),
}
impl ::std::convert::From<Started> for CallFrame {
    fn from(value: Started) -> Self {
        Self::Started(value)
    }
}
impl ::std::convert::From<Data> for CallFrame {
    fn from(value: Data) -> Self {
        Self::Data(value)
    }
}
impl ::std::convert::From<End> for CallFrame {
    fn from(value: End) -> Self {
        Self::End(value)
    }
}
impl ::std::convert::From<NotRun> for CallFrame {
    fn from(value: NotRun) -> Self {
        Self::NotRun(value)
    }
}
impl ::std::convert::From<Failed> for CallFrame {
    fn from(value: Failed) -> Self {
        Self::Failed(value)
    }
}
///One dispatch of a caller's request.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallRequest {
    ///Random id of this dispatch.
    pub attempt: u64,
    pub body: crate::Blob,
    ///Time left in milliseconds.
    pub deadline_ms: u64,
    pub key: crate::Name,
    pub manifest: crate::Name,
    pub operation: crate::Name,
    pub priority: u32,
    pub request_id: crate::Name,
    pub service: crate::Name,
    pub team: crate::Name,
}
///One change of configuration.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
pub enum Change {
    Put(PutIntent),
    Remove(RemoveIntent),
    Replace(ReplaceHosts),
}
impl ::std::convert::From<PutIntent> for Change {
    fn from(value: PutIntent) -> Self {
        Self::Put(value)
    }
}
impl ::std::convert::From<RemoveIntent> for Change {
    fn from(value: RemoveIntent) -> Self {
        Self::Remove(value)
    }
}
impl ::std::convert::From<ReplaceHosts> for Change {
    fn from(value: ReplaceHosts) -> Self {
        Self::Replace(value)
    }
}
///One chunk of a model.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Chunk {
    pub body: crate::Blob,
    pub chunk: u32,
}
///Asks for one chunk.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChunkRequest {
    pub chunk: u32,
    pub manifest: crate::Name,
    ///How long to wait for a chunk that is on its way.
    pub wait_ms: u64,
}
///Record that a call may run at most once.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    pub at_ms: u64,
    pub attempt: u64,
    pub body: ::std::string::String,
    pub key: crate::Name,
    pub owner: crate::Name,
    pub request_hash: crate::Name,
    pub state: ClaimState,
    pub status: u32,
    pub team: crate::Name,
}
///How far a claimed call went.
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
pub enum ClaimState {
    #[serde(rename = "started")]
    Started,
    #[serde(rename = "answered")]
    Answered,
    #[serde(rename = "not_run")]
    NotRun,
}
impl ::std::fmt::Display for ClaimState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Started => f.write_str("started"),
            Self::Answered => f.write_str("answered"),
            Self::NotRun => f.write_str("not_run"),
        }
    }
}
impl ::std::str::FromStr for ClaimState {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "started" => Ok(Self::Started),
            "answered" => Ok(Self::Answered),
            "not_run" => Ok(Self::NotRun),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ClaimState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for ClaimState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ClaimState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Part of an answer.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Data {
    pub attempt: u64,
    pub body: crate::Blob,
    pub seq: u32,
}
///Closes a whole answer.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct End {
    pub attempt: u64,
    pub digest: u64,
    pub frames: u32,
    pub load: Load,
    pub status: u32,
}
///One event of the time line.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct EventRecord {
    pub daemon: crate::Name,
    pub detail: ::std::string::String,
    pub event: crate::Name,
    pub number: u32,
    ///Hybrid logical clock: milliseconds above 16 counter bits.
    pub stamp: u64,
}
///The call may have run.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Failed {
    pub attempt: u64,
    pub load: Load,
    pub reason: ::std::string::String,
}
///One confirmed step of the append-only configuration.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Generation {
    ///Unix time in milliseconds.
    pub at_ms: u64,
    pub change: Change,
    pub number: u64,
    pub plan_id: crate::Name,
}
///Part of the host list that changed after a known version.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct HostListing {
    pub hosts: ::std::vec::Vec<HostRecord>,
    ///List version from which on every change is in here.
    pub since: u64,
    pub version: u64,
}
///One host of the platform's list.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct HostRecord {
    pub addr: crate::Name,
    ///List version at which this entry last changed.
    pub changed: u64,
    pub name: crate::Name,
    pub operator_addr: crate::Name,
    pub region: crate::Name,
    pub role: Role,
    pub service: crate::Name,
    pub state: HostState,
    pub zone: crate::Name,
}
///Lifecycle of a host as the platform lists it.
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
pub enum HostState {
    #[serde(rename = "live")]
    Live,
    #[serde(rename = "leaving")]
    Leaving,
    #[serde(rename = "gone")]
    Gone,
}
impl ::std::fmt::Display for HostState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Live => f.write_str("live"),
            Self::Leaving => f.write_str("leaving"),
            Self::Gone => f.write_str("gone"),
        }
    }
}
impl ::std::str::FromStr for HostState {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "live" => Ok(Self::Live),
            "leaving" => Ok(Self::Leaving),
            "gone" => Ok(Self::Gone),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for HostState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for HostState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for HostState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///State that a host streams to entries.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct HostStatus {
    pub head: u64,
    pub host: crate::Name,
    pub leaving: bool,
    pub load: Load,
    ///Why the host does not serve; empty when it does.
    pub problem: ::std::string::String,
    pub serving: ::std::vec::Vec<ServedModel>,
}
///What an operator wants served.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Intent {
    ///Deadline, Unix time in milliseconds.
    pub finish_by_ms: u64,
    ///Number of hosts over all regions.
    pub hosts: u32,
    pub model: crate::Name,
    pub name: crate::Name,
    pub regions: ::std::vec::Vec<crate::Name>,
    pub service: crate::Name,
    ///Teams to serve; empty means every team.
    pub teams: ::std::vec::Vec<crate::Name>,
    pub version: crate::Name,
}
///Outcome of one intent.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct IntentReport {
    pub intent: crate::Name,
    pub late: bool,
    pub missing: ::std::vec::Vec<crate::Name>,
    pub serving: u32,
    pub version: crate::Name,
    pub wanted: u32,
}
///One confirmed intent as it stands.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct IntentSnapshot {
    pub assignments: ::std::vec::Vec<Assignment>,
    pub intent: Intent,
    ///Bytes of the model.
    pub length: u64,
    pub manifest: crate::Name,
    pub previous: crate::Name,
    ///Unix time of the last confirmation in milliseconds.
    pub since_ms: u64,
}
///Bytes that a plan sends over one region's inbound links.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct LinkBytes {
    pub bytes: u64,
    pub region: crate::Name,
}
///Work that a backend server holds.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    ///Calls the host takes at once.
    pub limit: u32,
    pub queued: u32,
    pub running: u32,
}
///Load that an entry puts on the backend servers; replaces its earlier news.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    pub entry: crate::Name,
    ///How far the entry has followed the tables.
    pub known: ::std::vec::Vec<TableVersion>,
    ///Servers with requests under way.
    pub loads: ::std::vec::Vec<ServerLoad>,
    ///How long ago weights were named that are not in force everywhere yet.
    pub named: ::std::vec::Vec<RequestedVersionAge>,
}
///Immutable description of one version of a model.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    ///Bytes of each chunk but the last.
    pub chunk_bytes: u64,
    ///BLAKE3 of each chunk in hexadecimal.
    pub chunks: ::std::vec::Vec<crate::Name>,
    ///Bytes of the whole model.
    pub length: u64,
    pub model: crate::Name,
    pub version: crate::Name,
}
///Asks for a manifest by id.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ManifestRequest {
    pub manifest: crate::Name,
}
///The peer does not hold what was asked for.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Missing {
    pub retry_after_ms: u64,
}
///The call did not run and will not.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct NotRun {
    pub attempt: u64,
    pub load: Load,
    pub reason: ::std::string::String,
    pub retry_after_ms: u64,
}
///The news were taken in.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Noted {}
impl ::std::default::Default for Noted {
    fn default() -> Self {
        Self {}
    }
}
///Frames that answer a peer request.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
pub enum PeerReply {
    Call(CallFrame),
    Sync(SyncReply),
    Ack(Ack),
    Chunk(Chunk),
    Missing(Missing),
    Manifest(Manifest),
    Status(HostStatus),
    Report(ZoneReport),
    Rows(RowsReply),
    Noted(Noted),
}
impl ::std::convert::From<CallFrame> for PeerReply {
    fn from(value: CallFrame) -> Self {
        Self::Call(value)
    }
}
impl ::std::convert::From<SyncReply> for PeerReply {
    fn from(value: SyncReply) -> Self {
        Self::Sync(value)
    }
}
impl ::std::convert::From<Ack> for PeerReply {
    fn from(value: Ack) -> Self {
        Self::Ack(value)
    }
}
impl ::std::convert::From<Chunk> for PeerReply {
    fn from(value: Chunk) -> Self {
        Self::Chunk(value)
    }
}
impl ::std::convert::From<Missing> for PeerReply {
    fn from(value: Missing) -> Self {
        Self::Missing(value)
    }
}
impl ::std::convert::From<Manifest> for PeerReply {
    fn from(value: Manifest) -> Self {
        Self::Manifest(value)
    }
}
impl ::std::convert::From<HostStatus> for PeerReply {
    fn from(value: HostStatus) -> Self {
        Self::Status(value)
    }
}
impl ::std::convert::From<ZoneReport> for PeerReply {
    fn from(value: ZoneReport) -> Self {
        Self::Report(value)
    }
}
impl ::std::convert::From<RowsReply> for PeerReply {
    fn from(value: RowsReply) -> Self {
        Self::Rows(value)
    }
}
impl ::std::convert::From<Noted> for PeerReply {
    fn from(value: Noted) -> Self {
        Self::Noted(value)
    }
}
///First frame of a stream between daemons.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
pub enum PeerRequest {
    Call(CallRequest),
    Sync(SyncRequest),
    Push(PushRequest),
    Chunk(ChunkRequest),
    Manifest(ManifestRequest),
    Watch(WatchRequest),
    Report(ReportRequest),
    Load(LoadReport),
    Rows(RowsRequest),
    Runner(ServerStatus),
}
impl ::std::convert::From<CallRequest> for PeerRequest {
    fn from(value: CallRequest) -> Self {
        Self::Call(value)
    }
}
impl ::std::convert::From<SyncRequest> for PeerRequest {
    fn from(value: SyncRequest) -> Self {
        Self::Sync(value)
    }
}
impl ::std::convert::From<PushRequest> for PeerRequest {
    fn from(value: PushRequest) -> Self {
        Self::Push(value)
    }
}
impl ::std::convert::From<ChunkRequest> for PeerRequest {
    fn from(value: ChunkRequest) -> Self {
        Self::Chunk(value)
    }
}
impl ::std::convert::From<ManifestRequest> for PeerRequest {
    fn from(value: ManifestRequest) -> Self {
        Self::Manifest(value)
    }
}
impl ::std::convert::From<WatchRequest> for PeerRequest {
    fn from(value: WatchRequest) -> Self {
        Self::Watch(value)
    }
}
impl ::std::convert::From<ReportRequest> for PeerRequest {
    fn from(value: ReportRequest) -> Self {
        Self::Report(value)
    }
}
impl ::std::convert::From<LoadReport> for PeerRequest {
    fn from(value: LoadReport) -> Self {
        Self::Load(value)
    }
}
impl ::std::convert::From<RowsRequest> for PeerRequest {
    fn from(value: RowsRequest) -> Self {
        Self::Rows(value)
    }
}
impl ::std::convert::From<ServerStatus> for PeerRequest {
    fn from(value: ServerStatus) -> Self {
        Self::Runner(value)
    }
}
///What a confirmation would change.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    ///Generation the plan was made from.
    pub base: u64,
    pub change: Change,
    ///Estimated time to completion in milliseconds.
    pub expected_ms: u64,
    pub id: crate::Name,
    pub joining: ::std::vec::Vec<crate::Name>,
    pub keeping: ::std::vec::Vec<crate::Name>,
    pub leaving: ::std::vec::Vec<crate::Name>,
    pub links: ::std::vec::Vec<LinkBytes>,
    pub origin_bytes: u64,
    pub warnings: ::std::vec::Vec<::std::string::String>,
}
///Carries news down a zone's tree.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct PushRequest {
    pub generations: ::std::vec::Vec<Generation>,
    pub listing: HostListing,
    ///Hosts that the receiver passes this on to.
    pub relay: ::std::vec::Vec<crate::Name>,
}
///Creates or replaces an intent.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct PutIntent {
    pub assignments: ::std::vec::Vec<Assignment>,
    pub intent: Intent,
    ///Bytes of the model.
    pub length: u64,
    pub manifest: crate::Name,
}
///`RagworttackMessages`
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(transparent)]
pub struct RagworttackMessages(pub ::serde_json::Value);
impl ::std::ops::Deref for RagworttackMessages {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<RagworttackMessages> for ::serde_json::Value {
    fn from(value: RagworttackMessages) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for RagworttackMessages {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
///Ends an intent.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct RemoveIntent {
    pub name: crate::Name,
}
///Moves assignments from failed hosts to spare ones.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ReplaceHosts {
    pub added: ::std::vec::Vec<Assignment>,
    ///Fencing number of the lease that allowed it.
    pub epoch: u64,
    pub gone: ::std::vec::Vec<crate::Name>,
    pub intent: crate::Name,
}
///Asks a daemon for the report of its availability zone.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ReportRequest {
    pub zone: crate::Name,
}
///How long ago a daemon saw that weights were named.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct RequestedVersionAge {
    pub age_ms: u64,
    pub model: crate::Name,
    pub version: u64,
}
///What a daemon does.
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
pub enum Role {
    #[serde(rename = "entry")]
    Entry,
    #[serde(rename = "host")]
    Host,
}
impl ::std::fmt::Display for Role {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Entry => f.write_str("entry"),
            Self::Host => f.write_str("host"),
        }
    }
}
impl ::std::str::FromStr for Role {
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
impl ::std::convert::TryFrom<&str> for Role {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for Role {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Role {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Rows changed after the versions of the question.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct RowsReply {
    ///Whether the answering daemon follows the store itself at the moment.
    pub in_touch: bool,
    ///How far the answering daemon has followed them.
    pub known: ::std::vec::Vec<TableVersion>,
    ///Changed rows, oldest first.
    pub rows: ::std::vec::Vec<StoredRow>,
}
///Asks for rows that the sender may have missed while the store was out of reach.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct RowsRequest {
    ///Tables and how far the sender has followed them.
    pub known: ::std::vec::Vec<TableVersion>,
    ///How long to wait for news when there are none.
    pub wait_ms: u64,
}
///What a host serves now.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServedModel {
    pub intent: crate::Name,
    pub manifest: crate::Name,
    pub model: crate::Name,
    pub service: crate::Name,
    pub version: crate::Name,
}
///What one entry has under way at a backend server.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServerLoad {
    ///Requests that failed lately, one after the other.
    pub failures: u32,
    ///Requests sent and not finished.
    pub running: u32,
    pub server: crate::Name,
    ///Time to first events in percent of their forecasts; 0 is not known.
    pub slowness_percent: u32,
    ///Prompt tokens that the server has not read yet.
    pub unread_tokens: u32,
}
///State of a backend server as the daemon beside it sees it.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServerStatus {
    ///Whether it takes new requests.
    pub accepting: bool,
    pub model: crate::Name,
    ///Increases with each notice of one daemon.
    pub sequence: u64,
    pub server: crate::Name,
    ///Version of the weights that are loaded; 0 is none.
    pub weights: u64,
}
///The whole configuration at one generation.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    pub head: u64,
    pub intents: ::std::vec::Vec<IntentSnapshot>,
}
///The call began to run.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Started {
    pub attempt: u64,
    pub load: Load,
    pub version: crate::Name,
}
///What an operator sees.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct StatusReport {
    pub head: u64,
    pub healthy: bool,
    pub intents: ::std::vec::Vec<IntentReport>,
    pub lagging: ::std::vec::Vec<crate::Name>,
    pub lowest_head: u64,
    pub problems: ::std::vec::Vec<::std::string::String>,
    pub table_reachable: bool,
    pub unreachable: ::std::vec::Vec<crate::Name>,
    pub unresolved: u64,
}
///A row of the platform's store as it was written.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct StoredRow {
    ///Whether the row was removed.
    pub deleted: bool,
    pub key: crate::Name,
    ///Whether the value is compressed by LZ4 behind its length.
    pub packed: bool,
    pub table: crate::Name,
    pub value: crate::Blob,
    ///Version of the store at which the row was written.
    pub version: u64,
}
///What a peer knows beyond the request.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct SyncReply {
    pub generations: ::std::vec::Vec<Generation>,
    pub head: u64,
    pub listing: HostListing,
    ///At most one: for a daemon too far behind for single generations.
    pub snapshot: ::std::vec::Vec<Snapshot>,
}
///Asks a peer for what is newer.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct SyncRequest {
    pub head: u64,
    pub list_version: u64,
    pub name: crate::Name,
}
///How far a daemon has followed a table.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct TableVersion {
    pub table: crate::Name,
    ///Version of the store up to which every change is known.
    pub version: u64,
}
///Subscribes to a host's status.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct WatchRequest {
    pub name: crate::Name,
}
///One zone's part in the outcome of an intent.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneIntentReport {
    pub intent: crate::Name,
    pub manifest: crate::Name,
    pub missing: ::std::vec::Vec<crate::Name>,
    ///Hosts that serve the manifest.
    pub serving: u32,
}
///Outcome of everything in one availability zone.
///
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneReport {
    pub intents: ::std::vec::Vec<ZoneIntentReport>,
    pub lagging: ::std::vec::Vec<crate::Name>,
    pub lowest_head: u64,
    pub unreachable: ::std::vec::Vec<crate::Name>,
    pub zone: crate::Name,
}
