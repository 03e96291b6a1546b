/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/tooling/bundle_test.js > TAP > a failed assertion of a library does not parse the bundle > errors of the library 1`] = `
Array [
  "ERR_ASSERTION: an assertion failed",
  "ERR_ASSERTION: an assertion failed",
]
`
