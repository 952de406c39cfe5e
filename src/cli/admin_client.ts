/**
 * Requests to the operators' interface of a daemon.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { request } from "undici";
import VError from "verror";

/** Where and as whom to ask. */
export interface AdminClientOptions {
  /** Base URL of the daemon's admin port. */
  readonly adminUrl: string;
  readonly fleetToken: string;
}

/** Time after which a request counts as failed, in milliseconds. */
const REQUEST_TIMEOUT_MS = 5_000;

/** Asks one daemon. */
export class AdminClient {
  readonly #options: AdminClientOptions;

  constructor(options: AdminClientOptions) {
    this.#options = options;
  }

  /** Reads a resource. */
  get(path: string): Promise<Result<unknown, VError>> {
    return this.#request("GET", path);
  }

  /** Requests an action. */
  post(path: string): Promise<Result<unknown, VError>> {
    return this.#request("POST", path);
  }

  async #request(
    method: "GET" | "POST",
    path: string,
  ): Promise<Result<unknown, VError>> {
    const { adminUrl, fleetToken } = this.#options;
    try {
      const response = await request(`${adminUrl}${path}`, {
        method,
        headers: { authorization: `Bearer ${fleetToken}` },
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
      });
      const text = await response.body.text();
      return response.statusCode === 200 ? ok(JSON.parse(text)) : err(
        new VError(
          { name: "AdminRefused" },
          "%s answered %d: %s",
          adminUrl,
          response.statusCode,
          text,
        ),
      );
    } catch (cause) {
      return err(
        new VError(
          { name: "AdminUnreachable", cause: cause as Error },
          "%s cannot be reached",
          adminUrl,
        ),
      );
    }
  }
}
