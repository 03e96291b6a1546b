/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/link/early_answer_test.js > TAP > a connection closes if the rest of a body is too large to be discarded > answers 1`] = `
Array [
  "answered, none of the body read, length: 200, says that it closes, closed",
  "answered, a part of the body read, length: 200, says that it closes, closed",
  "answered while the body is read, length: 200, says that it closes, closed",
  "refused, reading cancelled, length: 503, says that it closes, closed",
]
`

exports[`dist/link/early_answer_test.js > TAP > a connection goes on after a call that ends before its body > answers 1`] = `
Array [
  "answered, none of the body read, length: 200, next answered",
  "answered, none of the body read, chunks: 200, next answered",
  "answered, a part of the body read, length: 200, next answered",
  "answered, a part of the body read, chunks: 200, next answered",
  "answered while the body is read, length: 200, next answered",
  "answered while the body is read, chunks: 200, next answered",
  "refused, reading cancelled, length: 503, next answered",
  "refused, reading cancelled, chunks: 503, next answered",
]
`
