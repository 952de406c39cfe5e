/**
 * Records the calls that the backend server of this VM ran when it ended.
 */

import { formatServerId } from "../backend/mod.ts";
import type {
  BackendClient,
  BackendRegistry,
  ConnectionBreak,
} from "../backend/mod.ts";
import type {
  Announcement,
  CallContext,
  MemberRecord,
} from "../generated/types.ts";
import { DECISIONS } from "../telemetry/mod.ts";
import type { DaemonMetrics, DecisionJournal } from "../telemetry/mod.ts";
import type { Clock } from "../time/mod.ts";
import { CrashDetector } from "./crash_detector.ts";
import type { ServerCrash, TrackedRun } from "./crash_detector.ts";
import type { Fingerprinter } from "./fingerprinter.ts";
import type { Quarantine } from "./quarantine.ts";
import type { IdentifiedCall } from "./request_identity.ts";

/** Maximum number of calls that are named in the journal. */
const MAX_NAMED_CALLS = 8;

/** Call that a backend server runs. */
export interface RecordedCall extends IdentifiedCall {
  readonly context: CallContext;
}

/** Dependencies of a {@link CrashRecorder}. */
export interface CrashRecorderOptions {
  readonly backend: BackendRegistry;
  readonly backendClient: BackendClient;
  readonly clock: Clock;
  readonly fingerprinter: Fingerprinter;
  /** Decides what follows for the requests. */
  readonly quarantine: Quarantine;
  /** Identity of this process and IP address of its VM. */
  readonly daemon: Pick<MemberRecord, "incarnation" | "address">;
  readonly journal: DecisionJournal;
  readonly metrics: DaemonMetrics;
}

/** Tells which calls ran when the backend server ended. */
export class CrashRecorder {
  readonly #options: CrashRecorderOptions;
  readonly #detector: CrashDetector<RecordedCall>;
  #announcementCount = 0;
  /** Server that said that it leaves; calls that its planned end cuts off did not cause it. */
  #leavingProcess = "";

  constructor(options: CrashRecorderOptions) {
    this.#options = options;
    const { backend, backendClient, clock } = options;
    this.#detector = new CrashDetector({
      clock,
      probePort: async () =>
        backend.announcement
          ? await backendClient.probe(backend.announcement)
          : "unknown",
      report: (crash) => this.#record(crash),
    });
    backend.subscribe(() => this.#followAnnouncement());
  }

  /** Records that a call starts to run on a server. */
  begin(server: Announcement, call: RecordedCall): TrackedRun<RecordedCall> {
    return this.#detector.begin(this.#formatProcess(server), call);
  }

  /** Records the end of a run; resolves when it is known whether the server has ended with it, as far as can be told at once. */
  finish(
    run: TrackedRun<RecordedCall>,
    connectionBreak: ConnectionBreak | undefined,
  ): Promise<void> {
    return this.#detector.finish(run, connectionBreak);
  }

  /** Passes on announcements; the registry also notifies of other changes. */
  #followAnnouncement(): void {
    const { announcement, announcementCount, isServerLeaving } =
      this.#options.backend;
    if (announcement && isServerLeaving) {
      this.#leavingProcess = this.#formatProcess(announcement);
    }
    if (announcement && announcementCount !== this.#announcementCount) {
      this.#announcementCount = announcementCount;
      this.#detector.observeServer(this.#formatProcess(announcement));
    }
  }

  /** Formats the id of a server process; servers without an id are told apart by their number. */
  #formatProcess(server: Announcement): string {
    const { serverCount } = this.#options.backend;
    return `${formatServerId(server)}#${serverCount}`;
  }

  #record({ serverId, calls }: ServerCrash<RecordedCall>): void {
    const { daemon, fingerprinter, journal, metrics, quarantine } =
      this.#options;
    if (serverId === this.#leavingProcess) {
      return;
    }
    const service = calls[0]?.service ?? "";
    const { address: vmAddress, incarnation } = daemon;
    const fingerprints = quarantine.recordCrash({
      processId: fingerprinter.hashId(`${incarnation} ${serverId}`),
      ...{ vmAddress, service, calls },
    });
    const named = calls.slice(-MAX_NAMED_CALLS);
    metrics.serverCrashes.inc();
    journal.record(DECISIONS.serverCrash, {
      serverId,
      service,
      calls: calls.length,
      requestIds: named.map(({ context }) => context.requestId).join(),
      fingerprints: fingerprints.slice(-MAX_NAMED_CALLS).join(),
    });
  }
}
