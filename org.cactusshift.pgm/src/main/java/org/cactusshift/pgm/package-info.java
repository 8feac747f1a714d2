/** The command-line interface, with one class for each command. */
package org.cactusshift.pgm;
