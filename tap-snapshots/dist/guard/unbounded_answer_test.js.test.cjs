/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/guard/unbounded_answer_test.js > TAP > an answer with an unbounded body releases its slot at the deadline > results 1`] = `
Array [
  "idempotent, is read on: truncated at 500 ms, slot released at 500 ms, target cancelled at 500 ms, restarts recorded 0",
  "idempotent, is left after its first bytes: not complete, slot released at 500 ms, target cancelled at 500 ms, restarts recorded 0",
  "idempotent, is abandoned: cancelled at 0 ms, slot released at 10 ms, target cancelled at no ms, restarts recorded 0",
  "keyless: unknown answer-lost at 750 ms, slot released at 750 ms, target cancelled at 750 ms, restarts recorded 0",
  "non-idempotent: unknown answer-lost at 30500 ms, slot released at 30500 ms, target cancelled at 30500 ms, restarts recorded 0",
]
`
