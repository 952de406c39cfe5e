/**
 * The latest clean runs on the backend server of this VM. Their fingerprints are
 * computed only when a request is suspected.
 */

import type { Fingerprinter } from "./fingerprinter.ts";
import type { IdentifiedCall } from "./request_identity.ts";

/** Number of runs that are remembered. */
const MAX_RUNS = 256;

/** Maximum size of a body that is remembered, in bytes; calls with larger ones are not. */
const MAX_BODY_BYTES = 4_096;

interface Run {
  readonly identity: string;
  readonly body: Uint8Array;
  /** End of the run, in milliseconds since the epoch. */
  readonly atMs: number;
  fingerprint: string | undefined;
}

/** Ring buffer of clean runs. */
export class RecentRuns {
  readonly #fingerprinter: Fingerprinter;
  readonly #runs: Run[] = [];
  #next = 0;

  constructor(fingerprinter: Fingerprinter) {
    this.#fingerprinter = fingerprinter;
  }

  /** Adds a run that was answered. */
  add(call: IdentifiedCall, atMs: number): void {
    if (call.body.length > MAX_BODY_BYTES) {
      return;
    }
    this.#runs[this.#next] = {
      identity: this.#fingerprinter.describeTarget(call),
      // A copy, since the body may be a part of a larger buffer.
      body: new Uint8Array(call.body),
      ...{ atMs, fingerprint: undefined },
    };
    this.#next = (this.#next + 1) % MAX_RUNS;
  }

  /** Returns the end of the latest run of a request, in milliseconds since the epoch, or undefined. */
  findLatestMs(fingerprint: string): number | undefined {
    const timesMs = this.#runs
      .filter((run) => this.#getFingerprint(run) === fingerprint)
      .map(({ atMs }) => atMs);
    return timesMs.length === 0 ? undefined : Math.max(...timesMs);
  }

  #getFingerprint(run: Run): string {
    run.fingerprint ??= this.#fingerprinter.complete(
      this.#fingerprinter.hashDescription(run.identity),
      run,
    );
    return run.fingerprint;
  }
}
