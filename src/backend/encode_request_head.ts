/**
 * Encoding of the head of a request to the backend server.
 */

import type { BackendExchange } from "./backend_connection.ts";

const METHOD = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
const PATH = /^\/[\x21-\xff]*$/;

const NAME = METHOD;

/** Values without control characters, so that none of them contains another line. */
const VALUE = /^[\t\x20-\x7e\x80-\xff]*$/;

const HOST_NAME = "host";

/** Methods whose requests state a length also if they have no body. */
const METHODS_WITH_BODY: ReadonlySet<string> = new Set([
  "POST",
  "PUT",
  "PATCH",
]);

/**
 * Encodes the head of a request.
 *
 * @param request - The request
 * @param host - Host to name if the request names none
 * @returns The head, or undefined if it would not be valid HTTP
 *
 * @example
 * socket.write(encodeRequestHead(request, "127.0.0.1:8301"), "latin1");
 */
export function encodeRequestHead(
  { method, path, headers, body }: BackendExchange,
  host: string,
): string | undefined {
  let lines = "";
  let hasHost = false;
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index] ?? "";
    const value = headers[index + 1] ?? "";
    if (!NAME.test(name) || !VALUE.test(value)) {
      return undefined;
    }
    hasHost ||= name.length === HOST_NAME.length &&
      name.toLowerCase() === HOST_NAME;
    lines += `${name}: ${value}\r\n`;
  }
  if (!METHOD.test(method) || !PATH.test(path)) {
    return undefined;
  }
  const hostLine = hasHost ? "" : `host: ${host}\r\n`;
  const lengthLine = body.length > 0 || METHODS_WITH_BODY.has(method)
    ? `content-length: ${body.length}\r\n`
    : "";
  return `${method} ${path} HTTP/1.1\r\n${hostLine}connection: keep-alive\r\n${lines}${lengthLine}\r\n`;
}
