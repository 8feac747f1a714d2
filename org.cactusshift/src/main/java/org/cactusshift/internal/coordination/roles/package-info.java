/** Planning of engine roles (prefill, decode or mixed) from the measured demand. */
package org.cactusshift.internal.coordination.roles;
