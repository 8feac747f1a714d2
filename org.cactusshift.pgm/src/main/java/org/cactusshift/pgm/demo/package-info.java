/** A complete site on loopback in one process: stand-ins, nodes and callers. */
package org.cactusshift.pgm.demo;
