/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/idempotency/key_route_change_test.js > TAP > a key that has run is not called unrun after its path has moved to another route > ends 1`] = `
first ran true, again unknown key-invalid
`
