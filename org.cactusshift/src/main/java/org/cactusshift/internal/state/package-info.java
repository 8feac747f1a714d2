/** The state layer, on which the layers above build: running totals of the tokens served. */
package org.cactusshift.internal.state;
