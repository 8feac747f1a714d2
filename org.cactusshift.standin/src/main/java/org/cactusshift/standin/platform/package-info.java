/** Starts and stops the stand-ins for all outside systems of one site. */
package org.cactusshift.standin.platform;
