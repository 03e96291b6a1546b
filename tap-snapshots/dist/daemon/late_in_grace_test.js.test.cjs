/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/daemon/late_in_grace_test.js > TAP > a call that comes late in the grace is refused or answered, not cut > calls of 600 ms 1`] = `
Array [
  "GET: answered 7, not-run 3, unknown 0, cut 0",
  "POST: answered 7, not-run 3, unknown 0, cut 0",
]
`

exports[`dist/daemon/late_in_grace_test.js > TAP > a call that outlasts the grace ends with an answer of its outcome > calls of 1,500 ms 1`] = `
answered 4, not-run 4, unknown 2, cut 0
`
