/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/daemon/early_stop_test.js > TAP > a daemon that is stopped before its first configuration takes no calls when that arrives > stops 1`] = `
Array [
  "after 0 ms: leaving, call not-run leaving, runs 0, stopped at once",
  "after 200 ms: leaving, call not-run leaving, runs 0, stopped at once",
  "after 3000 ms: leaving, call not-run leaving, runs 0, stopped at once",
]
`
