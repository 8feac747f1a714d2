/** JMH benchmarks of single decisions at the size to design for. */
package org.cactusshift.replay.benchmark;
