/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/daemon/key_restart_test.js > TAP > a key that was handed on is found while its issuer starts without a configuration > ends 1`] = `
Array [
  "answered: results-centro-a ran result (next key)",
  "answered: results-centro-a ran result (next key)",
  "runs=1",
]
`

exports[`dist/daemon/key_restart_test.js > TAP > a key that was issued is not called invalid after its route got home regions > end 1`] = `
unknown: key-owner-gone (next key)
`
