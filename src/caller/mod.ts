/**
 * HTTP API for callers.
 */

export { createCallerApp, serveHttpCall } from "./create_caller_app.ts";
export { createCallResponse, OUTCOME_VALUES } from "./create_call_response.ts";
export { readBody } from "./read_body.ts";
