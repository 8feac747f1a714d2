package org.cactusshift.standin.engine;

/**
 * The attempt id and the answer that a response carries; those of another attempt under an injected fault.
 *
 * @param attemptId the attempt id in the response
 * @param answer the answer whose tokens the response contains
 */
record ResponseIdentity(String attemptId, ExpectedAnswer answer) {}
