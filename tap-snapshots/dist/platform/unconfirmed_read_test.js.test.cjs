/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/platform/unconfirmed_read_test.js > TAP > a daemon that has just started takes a newer version of a peer > routes in force 1`] = `
/v11/ then /v12/
`

exports[`dist/platform/unconfirmed_read_test.js > TAP > a daemon that has read the newest version takes no older one of a peer > routes in force 1`] = `
Array [
  "store, then peer: /v12/, provisional",
  "  after its next read: /v12/",
  "peer, then store: /v11/ then /v12/",
  "  after its next read: /v11/ then /v12/",
]
`

exports[`dist/platform/unconfirmed_read_test.js > TAP > a daemon that starts after a restore undoes nothing that peers have > routes in force 1`] = `
Array [
  "store, then peer of the same revision: /v11/ then /v12/, provisional",
  "store, then peer of an older revision: /v11/ then /v12/, provisional",
  "store with a later change, then peer: /v13/, provisional",
]
`
