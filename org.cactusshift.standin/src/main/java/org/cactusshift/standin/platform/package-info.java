/** Starts and stops the stand-ins for the key-value store, services and upstreams of one site. */
package org.cactusshift.standin.platform;
