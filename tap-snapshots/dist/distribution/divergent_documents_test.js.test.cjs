/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/distribution/divergent_documents_test.js > TAP > DocumentDistributor reconciles daemons with different lists of one version > versions and frames 1`] = `
Array [
  "followers get a different list of the same version: versions 2, frames 6",
  "the next list is a patch to a list that followers lack: versions 3, frames 10",
]
`
