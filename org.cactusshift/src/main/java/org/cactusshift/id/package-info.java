/** Immutable value types for identifiers. */
package org.cactusshift.id;
