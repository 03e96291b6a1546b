/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/platform/odd_registration_test.js > TAP > an odd registration names no instance and leaves the good ones alone > instances and problems 1`] = `
Array [
  "port out of range: 10.1.0.8 boards good; address: expected host:port",
  "port zero: 10.1.0.8 boards good; address: expected host:port",
  "port of 400 digits: 10.1.0.8 boards good; address: Too big: expected string to have <=253 characters",
  "no host name: 10.1.0.8 boards good; address: Invalid string: must match pattern /^[a-z0-9][a-z0-",
  "no IP address: 10.1.0.8 boards good; address: expected host:port",
  "parts of a URL as host: 10.1.0.8 boards good; address: Invalid string: must match pattern /^[a-z0-9][a-z0-",
  "name of a prototype as host: 10.1.0.8 boards good; address: Invalid string: must match pattern /^[a-z0-9][a-z0-",
  "empty service: 10.1.0.8 boards good; service: Too small: expected string to have >=1 characters",
  "empty zone: 10.1.0.8 boards good; zone: Too small: expected string to have >=1 characters",
  "service of 100,000 characters: 10.1.0.8 boards good; service: Too big: expected string to have <=253 characters",
  "largest number of slots: 10.1.0.8 boards good; slots: Too big: expected number to be <=65536",
  "born far in the future: 10.1.0.8 boards good; born: expected a time that has passed",
  "born before the epoch: 10.1.0.8 boards good; born: Too small: expected number to be >=0",
  "born too large for an integer: 10.1.0.8 boards good; born: Too big: expected int to be <=9007199254740991",
  "a number beyond all numbers: 10.1.0.8 boards good; slots: Invalid input: expected number, received Infinity",
  "deeply nested: 10.1.0.8 boards good; : Invalid input: expected object, received undefined",
  "deeply nested in a field: 10.1.0.8 boards good; : Invalid input: expected object, received undefined",
  "no JSON: 10.1.0.8 boards good; : Invalid input: expected object, received undefined",
]
`
