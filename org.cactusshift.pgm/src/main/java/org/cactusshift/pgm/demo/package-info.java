/** A site on loopback in one process: stand-ins for the platform services and the upstreams, nodes and callers. */
package org.cactusshift.pgm.demo;
