/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/configuration/version_tracker_test.js > TAP > VersionTracker.waitFor() waits for a version or until its limit > results 1`] = `
Array [
  "version 1 after 0 ms: applied",
  "version 5 after 0 ms: timed out",
  "version 3 after 20 ms: applied",
  "version 4 after 100 ms: timed out",
  "newest known 9",
]
`
