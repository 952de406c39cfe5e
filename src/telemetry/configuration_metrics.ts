/**
 * Metrics of the configuration versions that one daemon knows of.
 */

import { Counter, Gauge } from "prom-client";
import type { Registry } from "prom-client";

/** The known versions, as exported. */
export interface ConfigurationVersions {
  readonly activeVersion: number;
  /** Latest version read from the store, also if it was refused. */
  readonly storeVersion: number;
  /** Time for which the active version has been below that of the store. */
  readonly behindMs: number;
  readonly refused:
    | RefusedVersionLabels & { readonly version: number }
    | undefined;
}

/** Labels of a refusal. */
export interface RefusedVersionLabels {
  readonly reason: string;
  /** `store` or `peer`. */
  readonly source: string;
}

/** Versions in the store, active and refused. */
export class ConfigurationMetrics {
  readonly #activeVersion: Gauge;
  readonly #storeVersionSeen: Gauge;
  readonly #behindSeconds: Gauge;
  readonly #refusedVersion: Gauge<"reason">;
  readonly #notReady: Gauge<"reason">;
  readonly #refusals: Counter<"reason" | "source">;

  constructor(registry: Registry) {
    const registers = [registry];
    this.#activeVersion = new Gauge({
      name: "celeryhollow_configuration_version",
      help: "Configuration version in force",
      registers,
    });
    this.#storeVersionSeen = new Gauge({
      name: "celeryhollow_store_configuration_version_seen",
      help:
        "Latest configuration version in the store as this daemon read it, also if it was refused",
      registers,
    });
    this.#behindSeconds = new Gauge({
      name: "celeryhollow_configuration_behind_seconds",
      help:
        "Time for which the active version has been below that of the store, 0 if it is not",
      registers,
    });
    this.#refusedVersion = new Gauge({
      name: "celeryhollow_configuration_refused_version",
      help:
        "Refused configuration version, 0 if it states none; absent once a newer one is active",
      labelNames: ["reason"] as const,
      registers,
    });
    this.#notReady = new Gauge({
      name: "celeryhollow_not_ready",
      help: "1 with the reason while the daemon is not ready; absent otherwise",
      labelNames: ["reason"] as const,
      registers,
    });
    this.#refusals = new Counter({
      name: "celeryhollow_configuration_refusals_total",
      help: "Configurations refused, by reason and source",
      labelNames: ["reason", "source"] as const,
      registers,
    });
  }

  /** Counts a refusal. */
  countRefusal({ reason, source }: RefusedVersionLabels): void {
    this.#refusals.inc({ reason, source });
  }

  /** Exports the versions known now, and why the daemon is not ready; undefined if it is. */
  update(
    versions: ConfigurationVersions,
    notReadyReason: string | undefined,
  ): void {
    const { activeVersion, storeVersion, behindMs, refused } = versions;
    this.#activeVersion.set(activeVersion);
    this.#storeVersionSeen.set(storeVersion);
    this.#behindSeconds.set(behindMs / 1_000);
    this.#notReady.reset();
    if (notReadyReason !== undefined) {
      this.#notReady.set({ reason: notReadyReason }, 1);
    }
    this.#refusedVersion.reset();
    if (refused) {
      this.#refusedVersion.set({ reason: refused.reason }, refused.version);
    }
  }
}
