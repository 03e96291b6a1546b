/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/entry/call_progress_test.js > TAP > a call is counted once at each pool, however many versions are applied meanwhile > counted after its first pool 1`] = `
Array [
  "results at version 3",
]
`

exports[`dist/entry/call_progress_test.js > TAP > a call with a server error is not retried once a newer version forbids it > progress 1`] = `
a server error is final false, continues false
`

exports[`dist/entry/call_progress_test.js > TAP > a call that may have run is not retried once a newer version forbids it > progress 1`] = `
Array [
  "idempotent to idempotent after refused: continues true as idempotent, excluded \\"\\"",
  "idempotent to keyless after refused: continues true as keyless, excluded \\"\\"",
  "idempotent to non-idempotent after refused: continues true as keyless, excluded \\"\\"",
  "keyless to idempotent after refused: continues true as keyless, excluded \\"\\"",
  "idempotent to idempotent after unknown: continues true as idempotent, excluded \\"boards-1\\"",
  "idempotent to keyless after unknown: continues false as keyless, excluded \\"boards-1\\"",
  "idempotent to non-idempotent after unknown: continues false as keyless, excluded \\"boards-1\\"",
  "keyless to idempotent after unknown: continues false as keyless, excluded \\"boards-1\\"",
]
`

exports[`dist/entry/call_progress_test.js > TAP > a slow target is available again after a call has changed to another pool and back > excluded targets 1`] = `
Array []
`
