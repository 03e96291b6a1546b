/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/contract/fingerprint_test.js > TAP > computeFingerprint() covers the start and the length of a long body > fingerprints 1`] = `
Array [
  "in transit, its start read: the same",
  "in transit, read to the end: the same",
  "in transit, without a stated length: another",
  "another end: the same",
  "another length: another",
  "its start alone: another",
]
`

exports[`dist/contract/fingerprint_test.js > TAP > computeFingerprint() is the same however a call is sent, and only then > fingerprints 1`] = `
Array [
  "not yet read: none",
  "sent in chunks: the same",
  "sent in chunks, buffered: the same",
  "sent in chunks, above the limit: none",
  "sent in chunks, read in part: none",
  "another body: another",
  "another pathAndQuery: another",
  "another callerPool: the same",
  "another method: another",
  "another id: the same",
]
`
