/**
 * A server socket whose errors are handled for its whole lifetime.
 *
 * Errors while it binds reject the bind; later ones, such as a connection that
 * cannot be accepted, are reported. An error event without a listener would end
 * the process.
 */

import type { Server } from "node:net";

/** Starts a server and reports its errors. */
export class ListeningServer {
  readonly #server: Server;
  #rejectBind: ((error: Error) => void) | undefined;

  constructor(server: Server, reportError: (error: Error) => void) {
    this.#server = server;
    server.on("error", (error) => {
      if (this.#rejectBind) {
        this.#rejectBind(error);
      } else {
        reportError(error);
      }
    });
  }

  /** Starts listening; rejects if the address cannot be bound, and may then be called again. */
  async listen(address: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      const handleListening = () => {
        this.#rejectBind = undefined;
        resolve();
      };
      this.#rejectBind = (error) => {
        this.#rejectBind = undefined;
        this.#server.off("listening", handleListening);
        reject(error);
      };
      this.#server.once("listening", handleListening);
      this.#server.listen(port, address);
    });
  }
}
