/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/daemon/outdated_entry_test.js > TAP > an entry does not refuse a route as unknown while peers have a newer version > results 1`] = `
Array [
  "answered",
  "versions-differ after 250 ms",
]
`

exports[`dist/daemon/outdated_entry_test.js > TAP > an entry waits once per call for a version that does not arrive, not once per guard > one wait 1`] = `
versions-differ after 575 ms
`
