/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/guard/attempt_ledger_test.js > TAP > ledger.settle() fences what has not started, and only that > settlements 1`] = `
Array [
  "never seen: refused: fenced",
  "accepted afterwards: false",
  "queued: refused: fenced",
  "starts afterwards: false",
  "running: answered 200",
  "accepted twice: false",
  "runs beyond the wait: unknown: answer-lost",
  "forgotten: unknown: answer-lost",
  "accepted after it was forgotten: false",
]
`

exports[`dist/guard/attempt_ledger_test.js > TAP > ledger.settle() stays true when memory runs out > four attempts, room for two 1`] = `
Array [
  "unknown: answer-lost",
  "unknown: answer-lost",
  "answered 200",
  "answered 200",
]
`
