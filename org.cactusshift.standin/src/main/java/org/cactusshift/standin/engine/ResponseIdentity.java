package org.cactusshift.standin.engine;

/**
 * The attempt to which a response claims to belong.
 *
 * @param attemptId the attempt id in the response
 * @param answer the text in the response
 */
record ResponseIdentity(String attemptId, ExpectedAnswer answer) {}
