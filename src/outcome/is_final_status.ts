/**
 * HTTP statuses that end a request.
 */

const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;

/**
 * Whether a status is that of a final response of HTTP (RFC 9110, section 15).
 * A response with another one is not an answer of the backend server.
 *
 * @param status - The status
 * @returns Whether it is from 200 to 599
 *
 * @example
 * isFinalStatus(600); // false
 */
export function isFinalStatus(status: number): boolean {
  return status >= FIRST_FINAL_STATUS && status <= LAST_STATUS;
}
