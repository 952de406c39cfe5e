/**
 * Requests that crash the backend servers which run them: how they are
 * recognized, and what is known of them.
 */

export { CrashDetector } from "./crash_detector.ts";
export type { ServerCrash, TrackedRun } from "./crash_detector.ts";
export { CrashRecorder } from "./crash_recorder.ts";
export type { RecordedCall } from "./crash_recorder.ts";
export { Fingerprinter } from "./fingerprinter.ts";
export type { IdentifiedCall } from "./request_identity.ts";
