package org.cactusshift.standin.engine;

/**
 * Whose answer is given.
 *
 * @param attempt the attempt id that the answer carries
 * @param answer the text
 */
record ResponseIdentity(String attempt, ExpectedAnswer answer) {}
