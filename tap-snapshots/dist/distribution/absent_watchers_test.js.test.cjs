/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/distribution/absent_watchers_test.js > TAP > a change is in force in time while the watchers of a domain are away > entries without daemons are listed 1`] = `
Array [
  "0 ms: outdated none",
  "300 ms: outdated none",
  "700 ms: outdated none",
  "1100 ms: outdated none",
  "1900 ms: outdated none",
  "3300 ms: outdated none",
]
`

exports[`dist/distribution/absent_watchers_test.js > TAP > a change is in force in time while the watchers of a domain are away > links of watchers are cut 1`] = `
Array [
  "0 ms: outdated none",
  "300 ms: outdated none",
  "700 ms: outdated none",
  "1100 ms: outdated none",
  "1900 ms: outdated none",
  "3300 ms: outdated none",
]
`

exports[`dist/distribution/absent_watchers_test.js > TAP > a change is in force in time while the watchers of a domain are away > links of watchers go silent 1`] = `
Array [
  "0 ms: outdated none",
  "300 ms: outdated none",
  "700 ms: outdated none",
  "1100 ms: outdated none",
  "1900 ms: outdated none",
  "3300 ms: outdated none",
]
`

exports[`dist/distribution/absent_watchers_test.js > TAP > a change is in force in time while the watchers of a domain are away > the platform turns watchers away 1`] = `
Array [
  "0 ms: outdated none",
  "300 ms: outdated none",
  "700 ms: outdated none",
  "1100 ms: outdated none",
  "1900 ms: outdated none",
  "3300 ms: outdated none",
]
`

exports[`dist/distribution/absent_watchers_test.js > TAP > a change is in force in time while the watchers of a domain are away > watchers are suspended 1`] = `
Array [
  "0 ms: outdated none",
  "300 ms: outdated none",
  "700 ms: outdated none",
  "1100 ms: outdated none",
  "1900 ms: outdated none",
  "3300 ms: outdated none",
]
`

exports[`dist/distribution/absent_watchers_test.js > TAP > a change is in force in time while the watchers of a domain are away > watchers end and stay listed 1`] = `
Array [
  "0 ms: outdated none",
  "300 ms: outdated none",
  "700 ms: outdated none",
  "1100 ms: outdated none",
  "1900 ms: outdated none",
  "3300 ms: outdated none",
]
`

exports[`dist/distribution/absent_watchers_test.js > TAP > a crash is known in time while the watchers of a domain are away > entries without daemons are listed 1`] = `
Array [
  "0 ms: unaware none",
  "300 ms: unaware none",
  "700 ms: unaware none",
  "1100 ms: unaware none",
  "1900 ms: unaware none",
  "3300 ms: unaware none",
]
`

exports[`dist/distribution/absent_watchers_test.js > TAP > a crash is known in time while the watchers of a domain are away > links of watchers are cut 1`] = `
Array [
  "0 ms: unaware none",
  "300 ms: unaware none",
  "700 ms: unaware none",
  "1100 ms: unaware none",
  "1900 ms: unaware none",
  "3300 ms: unaware none",
]
`

exports[`dist/distribution/absent_watchers_test.js > TAP > a crash is known in time while the watchers of a domain are away > links of watchers go silent 1`] = `
Array [
  "0 ms: unaware none",
  "300 ms: unaware none",
  "700 ms: unaware none",
  "1100 ms: unaware none",
  "1900 ms: unaware none",
  "3300 ms: unaware none",
]
`

exports[`dist/distribution/absent_watchers_test.js > TAP > a crash is known in time while the watchers of a domain are away > the platform turns watchers away 1`] = `
Array [
  "0 ms: unaware none",
  "300 ms: unaware none",
  "700 ms: unaware none",
  "1100 ms: unaware none",
  "1900 ms: unaware none",
  "3300 ms: unaware none",
]
`

exports[`dist/distribution/absent_watchers_test.js > TAP > a crash is known in time while the watchers of a domain are away > watchers are suspended 1`] = `
Array [
  "0 ms: unaware none",
  "300 ms: unaware none",
  "700 ms: unaware none",
  "1100 ms: unaware none",
  "1900 ms: unaware none",
  "3300 ms: unaware none",
]
`

exports[`dist/distribution/absent_watchers_test.js > TAP > a crash is known in time while the watchers of a domain are away > watchers end and stay listed 1`] = `
Array [
  "0 ms: unaware none",
  "300 ms: unaware none",
  "700 ms: unaware none",
  "1100 ms: unaware none",
  "1900 ms: unaware none",
  "3300 ms: unaware none",
]
`

exports[`dist/distribution/absent_watchers_test.js > TAP > entries without daemons delay no change > outdated 1`] = `
Array [
  "0 ms: outdated after 100 ms: none",
  "300 ms: outdated after 100 ms: none",
  "700 ms: outdated after 100 ms: none",
  "1100 ms: outdated after 100 ms: none",
  "1900 ms: outdated after 100 ms: none",
  "3300 ms: outdated after 100 ms: none",
]
`
