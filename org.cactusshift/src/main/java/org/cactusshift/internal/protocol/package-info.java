/** Protocol layer: codecs of the wire formats. */
package org.cactusshift.internal.protocol;
