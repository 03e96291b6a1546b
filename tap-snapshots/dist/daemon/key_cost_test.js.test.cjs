/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/daemon/key_cost_test.js > TAP > an idempotency key costs a round trip only if the caller has no spare key > time and bytes 1`] = `
Array [
  "idempotent call: 5 ms, 0 bytes on links",
  "with a spare key: 5 ms, 347 bytes on links",
  "requesting a key first: 1 ms, 0 bytes on links",
  "with a key owned elsewhere: 25 ms, 694 bytes on links",
]
`
