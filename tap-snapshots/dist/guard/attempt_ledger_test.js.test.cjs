/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/guard/attempt_ledger_test.js > TAP > ledger.settle() fences an attempt only if it has not started > results 1`] = `
Array [
  "never received: refused: fenced",
  "accepted afterwards: false",
  "queued: refused: fenced",
  "starts afterwards: false",
  "running: answered 200",
  "accepted twice: false",
  "still running at the deadline: unknown: answer-lost",
  "dropped: unknown: answer-lost",
  "accepted after it was dropped: false",
]
`

exports[`dist/guard/attempt_ledger_test.js > TAP > ledger.settle() reports an unknown outcome for dropped results > four attempts, memory for two 1`] = `
Array [
  "unknown: answer-lost",
  "unknown: answer-lost",
  "answered 200",
  "answered 200",
]
`
