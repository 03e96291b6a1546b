/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/guard/unbounded_answer_test.js > TAP > an answer whose body never ends gives its slot back at the deadline > ends 1`] = `
Array [
  "idempotent, is read on: cut at 500 ms, slot free at 500 ms, target cancelled at 500 ms, restarts seen 0",
  "idempotent, is left after its first bytes: no end, slot free at 500 ms, target cancelled at 500 ms, restarts seen 0",
  "idempotent, is abandoned: abandoned at 0 ms, slot free at 10 ms, target cancelled at no ms, restarts seen 0",
  "keyless: unknown answer-lost at 750 ms, slot free at 750 ms, target cancelled at 750 ms, restarts seen 0",
  "non-idempotent: unknown answer-lost at 30500 ms, slot free at 30500 ms, target cancelled at 30500 ms, restarts seen 0",
]
`
