/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/link/reset_socket_test.js > TAP > resetSocket() closes a connection whose client has ended its side > after the shutdown 1`] = `
Array [
  "closed",
  "0 open",
]
`

exports[`dist/link/reset_socket_test.js > TAP > resetSocket() closes a connection whose client has ended its side > as the shutdown begins 1`] = `
Array [
  "closed",
  "0 open",
]
`

exports[`dist/link/reset_socket_test.js > TAP > resetSocket() closes a connection whose client has ended its side > at once 1`] = `
Array [
  "closed",
  "0 open",
]
`
