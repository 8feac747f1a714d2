/** All stand-ins of one site together. */
package org.cactusshift.standin.platform;
