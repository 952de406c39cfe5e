/**
 * Beginning of requests that a late event loop has read.
 */

export { RequestIntake } from "./request_intake.ts";
export type { IntakeRequest } from "./request_intake.ts";
export { WaitingRequests } from "./waiting_requests.ts";
