/**
 * HTTP client of a daemon's admin API.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { request } from "undici";
import VError from "verror";

/** Address of a daemon and the credentials for it. */
export interface AdminClientOptions {
  /** Base URL of the daemon's admin port. */
  readonly adminUrl: string;
  /** Shared secret of the fleet, sent as a bearer token. */
  readonly fleetToken: string;
}

/** Request timeout, in milliseconds. */
const REQUEST_TIMEOUT_MS = 5_000;

/**
 * Sends requests to the admin API of one daemon.
 *
 * Errors are `AdminRefused` (the daemon responded with a status other than 200) and
 * `AdminUnreachable` (the connection failed, the request timed out, or the response
 * is not JSON).
 */
export class AdminClient {
  readonly #options: AdminClientOptions;

  constructor(options: AdminClientOptions) {
    this.#options = options;
  }

  /** Sends a GET request and returns the JSON body of the response. */
  get(path: string): Promise<Result<unknown, VError>> {
    return this.#request("GET", path);
  }

  /** Sends a POST request and returns the JSON body of the response. */
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
          "%s responded with status %d: %s",
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
