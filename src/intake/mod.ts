/**
 * Beginning of requests that a late event loop has read.
 */

export { NESTED_RANK, rankClass } from "./intake_rank.ts";
export { RequestIntake } from "./request_intake.ts";
export type { IntakeRequest } from "./request_intake.ts";
export { WaitingRequests } from "./waiting_requests.ts";
