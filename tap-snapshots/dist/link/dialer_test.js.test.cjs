/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/link/dialer_test.js > TAP > WsDialer.dial() returns an error for any text that is no address > results 1`] = `
Array [
  "\\"not a host:1\\": error",
  "\\"999.1.1.1:1\\": error",
  "\\"127.0.0.1:99999\\": error",
  "\\"a/b?c#d:1\\": error",
  "\\"\\": error",
  "\\"[::\\": error",
]
`
