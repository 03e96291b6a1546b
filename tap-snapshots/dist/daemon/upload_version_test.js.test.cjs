/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/daemon/upload_version_test.js > TAP > an entry waits for a newer version before it calls a body too large > end 1`] = `
boards-norte-a ran /entries
`

exports[`dist/daemon/upload_version_test.js > TAP > an upload is not called cut when its route moves while its start is kept > ends by the pace of the upload 1`] = `
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
