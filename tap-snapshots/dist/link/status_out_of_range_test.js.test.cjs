/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/link/status_out_of_range_test.js > TAP > a status out of range in the answer of a peer is no answer > what callers get 1`] = `
Array [
  "idempotent, 0: answered 200, runs=2",
  "idempotent, 99: answered 200, runs=2",
  "idempotent, 199: answered 200, runs=2",
  "idempotent, 600: answered 200, runs=2",
  "at most once, 0: unknown answer-lost, runs=1",
  "at most once, 99: unknown answer-lost, runs=1",
  "at most once, 199: unknown answer-lost, runs=1",
  "at most once, 600: unknown answer-lost, runs=1",
]
`

exports[`dist/link/status_out_of_range_test.js > TAP > a status out of range is no answer, and ends its connection > what the clients make of it 1`] = `
Array [
  "000: garbled (status 0 is not of HTTP); second call alike",
  "000: probe none; 3 requests on 3 connections; page status 0 is not of HTTP",
  "001: garbled (status 1 is not of HTTP); second call alike",
  "001: probe none; 3 requests on 3 connections; page status 1 is not of HTTP",
  "099: garbled (status 99 is not of HTTP); second call alike",
  "099: probe none; 3 requests on 3 connections; page status 99 is not of HTTP",
  "103: broken (HPE_INVALID_CONSTANT: Response does not match the HTTP/1.1 protocol (Expected HTTP/)); second call alike",
  "103: probe none; 3 requests on 3 connections; page Response does not match the HTTP/1.1 protocol (Expected HTTP/)",
  "199: broken (HPE_INVALID_CONSTANT: Response does not match the HTTP/1.1 protocol (Expected HTTP/)); second call alike",
  "199: probe none; 3 requests on 3 connections; page Response does not match the HTTP/1.1 protocol (Expected HTTP/)",
  "200: answer 200; second call alike",
  "200: probe a report, healthy: true; 3 requests on 1 connections; page read",
  "599: answer 599; second call alike",
  "599: probe a report, healthy: false; 3 requests on 1 connections; page the store answered with status 599",
  "600: garbled (status 600 is not of HTTP); second call alike",
  "600: probe none; 3 requests on 3 connections; page status 600 is not of HTTP",
  "999: garbled (status 999 is not of HTTP); second call alike",
  "999: probe none; 3 requests on 3 connections; page status 999 is not of HTTP",
]
`
