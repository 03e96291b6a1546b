/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/distribution/crash_reports_test.js > TAP > a crash is known to all daemons, also to those that restart, until it is cleared > suspects 1`] = `
Array [
  "crashed: at all daemons within 70 ms",
  "both watchers of a domain restarted: at all daemons within 10 ms",
  "every third daemon restarted: at all daemons within 10 ms",
  "answered once: at all daemons within 0 ms",
  "answered for 4.2 s: cleared at all daemons within 0 ms",
]
`
