/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/daemon/upload_version_test.js > TAP > an entry waits for a newer version before it refuses a body as too large > result 1`] = `
boards-norte-a ran /entries
`

exports[`dist/daemon/upload_version_test.js > TAP > an upload is not refused as truncated when its route moves while its start is still buffered > results by chunk interval 1`] = `
Array [
  "10 ms: 200",
  "15 ms: 200",
  "20 ms: 200",
  "25 ms: 200",
  "30 ms: 200",
  "40 ms: 200",
  "60 ms: 200",
]
`
