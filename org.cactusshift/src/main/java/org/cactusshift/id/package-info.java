/** Immutable value types for the identifiers of the system. */
package org.cactusshift.id;
