/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/entry/call_progress_test.js > TAP > a call is counted once at each pool, however many versions come meanwhile > counted beside its admission 1`] = `
Array [
  "results at version 3",
]
`

exports[`dist/entry/call_progress_test.js > TAP > a call that a target has answered is not repeated once a version forbids it > course 1`] = `
a server error is final false, goes on false
`

exports[`dist/entry/call_progress_test.js > TAP > a call that may have run is not repeated once a version forbids it > courses 1`] = `
Array [
  "idempotent to idempotent after refused: goes on true as idempotent, excluded \\"\\"",
  "idempotent to keyless after refused: goes on true as keyless, excluded \\"\\"",
  "idempotent to non-idempotent after refused: goes on true as keyless, excluded \\"\\"",
  "keyless to idempotent after refused: goes on true as keyless, excluded \\"\\"",
  "idempotent to idempotent after unknown: goes on true as idempotent, excluded \\"boards-1\\"",
  "idempotent to keyless after unknown: goes on false as keyless, excluded \\"boards-1\\"",
  "idempotent to non-idempotent after unknown: goes on false as keyless, excluded \\"boards-1\\"",
  "keyless to idempotent after unknown: goes on false as keyless, excluded \\"boards-1\\"",
]
`

exports[`dist/entry/call_progress_test.js > TAP > a slow target stays the last resort of a call whose pool was left for a while > excluded targets 1`] = `
Array []
`
