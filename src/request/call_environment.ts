/**
 * Dependencies of the request path through a daemon.
 */

import type {
  EntryAdmission,
  InboundAdmission,
  LearnedPaths,
} from "../admission/mod.ts";
import type { AllowanceControl } from "../allowance/mod.ts";
import type { BackendClient, BackendRegistry } from "../backend/mod.ts";
import type {
  ConfigurationHolder,
  ConfigurationProgress,
} from "../configuration/mod.ts";
import type { EventLoopWatch } from "../event_loop/mod.ts";
import type { DaemonSettings } from "../generated/types.ts";
import type {
  KeyLedger,
  KeyPlacement,
  RunLedger,
  SuccessorTable,
} from "../idempotency/mod.ts";
import type { RequestIntake } from "../intake/mod.ts";
import type { StopControl } from "../leaving/mod.ts";
import type { Membership } from "../membership/mod.ts";
import type { MemoryBudget } from "../memory/mod.ts";
import type { CrashRecorder, Quarantine } from "../quarantine/mod.ts";
import type { CallJoiner, RetryPolicy } from "../retry/mod.ts";
import type {
  LoadBalancer,
  SpillReceipts,
  TrafficSplitter,
} from "../routing/mod.ts";
import type {
  DaemonMetrics,
  DecisionJournal,
  Logger,
} from "../telemetry/mod.ts";
import type { Clock } from "../time/mod.ts";
import type { ActiveCalls } from "./active_calls.ts";
import type { FirstResponses } from "./first_responses.ts";
import type { LeavingServers } from "./leaving_servers.ts";
import type { PeerClients } from "./peer_clients.ts";
import type { PeerServices } from "../peer/mod.ts";
import type { ResponseSizes } from "./response_sizes.ts";

/** Components of a daemon that are used to serve requests. */
export interface CallEnvironment {
  readonly settings: DaemonSettings;
  readonly clock: Clock;
  readonly eventLoop: EventLoopWatch;
  /** Decides when requests that were read begin. */
  readonly intake: RequestIntake;
  readonly log: Logger;
  readonly metrics: DaemonMetrics;
  readonly journal: DecisionJournal;
  readonly configuration: ConfigurationHolder;
  /** Versions in the store, active and refused. */
  readonly configurationProgress: ConfigurationProgress;
  readonly membership: Membership;
  /** Bound of the bytes held for calls. */
  readonly memory: MemoryBudget;
  readonly peers: PeerClients;
  /** Services of the daemon itself that other daemons call. */
  readonly peerServices: PeerServices;
  readonly backend: BackendRegistry;
  readonly backendClient: BackendClient;
  readonly entryAdmission: EntryAdmission;
  readonly inboundAdmission: InboundAdmission;
  readonly paths: LearnedPaths;
  readonly loadBalancer: LoadBalancer;
  readonly trafficSplitter: TrafficSplitter;
  readonly retryPolicy: RetryPolicy;
  readonly joiner: CallJoiner;
  readonly keys: KeyLedger;
  readonly keyPlacement: KeyPlacement;
  readonly successors: SuccessorTable;
  readonly runs: RunLedger;
  readonly activeCalls: ActiveCalls;
  readonly responseSizes: ResponseSizes;
  /** Bound of the downloads that run before their size is known. */
  readonly firstResponses: FirstResponses;
  readonly leavingServers: LeavingServers;
  /** Failure domains that send calls to the backend server of this VM. */
  readonly spillReceipts: SpillReceipts;
  /** Rates of client accounts over all daemons. */
  readonly allowances: AllowanceControl;
  /** Requests that are refused because they crash backend servers. */
  readonly quarantine: Quarantine;
  /** Which requests are begun while this daemon stops, and the end of the others. */
  readonly stop: StopControl;
  /** Calls that the backend server of this VM runs, to tell what ran when it ended. */
  readonly crashes: CrashRecorder;
}
