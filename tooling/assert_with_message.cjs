'use strict';
const assert = require('node:assert');

const DEFAULT_MESSAGE = 'an assertion failed';

/**
 * Replaces `assert` in the bundle. The engine makes the message of an assertion that has none by parsing
 * the source of its line, which stops the process for seconds if the line holds most of a program.
 *
 * @param {unknown} value The value that is expected to be truthy.
 * @param {string | Error} [message] Message of the error, or the error to throw.
 */
function assertWithMessage(value, message = DEFAULT_MESSAGE) {
  assert(value, message);
}

module.exports = Object.assign(assertWithMessage, assert, {
  ok: assertWithMessage,
  strict: assertWithMessage,
});
