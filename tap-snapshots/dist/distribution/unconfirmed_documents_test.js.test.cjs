/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/distribution/unconfirmed_documents_test.js > TAP > an unconfirmed document is sent only to a daemon that has none > confirmed 1`] = `
Array [
  "a daemon without a document gets the document",
  "a daemon with an unconfirmed document gets the document",
  "a daemon with the version before gets the document",
  "it asks for versions after 430",
]
`

exports[`dist/distribution/unconfirmed_documents_test.js > TAP > an unconfirmed document is sent only to a daemon that has none > unconfirmed 1`] = `
Array [
  "a daemon without a document gets the document",
  "a daemon with an unconfirmed document gets none",
  "a daemon with the version before gets none",
  "it asks for versions after 1",
]
`
