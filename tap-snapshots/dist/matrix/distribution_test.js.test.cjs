/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/matrix/distribution_test.js > TAP > a version is applied everywhere and never reverts under any fault > time until in force 1`] = `
Array [
  "published none: in force 0 ms after the fault",
  "published service-down: in force 500 ms after the fault",
  "published service-stale: in force 0 ms after the fault",
  "published watcher-crash: in force 0 ms after the fault",
  "published watcher-pause: in force 50 ms after the fault",
  "published both-watchers-crash: in force 0 ms after the fault",
  "published follower-crash: in force 0 ms after the fault",
  "published follower-pause: in force 50 ms after the fault",
  "published region-cut: in force 0 ms after the fault",
  "published frame-lost: in force 0 ms after the fault",
  "published frame-doubled: in force 0 ms after the fault",
  "published frame-late: in force 0 ms after the fault",
  "passed-on none: in force 0 ms after the fault",
  "passed-on service-down: in force 0 ms after the fault",
  "passed-on service-stale: in force 0 ms after the fault",
  "passed-on watcher-crash: in force 0 ms after the fault",
  "passed-on watcher-pause: in force 100 ms after the fault",
  "passed-on both-watchers-crash: in force 0 ms after the fault",
  "passed-on follower-crash: in force 0 ms after the fault",
  "passed-on follower-pause: in force 100 ms after the fault",
  "passed-on region-cut: in force 0 ms after the fault",
  "passed-on frame-lost: in force 0 ms after the fault",
  "passed-on frame-doubled: in force 0 ms after the fault",
  "passed-on frame-late: in force 0 ms after the fault",
  "in-force none: in force 0 ms after the fault",
  "in-force service-down: in force 400 ms after the fault",
  "in-force service-stale: in force 150 ms after the fault",
  "in-force watcher-crash: in force 0 ms after the fault",
  "in-force watcher-pause: in force 0 ms after the fault",
  "in-force both-watchers-crash: in force 0 ms after the fault",
  "in-force follower-crash: in force 0 ms after the fault",
  "in-force follower-pause: in force 50 ms after the fault",
  "in-force region-cut: in force 0 ms after the fault",
  "in-force frame-lost: in force 0 ms after the fault",
  "in-force frame-doubled: in force 0 ms after the fault",
  "in-force frame-late: in force 0 ms after the fault",
]
`
