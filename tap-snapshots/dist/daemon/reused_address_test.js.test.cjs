/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/daemon/reused_address_test.js > TAP > a daemon that starts beside another pool's target sends it no call > runs 1`] = `
Array [
  "its address listed for the ended target: its own pool's calls: not served, run by another pool: 0",
  "its address listed for another pool: its own pool's calls: not served, run by another pool: 0",
]
`

exports[`dist/daemon/reused_address_test.js > TAP > a daemon that starts beside its running target serves it > runs 1`] = `
Array [
  "listed: its own pool's calls: served within 500 ms, run by another pool: 0",
  "restarted too, not listed: its own pool's calls: not served, run by another pool: 0",
  "once listed: its own pool's calls: served within 500 ms, run by another pool: 0",
]
`

exports[`dist/daemon/reused_address_test.js > TAP > a stopping daemon sends no call to another pool's target > runs 1`] = `
its own pool's calls: not served, run by another pool: 0
`

exports[`dist/daemon/reused_address_test.js > TAP > a target that restarts is served again > runs 1`] = `
Array [
  "after 300 ms: its own pool's calls: served within 1000 ms, run by another pool: 0; once listed: its own pool's calls: served within 500 ms, run by another pool: 0",
  "after 900 ms: its own pool's calls: served within 1000 ms, run by another pool: 0; once listed: its own pool's calls: served within 500 ms, run by another pool: 0",
  "after 3000 ms: its own pool's calls: not served, run by another pool: 0; once listed: its own pool's calls: served within 500 ms, run by another pool: 0",
  "after 8000 ms: its own pool's calls: not served, run by another pool: 0; once listed: its own pool's calls: served within 1000 ms, run by another pool: 0",
  "after 3000 ms under its former ID: its own pool's calls: served within 1000 ms, run by another pool: 0",
]
`

exports[`dist/daemon/reused_address_test.js > TAP > another target's statements are not taken for the target's > runs 1`] = `
its own pool's calls: served within 1000 ms, run by another pool: 0
`

exports[`dist/daemon/reused_address_test.js > TAP > no call runs at another pool's target that has got the address > runs 1`] = `
Array [
  "after 2100 ms, named in answers: its own pool's calls: not served, run by another pool: 0; once listed: its own pool's calls: not served, run by another pool: 0",
  "after 5000 ms, named in answers: its own pool's calls: not served, run by another pool: 0; once listed: its own pool's calls: not served, run by another pool: 0",
  "after 2100 ms, named in probes only: its own pool's calls: not served, run by another pool: 0; once listed: its own pool's calls: not served, run by another pool: 0",
  "after 5000 ms, named in probes only: its own pool's calls: not served, run by another pool: 0; once listed: its own pool's calls: not served, run by another pool: 0",
  "without calls meanwhile: its own pool's calls: not served, run by another pool: 0",
]
`
