/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/link/stall_detector_test.js > TAP > StallDetector reports a silent link while answers are awaited, and no other link > links 1`] = `
Array [
  "silent: 1 pings, stalled at 700 ms",
  "slow but alive: 19 pings, stalled at no ms",
  "answered soon: 0 pings, stalled at no ms",
]
`
