/**
 * Kinds of runs, whose durations are measured apart from those of whole requests.
 */

/** A call that runs on the backend server of this VM. */
export interface RunningCall {
  readonly service: string;
  readonly context: { readonly requestName: string };
}

/**
 * Creates the kind of a run: nested calls have the request of their first caller,
 * and may take another time than that request itself.
 *
 * @param call - The call that runs
 * @returns The kind
 *
 * @example
 * createRunKind({ service: "stock", context: { requestName: "rounds" } }); // "run of rounds at stock"
 */
export function createRunKind({ service, context }: RunningCall): string {
  return `run of ${context.requestName} at ${service}`;
}
