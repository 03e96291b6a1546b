/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/settings/reload_test.js > TAP > reloadSettings() applies what a running daemon can change > an address and a time 1`] = `
Object {
  "applied": Array [
    "lameDuckMs",
  ],
  "callers": Object {
    "host": "127.0.0.1",
    "port": 8001,
  },
  "deferred": Array [
    "callers",
  ],
  "drainTimeoutMs": 30000,
  "lameDuckMs": 100,
  "retries": Object {
    "burst": 10,
  },
}
`

exports[`dist/settings/reload_test.js > TAP > reloadSettings() applies what a running daemon can change > nothing 1`] = `
Object {
  "applied": Array [],
  "callers": Object {
    "host": "127.0.0.1",
    "port": 8001,
  },
  "deferred": Array [],
  "drainTimeoutMs": 30000,
  "lameDuckMs": 0,
  "retries": Object {
    "burst": 10,
  },
}
`

exports[`dist/settings/reload_test.js > TAP > reloadSettings() applies what a running daemon can change > retries and times 1`] = `
Object {
  "applied": Array [
    "retries",
    "lameDuckMs",
    "drainTimeoutMs",
  ],
  "callers": Object {
    "host": "127.0.0.1",
    "port": 8001,
  },
  "deferred": Array [],
  "drainTimeoutMs": 6000,
  "lameDuckMs": 2500,
  "retries": Object {
    "burst": 10,
    "fleetBurst": 62,
  },
}
`
