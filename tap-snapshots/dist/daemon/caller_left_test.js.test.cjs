/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/daemon/caller_left_test.js > TAP > daemon.serve() sends no attempt for a caller that disconnected while a link was being opened > results 1`] = `
Array [
  "GET /boards/3: not-run cancelled, runs 0",
  "POST /entries: not-run cancelled, runs 0",
]
`
