/**
 * Creation of the daemon's own interfaces, which a deployment may replace.
 */

import { createBackendApp } from "../backend/create_backend_app.ts";
import { createCallerApp } from "../caller/mod.ts";
import { createAdminApp } from "./create_admin_app.ts";
import { HonoListener } from "./listener.ts";
import type { Listener, ListenerContext } from "./listener.ts";

/**
 * Creates the listeners for callers, the backend server and operators.
 *
 * @param context - Functions and components of the daemon
 * @returns The listeners, not yet started
 *
 * @example
 * const listeners = createDefaultListeners(context);
 */
export function createDefaultListeners(context: ListenerContext): Listener[] {
  const { environment, explainNotReady, stop, storeDeparture } = context;
  const { address, callerPort, backendPort, adminPort } = environment.settings;
  return [
    { app: createCallerApp(environment), port: callerPort },
    { app: createBackendApp(environment, storeDeparture), port: backendPort },
    {
      app: createAdminApp(environment, { explainNotReady, stop }),
      port: adminPort,
    },
  ].map(({ app, port }) => new HonoListener(context, { app, address, port }));
}
