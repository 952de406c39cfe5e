/**
 * What one daemon knows about the others.
 */

import type { MemberRecord } from "../generated/types.ts";

/** Fields of its own record that a daemon changes. */
export type OwnRecordChange = Partial<
  Pick<MemberRecord, "state" | "service" | "slots" | "warmAtMs" | "successor">
>;

/** Knowledge of the fleet. */
export abstract class Membership {
  /** The daemon's own record. */
  abstract get self(): MemberRecord;

  /** Instances of a service that take new work. */
  abstract listInstances(service: string): readonly MemberRecord[];

  /** The record of one incarnation, dead ones included while they are remembered. */
  abstract find(incarnation: string): MemberRecord | undefined;

  /** Every record that is known. */
  abstract listAll(): readonly MemberRecord[];

  /** Changes the own record and spreads it. */
  abstract updateSelf(change: OwnRecordChange): void;

  /** Tells a few members at once what gossip carries, the configuration version included. */
  abstract announce(): void;

  /** Joins the fleet. */
  abstract start(): Promise<void>;

  /** Stops taking part; the own record is spread as dead. */
  abstract stop(): Promise<void>;
}
