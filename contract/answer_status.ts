const LOWEST_FINAL_STATUS = 200;
const HIGHEST_STATUS = 599;
const LOWEST_STATUS = 100;

/**
 * Returns whether HTTP has a status. Source: RFC 9110, section 15.
 *
 * @param status The status of an answer, as received.
 * @returns Whether it is from 100 to 599.
 */
export function isHttpStatus(status: number): boolean {
  return status >= LOWEST_STATUS && status <= HIGHEST_STATUS;
}

/**
 * Returns whether a status completes a call. What has another status is no answer to it.
 *
 * @param status The status of an answer, as received.
 * @returns Whether it is from 200 to 599.
 */
export function isFinalStatus(status: number): boolean {
  return status >= LOWEST_FINAL_STATUS && status <= HIGHEST_STATUS;
}
