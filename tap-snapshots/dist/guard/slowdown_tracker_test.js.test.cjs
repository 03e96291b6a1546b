/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/guard/slowdown_tracker_test.js > TAP > tracker.isTooSlowFor() reports only calls that would complete without the slowdown > results 1`] = `
Array [
  "no execution yet: slowdown 4, 150 ms left: false",
  "slowdown 1, 150 ms left: false",
  "slowdown 4, 150 ms left: true",
  "slowdown 4, 300 ms left: false",
  "slowdown 4, 40 ms left: false",
  "slowdown 1.2, 55 ms left: true",
]
`
