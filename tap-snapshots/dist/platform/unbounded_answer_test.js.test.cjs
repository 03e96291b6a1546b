/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/platform/unbounded_answer_test.js > TAP > StoreClient stops reading a range with pages without end > ranges 1`] = `
Array [
  "full pages: no answer, stopped",
  "pages near the limit of an answer: no answer, stopped",
]
`

exports[`dist/platform/unbounded_answer_test.js > TAP > StoreClient stops reading an unbounded answer > reads 1`] = `
Array [
  "a status line: no answer before its timeout, stopped; next read: revision 7",
  "line breaks: no answer before its timeout, stopped; next read: revision 7",
  "a page: no answer before its timeout, stopped; next read: revision 7",
  "a page without a length: no answer before its timeout, stopped; next read: revision 7",
  "an error: no answer before its timeout, stopped; next read: revision 7",
  "line breaks after a page: revision 7 before its timeout, stopped; next read: revision 7",
]
`
