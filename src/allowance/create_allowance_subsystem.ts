/**
 * Wiring of allowances to the membership, the connections and the configuration
 * of a daemon.
 */

import process from "node:process";
import { decode, encode } from "cbor-x";
import { err, ok } from "neverthrow";
import { CallController } from "../cancellation/mod.ts";
import type { ConfigurationHolder } from "../configuration/mod.ts";
import type { CallMessage } from "../generated/types.ts";
import type { Membership } from "../membership/mod.ts";
import { createRefusal, REASONS } from "../outcome/mod.ts";
import type { Answer, CallResult } from "../outcome/mod.ts";
import { callWithDeadline } from "../peer/mod.ts";
import type { PeerClient, PeerServiceHandler } from "../peer/mod.ts";
import type { DaemonMetrics, DecisionJournal } from "../telemetry/mod.ts";
import type { Clock, RandomSource } from "../time/mod.ts";
import { AllowanceMessenger } from "./allowance_fleet.ts";
import type { FleetMember } from "./allowance_fleet.ts";
import { AllowanceMetrics } from "./allowance_metrics.ts";
import type {
  AllowanceInvitation,
  AllowanceMessage,
  AllowanceReply,
} from "./allowance_message.ts";
import type { AccountLimits } from "./compute_partial_limits.ts";
import type { FleetDirectory } from "./create_fleet_directory.ts";
import { decodeAllowanceMessage } from "./decode_allowance_message.ts";
import { encodeAllowanceMessage } from "./encode_allowance_message.ts";
import { GossipFleet } from "./gossip_fleet.ts";
import { SharedAllowances } from "./shared_allowances.ts";
import type { SilentMembers } from "./silent_members.ts";

const MS_PER_SECOND = 1_000;

/** Service name by which daemons send each other messages about allowances. */
export const ALLOWANCE_SERVICE = "celeryhollow-allowances";

/** Request, request kind and class that a message states, which the protocol requires. */
const NAME = "allowances";

const PATHS = { update: "/", invite: "/invite", directory: "/directory" };

/** Time after which a message without a reply counts as failed, in milliseconds. */
const REPLY_TIMEOUT_MS = 600;

/** Components of the daemon that allowances use. */
export interface AllowanceDependencies {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly configuration: ConfigurationHolder;
  readonly journal: DecisionJournal;
  readonly membership: Membership;
  readonly metrics: DaemonMetrics;
  readonly silent: SilentMembers;
  /** Connections to other daemons. */
  readonly peers: { get(member: FleetMember): PeerClient };
}

/** Control of allowances, and the handler of the messages to it. */
export interface AllowanceSubsystem {
  readonly control: SharedAllowances;
  readonly handle: PeerServiceHandler;
}

/**
 * Creates the control of allowances. It sends nothing until a limited account
 * makes a request, here or at another daemon.
 *
 * @param dependencies - Components of the daemon
 * @returns The control and its message handler
 *
 * @example
 * const { control, handle } = createAllowanceSubsystem({ membership, peers, ...others });
 */
export function createAllowanceSubsystem(
  dependencies: AllowanceDependencies,
): AllowanceSubsystem {
  const { clock, configuration, membership, silent } = dependencies;
  const sender = new MessageSender(dependencies);
  const fleet = new GossipFleet({
    ...{ membership, configuration, silent, clock },
    fetchDirectory: (delegate, knownDigest) =>
      sender.fetchDirectory(delegate, knownDigest),
  });
  const control = new SharedAllowances({
    ...dependencies,
    fleet,
    messenger: sender,
    metrics: new AllowanceMetrics(dependencies.metrics.registry),
    readLimits: createLimitsReader(dependencies),
    processAgeMs: process.uptime() * MS_PER_SECOND,
  });
  return {
    control,
    handle: (message, { body }) =>
      handleMessage({ control, fleet }, message, body),
  };
}

/** Sends messages as calls to {@link ALLOWANCE_SERVICE}. */
class MessageSender extends AllowanceMessenger {
  readonly #dependencies: AllowanceDependencies;

  constructor(dependencies: AllowanceDependencies) {
    super();
    this.#dependencies = dependencies;
  }

  override async update(
    member: FleetMember,
    message: AllowanceMessage,
    { validUntilMs }: { readonly validUntilMs: number },
  ): Promise<AllowanceReply | undefined> {
    const body = encodeAllowanceMessage(message);
    // Computed last, since the process may have been paused in between.
    const validMs = validUntilMs - this.#dependencies.clock.monotonicMs();
    const reply = await this.#send(member, PATHS.update, { body, validMs });
    return reply && decodeAllowanceMessage.reply(reply);
  }

  override invite(
    member: FleetMember,
    invitation: AllowanceInvitation,
  ): void {
    const body = encodeAllowanceMessage(invitation);
    void this.#send(member, PATHS.invite, { body, validMs: REPLY_TIMEOUT_MS });
  }

  /** Requests the directory of a delegate. */
  async fetchDirectory(
    delegate: FleetMember,
    knownDigest: number,
  ): Promise<Partial<FleetDirectory> | undefined> {
    const reply = await this.#send(delegate, PATHS.directory, {
      body: encode([knownDigest]),
      validMs: REPLY_TIMEOUT_MS,
    });
    return reply && decodeDirectory(reply);
  }

  async #send(
    member: FleetMember,
    path: string,
    { body, validMs }: { readonly body: Uint8Array; readonly validMs: number },
  ): Promise<Uint8Array | undefined> {
    const { clock, peers } = this.#dependencies;
    const { result } = await callWithDeadline(peers.get(member), clock, {
      message: createMessage(path, { validMs, bodyLengthBytes: body.length }),
      body,
      deadlineAtMs: clock.monotonicMs() + REPLY_TIMEOUT_MS,
      signal: new CallController().signal,
    });
    return result.isOk() ? result.value.body : undefined;
  }
}

/** Creates the message of a call. Its remaining time, from which the receiver deducts the transit time, is that for which the shares in it are delegated. */
function createMessage(
  path: string,
  { validMs, bodyLengthBytes }: {
    readonly validMs: number;
    readonly bodyLengthBytes: number;
  },
): Omit<CallMessage, "callId"> {
  return {
    ...{ kind: "call", purpose: "run", idempotencyKey: "" },
    context: {
      ...{ requestId: NAME, requestName: NAME, className: NAME },
      ...{ member: "", tenant: "", remainingMs: validMs, retryAllowance: 0 },
      ...{ depth: 0, isRepeatable: true, isBulk: false },
    },
    ...{ service: ALLOWANCE_SERVICE, method: "POST", path, contentType: "" },
    bodyLengthBytes,
  };
}

async function handleMessage(
  { control, fleet }: {
    readonly control: SharedAllowances;
    readonly fleet: GossipFleet;
  },
  { path, context }: CallMessage,
  body: Uint8Array,
): Promise<CallResult> {
  if (path === PATHS.update) {
    const message = decodeAllowanceMessage.update(body);
    return message
      ? createAnswer(
        encodeAllowanceMessage(
          await control.receive(message, context.remainingMs),
        ),
      )
      : err(createRefusal(REASONS.invalidRequest));
  }
  if (path === PATHS.invite) {
    const invitation = decodeAllowanceMessage.invitation(body);
    if (invitation) {
      control.receiveInvitation(invitation);
      return createAnswer(new Uint8Array(0));
    }
  }
  const directory = path === PATHS.directory ? fleet.provide() : undefined;
  return directory
    ? createAnswer(encodeDirectory(directory, body))
    : err(createRefusal(REASONS.invalidRequest));
}

function createAnswer(body: Uint8Array): CallResult {
  const answer: Answer = {
    ...{ status: 200, contentType: "", body, unusedAllowance: 0, loads: [] },
  };
  return ok(answer);
}

function encodeDirectory(
  { memberCount, knownCount, candidates, digest }: FleetDirectory,
  request: Uint8Array,
): Uint8Array {
  const [knownDigest] = decodeOrEmpty(request);
  return encode(
    knownDigest === digest ? [memberCount, knownCount] : [
      memberCount,
      knownCount,
      digest,
      candidates.map(({ incarnation, address, peerPort }) => [
        incarnation,
        address,
        peerPort,
      ]),
    ],
  );
}

function decodeDirectory(
  bytes: Uint8Array,
): Partial<FleetDirectory> | undefined {
  const [memberCount, knownCount, digest, candidates] = decodeOrEmpty(bytes);
  if (!Number.isSafeInteger(memberCount) || !Number.isSafeInteger(knownCount)) {
    return undefined;
  }
  const known = {
    memberCount: memberCount as number,
    knownCount: knownCount as number,
  };
  if (digest === undefined) {
    return known;
  }
  const isValid = Number.isSafeInteger(digest) && Array.isArray(candidates) &&
    candidates.every((one) =>
      Array.isArray(one) && one.length === 3 &&
      typeof one[0] === "string" && typeof one[1] === "string" &&
      Number.isSafeInteger(one[2])
    );
  return isValid
    ? {
      ...known,
      digest: digest as number,
      candidates: (candidates as [string, string, number][]).map(
        ([incarnation, address, peerPort]) => ({
          ...{ incarnation, address, peerPort },
        }),
      ),
    }
    : undefined;
}

function decodeOrEmpty(bytes: Uint8Array): unknown[] {
  try {
    const items: unknown = decode(bytes);
    return Array.isArray(items) ? items : [];
  } catch {
    return [];
  }
}

/** Creates a function that looks up limits in the active configuration. */
function createLimitsReader(
  { configuration }: AllowanceDependencies,
): (name: string) => AccountLimits | undefined {
  let version = -1;
  let limits = new Map<string, AccountLimits>();
  return (name) => {
    if (configuration.version !== version) {
      version = configuration.version;
      const accounts = configuration.current?.document.accounts ?? [];
      limits = new Map(
        accounts.flatMap(({ name, ratePerSecond = 0, burst = 0 }) =>
          ratePerSecond > 0 ? [[name, { ratePerSecond, burst }]] : []
        ),
      );
    }
    return limits.get(name);
  };
}
