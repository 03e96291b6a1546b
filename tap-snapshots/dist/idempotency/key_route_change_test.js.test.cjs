/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/idempotency/key_route_change_test.js > TAP > a call under a used key is not refused as not run after its path moved to another route > results 1`] = `
first ran true, again unknown key-invalid
`
