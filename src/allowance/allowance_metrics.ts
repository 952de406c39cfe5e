/**
 * Metrics of allowances, by account for a bounded number of accounts.
 */

import { Counter, Gauge } from "prom-client";
import type { Registry } from "prom-client";
import type { AllowanceStatus } from "./allowance_status.ts";

/** Number of accounts with labels of their own; the others share one. */
const MAX_ACCOUNT_LABELS = 100;

/** Label of the other accounts. */
const OTHER_ACCOUNTS = "other";

/** Counts requests of limited accounts, and describes the shares held here. */
export class AllowanceMetrics {
  readonly #names = new Set<string>();
  readonly #requests: Counter<"account" | "outcome">;
  readonly #fraction: Gauge<"group">;
  readonly #shares: Gauge<"group">;
  readonly #memberCount: Gauge;

  constructor(registry: Registry) {
    const registers = [registry];
    this.#requests = new Counter({
      name: "celeryhollow_allowance_requests_total",
      help: "Requests of limited accounts at this entry, by outcome",
      labelNames: ["account", "outcome"] as const,
      registers,
    });
    this.#fraction = new Gauge({
      name: "celeryhollow_allowance_held_ratio",
      help: "Part of the allowances of an account group held by this daemon",
      labelNames: ["group"] as const,
      registers,
    });
    this.#shares = new Gauge({
      name: "celeryhollow_allowance_held_shares",
      help: "Daemons that have delegated their shares to this one",
      labelNames: ["group"] as const,
      registers,
    });
    this.#memberCount = new Gauge({
      name: "celeryhollow_allowance_members",
      help: "Daemons among which the allowances are divided; 0 while unused",
      registers,
    });
  }

  /** Counts a request within the allowance. */
  recordGranted(account: string): void {
    this.#requests.inc({ account: this.#label(account), outcome: "granted" });
  }

  /** Counts a request over the allowance. */
  recordRefused(account: string): void {
    this.#requests.inc({ account: this.#label(account), outcome: "refused" });
  }

  /** Updates the gauges. */
  update({ held, memberCount }: AllowanceStatus): void {
    this.#fraction.reset();
    this.#shares.reset();
    this.#memberCount.set(memberCount);
    for (const { group, fraction, shares } of held) {
      this.#fraction.set({ group: String(group) }, fraction);
      this.#shares.set({ group: String(group) }, shares);
    }
  }

  #label(account: string): string {
    if (this.#names.has(account)) {
      return account;
    }
    if (this.#names.size >= MAX_ACCOUNT_LABELS) {
      return OTHER_ACCOUNTS;
    }
    this.#names.add(account);
    return account;
  }
}
