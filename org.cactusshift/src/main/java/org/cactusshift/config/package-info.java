/** The site configuration and the settings of a node, as immutable records loaded from JSON. */
package org.cactusshift.config;
