/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/guard/notice_tracker_test.js > TAP > NoticeTracker.record() ends a notice only with later word of the target > notices 1`] = `
Array [
  "a later answer without a rate: any calls a second",
  "an overtaken answer without a rate: 4 calls a second",
  "a later malformed rate: 4 calls a second",
  "a later shed call without a rate: 4 calls a second",
  "a later healthy report after leaving: any calls a second",
  "an overtaken healthy report after leaving: any calls a second, leaving",
  "a later unhealthy report after leaving: any calls a second, leaving",
  "a later answer after leaving: any calls a second, leaving",
  "a peer's notice: 4 calls a second, leaving",
  "a peer's notice of another process: any calls a second",
  "a peer's notice after the target's word: any calls a second",
  "the target's word after a peer's notice: any calls a second",
  "an overtaken word after a peer's notice: 4 calls a second, leaving",
  "a malformed rate after a peer's notice: 4 calls a second, leaving",
]
`
