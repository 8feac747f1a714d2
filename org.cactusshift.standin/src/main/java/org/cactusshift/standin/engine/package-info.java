/** Stand-in for a model engine, with continuous batching in real time and answers that tests can predict. */
package org.cactusshift.standin.engine;
