/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/entry/hedge_test.js > TAP > a hedged call is not refused as not run if one of its attempts may have run > result 1`] = `
unknown answer-lost
`
