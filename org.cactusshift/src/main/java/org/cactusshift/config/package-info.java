/** The site configuration and the settings of a process, as immutable records read from JSON. */
package org.cactusshift.config;
