/** JMH benchmarks of single dispatch decisions at the fleet and account numbers that the product is designed for. */
package org.cactusshift.replay.benchmark;
