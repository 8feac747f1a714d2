/** Stand-in for a model engine: continuous batching in real time with answers that a checker can predict. */
package org.cactusshift.standin.engine;
