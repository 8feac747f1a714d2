package org.cactusshift.standin.engine;

/**
 * Whose answer is given.
 *
 * @param attemptId the attempt id that the answer carries
 * @param answer the text
 */
record ResponseIdentity(String attemptId, ExpectedAnswer answer) {}
