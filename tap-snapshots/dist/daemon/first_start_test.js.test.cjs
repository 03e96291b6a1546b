/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/daemon/first_start_test.js > TAP > daemon.start() waits for the first configuration of the platform with few reads > stages 1`] = `
Array [
  "after 10000 ms without a configuration: at most 10 reads true",
  "100 ms after the first configuration: live, version 1",
]
`
