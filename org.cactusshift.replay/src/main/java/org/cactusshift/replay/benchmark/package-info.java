/**
 * JMH benchmarks of dispatch decisions and of the fair queue, up to the numbers of engines and client accounts that the
 * product is designed for.
 */
package org.cactusshift.replay.benchmark;
