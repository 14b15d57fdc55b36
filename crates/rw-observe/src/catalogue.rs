use std::fmt::Write;

use log::Level;

macro_rules! events {
    ($($number:literal $name:ident $level:ident $description:literal $action:literal;)*) => {
        /// An event with a stable number, documented in `docs/EVENTS.md`.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Event {
            $(#[doc = $description] $name,)*
        }

        impl Event {
            /// All events in ascending order of their numbers.
            pub const ALL: &'static [Event] = &[$(Event::$name,)*];

            /// Number of the event. Numbers are stable across releases.
            pub fn number(self) -> u32 {
                match self { $(Event::$name => $number,)* }
            }

            /// Name of the event in logs and metrics.
            pub fn name(self) -> &'static str {
                match self { $(Event::$name => stringify!($name),)* }
            }

            /// Log level of the event.
            pub fn level(self) -> Level {
                match self { $(Event::$name => Level::$level,)* }
            }

            /// What happened.
            pub fn description(self) -> &'static str {
                match self { $(Event::$name => $description,)* }
            }

            /// What an operator should do about it.
            pub fn action(self) -> &'static str {
                match self { $(Event::$name => $action,)* }
            }
        }
    };
}

events! {
    100 DaemonStarted Info "The daemon started." "Nothing.";
    101 DaemonDraining Info "The daemon is draining: it refuses new requests and finishes those in progress." "Nothing.";
    102 DaemonStopped Info "The daemon stopped after its last request had finished." "Nothing.";
    103 DrainTimedOut Error "Requests were still running when the drain timeout expired." "Raise limits.drain_ms or look for stuck requests.";
    104 CallerPortClosed Info "The entry accepts no more connections of callers." "Nothing.";
    105 CallCutOff Error "The process ended before a request was answered in full." "If the request was received well before the end, extend the grace period; else look for its server.";
    200 GenerationApplied Info "A confirmed generation took effect on this daemon." "Nothing.";
    201 GenerationConfirmed Info "An operator confirmed a plan." "Nothing.";
    202 PlanStale Warn "A plan could not be confirmed because its base generation is outdated." "Plan again.";
    203 TableUnreachable Warn "The table service does not respond." "Check the platform; until it responds, confirmations wait and requests with an idempotency key are refused.";
    204 TableReachable Info "The table service responds again." "Nothing.";
    205 HostsReplaced Warn "Failed hosts of an intent were replaced by spare hosts." "Check the failed hosts.";
    206 ReplaceFailed Warn "An intent has failed hosts and no spare hosts to replace them." "Add hosts or lower the intent's host count.";
    207 SnapshotRestored Info "A daemon that was far behind restored the configuration from a snapshot." "Nothing.";
    300 TransferStarted Info "A host started to fetch a model." "Nothing.";
    301 TransferComplete Info "A host holds the complete, verified model." "Nothing.";
    302 ChunkCorrupt Warn "A chunk did not match its hash; its sender is avoided." "If it recurs, check the named sender.";
    303 ChunkRefetched Info "A chunk was requested from another source after a failure." "Nothing.";
    304 TransferCancelled Info "A transfer was cancelled because its manifest is no longer needed." "Nothing.";
    305 ManifestMismatch Error "The origin serves different bytes under a confirmed manifest." "Restore the version at the origin; versions are immutable.";
    306 OriginUnreachable Warn "The origin does not respond." "Check the origin; hosts continue to fetch from each other.";
    307 ChunksBounded Info "Chunks take long over the link of a host, which fetches one at a time so that requests do not wait behind them." "Nothing, unless it recurs on one host: then check its link.";
    400 OrderSent Info "An order to load a model was sent to an engine." "Nothing.";
    401 OrderFailed Warn "An order to an engine failed." "If it recurs, check the engine.";
    402 OrderLapsed Warn "A lease expired before its order could be sent." "Nothing; the order is retried under a new lease.";
    403 RunnerServing Info "A backend server serves what the configuration specifies." "Nothing.";
    404 RunnerQuarantined Warn "A backend server has loaded something other than the configuration specifies; it gets no requests." "Nothing if RunnerServing follows; otherwise look for another sender of orders.";
    405 BackendUnreachable Warn "A backend server does not respond to its daemon." "Check the backend server.";
    500 CallUnknown Error "The outcome of a request is unknown." "Check the backend server's own records; see ragworttack unresolved.";
    501 VersionMismatch Error "An answer came from a version other than the pinned one and was dropped." "Look for another sender of orders to this engine.";
    502 StrayFrame Warn "A frame that belongs to another dispatch was dropped." "Nothing.";
    503 HostCircuitOpen Warn "Requests to a host failed; its circuit breaker opened, and it gets none for a while." "If it recurs, check the host.";
    504 ClaimUnresolved Error "A request that may run at most once has an unknown outcome." "Run ragworttack unresolved to list it, and settle it with the customer.";
    505 AttemptFailed Warn "An attempt to run a request at a backend server failed." "If it recurs, check the named server.";
    506 CallAnswered Info "A request was answered." "Nothing.";
    507 CallRefused Info "The entry refused a request." "See the reason; if engines are full, add hosts.";
    508 CallCancelled Info "A caller disconnected before its answer was complete." "Nothing.";
    509 StreamResumed Warn "A stream was resumed at another backend server." "If it recurs, check the named server.";
    510 StreamBrokenOff Error "A stream ended before its last event." "See the failure for the cause.";
    511 ServerSilent Info "A backend server has sent nothing of an answer for some time; the request waits on and is sent to another server as well if there is one." "If it recurs, check the named server.";
    512 WeightsOutdated Info "A request was not sent to a backend server, or was cancelled there before it had begun, because the server holds older weights than are required by now." "If it recurs, check why the rollout of the required version is late.";
    600 IntentLate Error "An intent was not fulfilled by its deadline." "Run ragworttack status to list the missing hosts.";
    601 IntentFulfilled Info "Every host of an intent serves its model." "Nothing.";
    602 HostUnreachable Warn "A host that should serve does not respond." "Check the host.";
    700 ConfigurationInForce Info "A configuration from the platform's store took effect on this daemon." "Nothing.";
    701 ServerChanged Info "A backend server was added, changed or removed." "Nothing.";
    702 StoreLost Warn "A table of the platform's store sends no updates." "Check the platform; daemons continue with the last known state.";
    703 StoreRegained Info "A table of the platform's store sends updates." "Nothing.";
    704 HistoryGone Info "The store no longer has the change history; the complete table is read." "Nothing.";
    705 RowUnreadable Warn "A row of the platform's store is invalid and is ignored." "Check the writer of the row.";
    706 WeightsNamed Info "An operator requested weights to be served." "Nothing.";
    707 RunnerNoticed Info "A host reported the state of its backend server to entries." "Nothing.";
    708 SettingsReloaded Info "The daemon received a signal to reload its settings." "Nothing.";
    709 StageRepaired Warn "Staged weights did not match their digests and were staged again." "If it recurs, check the backend server.";
    710 StoreRestored Warn "The store came back from an older copy; its complete tables are read again." "Write again what the copy lacks; configuration and weights in force stay.";
    711 ServerNotice Info "A backend server said that it is leaving, or asked for a pause." "Nothing, unless no other server is left.";
    712 WeightsRequired Info "An entry sends requests only to backend servers with this version of the weights or a newer one." "If servers still hold older weights, check why their rollout is late.";
    713 WeightsRecorded Info "The times at which weights were requested were recorded in the platform's store." "Nothing.";
    714 StateTakenOver Info "An entry that starts took over what a running entry knows, or none answered." "Nothing. If none answers although entries run, check the network.";
    715 PromptQuarantined Warn "Backend servers crashed one after the other under requests with a part of a prompt in common; the entry refuses requests with it." "Find the cause with the named servers; release the part as docs/OPERATIONS.md says.";
    716 PromptReleased Info "A quarantined part of a prompt was released: a request with it ran, or an operator released it." "Nothing.";
    717 ServerLimitNamed Info "A backend server named a limit on the requests per second that it takes from all entries together." "Find out why the server is in need; entries keep to the limit.";
    718 ServerLimitEnded Info "A backend server names no limit on its requests any more." "Nothing.";
    719 ServerLimitUsed Info "How the limit of a backend server is used, by entry, since this entry grants its permits." "If requests are refused all the time, add backend servers.";
    720 LoadObserved Info "The report of a backend server shows that it has begun to load weights, or has started again." "Nothing.";
    721 WeightsVerified Info "The staged chunks were intact when the backend server took its weights from them." "Nothing.";
    722 WeightsDamaged Error "A staged chunk may have been corrupt when the backend server took its weights; it gets no requests until it has loaded again." "Nothing if an order follows that is answered with 'started'; otherwise restart the backend server or request other weights.";
    723 WeightsUnknown Warn "No record proves the weights that a host found at its backend server, in this lifetime of the server and with this number of loads; it gets no requests until it has loaded again." "Nothing if an order follows that is answered with 'started'; otherwise restart the backend server or request other weights.";
    724 LoadRecorded Info "A host recorded in the platform's store which weights its backend server has loaded; version 0 withdraws the record before." "Nothing.";
    725 LoadAdopted Info "A host that did not order a load found the record that proves the weights of its backend server." "Nothing.";
    726 RequestQuarantined Warn "Backend servers crashed one after the other under the same request; the entry refuses the request." "Find the cause with the named request; release it as docs/OPERATIONS.md says.";
    727 RequestReleased Info "A quarantined request was released: it ran, its servers proved to be alive, or an operator released it." "Nothing.";
    750 ZoneEvacuated Info "An operator asked that the servers of an availability zone get no more requests; they move to other zones within half of the bound." "Delete the row when the zone may serve again.";
    751 ZoneReturned Info "The evacuation of an availability zone ended; its requests come back over some seconds." "Nothing.";
    752 ServerCold Info "A backend server is cold by its row or a response: it gets no more requests than it tolerates until it has warmed up." "Nothing, unless it recurs: then find out why the server starts again.";
    760 MemoryShort Warn "Callers held as much memory as they may together; since the last such event, connections without progress were closed, or bodies and answers refused." "Look for callers that send large bodies or do not read their answers; if they are sound, give the entry more memory.";
    761 ConnectionsLimited Warn "A port had as many connections as it may; since the last such event, some that waited were closed, or new ones refused." "Look for clients that open connections and leave them; if they are sound, raise the limit of descriptors.";
}

/// Renders the event catalogue as a Markdown page.
///
/// ```
/// assert!(rw_observe::catalogue_markdown().contains("| 100 |"));
/// ```
pub fn catalogue_markdown() -> String {
    let mut out = String::from(
        "# Events\n\nEvent numbers never change. This page is generated from the code, and a test compares them.\n\n\
         | number | event | level | what happened | what to do |\n| --- | --- | --- | --- | --- |\n",
    );
    for event in Event::ALL {
        let _ = writeln!(
            out,
            "| {} | `{}` | {} | {} | {} |",
            event.number(),
            event.name(),
            event.level().as_str().to_lowercase(),
            event.description(),
            event.action()
        );
    }
    out
}
